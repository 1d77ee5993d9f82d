"""Nodes with artificial link delays, for demos and benchmarks.

The delay is added in the task that sends to peers and in the client of the
platform; the rest of the node is unchanged. The second argument names the
way of distribution: ``product``, ``watch`` or ``flat``.
"""

import sys
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from queue import Empty, Queue
from threading import Event, Thread
from time import monotonic

from cyclamentally_platform.client import HttpPlatform

from cyclamentally.effects import Count
from cyclamentally_node.daemon import run
from cyclamentally_node.node import Node, NodeParts
from cyclamentally_node.peers import PeerSender
from cyclamentally_testing.baselines import FlatPlane, WatchingPlane

REGION_DELAY_S = 0.008
CUT_CHECK_S = 0.2
DOMAIN_DELAY_S = 0.001
PLANES = {"watch": WatchingPlane, "flat": FlatPlane}


class DelayedSender(PeerSender):
    """Sends after the one-way delay of the link, in order."""

    __slots__ = ("delayed",)

    use_daemon_thread = True

    def on_start(self):
        """Start the thread that sends delayed messages."""
        self.delayed = Queue()
        Thread(target=self._send_later, daemon=True).start()

    def deliver(self, send, data):
        """Queue a message for sending after its delay."""
        delay_s = DOMAIN_DELAY_S
        if send.region and send.region != self.region:
            delay_s = REGION_DELAY_S
        self.delayed.put((monotonic() + delay_s, send, data))
        return self.count_sent(send, data)

    def _send_later(self):
        heap = []
        order = count()
        while True:
            wait = max(heap[0][0] - monotonic(), 0) if heap else None
            try:
                due, send, data = self.delayed.get(timeout=wait)
                heappush(heap, (due, next(order), send, data))
            except Empty:
                _, _, send, data = heappop(heap)
                super().deliver(send, data)


class CuttableSender(DelayedSender):
    """Drops messages to the addresses that a file lists, to partition nodes.

    The file has the name of the settings file with the suffix ``.cut``.
    """

    __slots__ = ("cut", "read_at")

    def on_start(self):
        """Start without cut links."""
        super().on_start()
        self.cut = ()
        self.read_at = 0.0

    def deliver(self, send, data):
        """Queue a message, or drop it on a cut link."""
        now = monotonic()
        if now - self.read_at > CUT_CHECK_S:
            self.read_at = now
            path = Path(sys.argv[1]).with_suffix(".cut")
            self.cut = path.read_text().split() if path.exists() else ()
        if send.address in self.cut:
            return Count("messages_dropped_total", "cut")
        return super().deliver(send, data)


class NearPlatform(HttpPlatform):
    """A platform in the same region; a call takes two link delays."""

    __slots__ = ()

    delay_s = 2 * DOMAIN_DELAY_S

    def _call(self, method, path, timeout, convert, body=None):
        Event().wait(self.delay_s)
        return super()._call(method, path, timeout, convert, body)


class FarPlatform(NearPlatform):
    """A platform in another region."""

    __slots__ = ()

    delay_s = 2 * REGION_DELAY_S


def make_delayed_node(settings):
    """Return a node with delayed links and the chosen way of distribution."""
    is_cuttable = "cuttable" in sys.argv
    sender = CuttableSender if is_cuttable else DelayedSender
    parts = NodeParts(sender=sender, platform=NearPlatform)
    if settings.node_region != settings.platform_region:
        parts.platform = FarPlatform
    parts.plane = PLANES.get("".join(sys.argv[2:3]), parts.plane)
    return Node(settings, parts)


if __name__ == "__main__":
    sys.exit(run(sys.argv[1], make_delayed_node))

"""Nodes whose messages to other places take time, for demos and benchmarks.

The delay is added in the task that sends to peers and in the client of the
platform; the rest of the node is the same. The second argument names the
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
from cyclamentally_node.node import Node, NodeComponents
from cyclamentally_node.peers import PeerSender
from cyclamentally_testing.baselines import FlatPlane, WatchingPlane

REGION_DELAY_S = 0.008
CUT_CHECK_S = 0.2
DOMAIN_DELAY_S = 0.001
PLANES = {"watch": WatchingPlane, "flat": FlatPlane}


class DelayedSender(PeerSender):
    """Send after the one-way delay of the link; order is kept."""

    __slots__ = ("delayed",)

    use_daemon_thread = True

    def on_start(self):
        """Start the task that waits for delays."""
        self.delayed = Queue()
        Thread(target=self._send_later, daemon=True).start()

    def deliver(self, send, data):
        """Queue a message until its delay is over."""
        delay = DOMAIN_DELAY_S
        if send.region and send.region != self.region:
            delay = REGION_DELAY_S
        self.delayed.put((monotonic() + delay, send, data))
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
    """Drop messages to the addresses that a file lists.

    The file stands beside the settings and has their name with ``.cut``.
    """

    __slots__ = ("cut", "read_at")

    def on_start(self):
        """Start without a cut link."""
        super().on_start()
        self.cut = ()
        self.read_at = 0.0

    def deliver(self, send, data):
        """Send, or drop on a cut link."""
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

    delay = 2 * DOMAIN_DELAY_S

    def _call(self, method, path, timeout, decode_body, body=None):
        Event().wait(self.delay)
        return super()._call(method, path, timeout, decode_body, body)


class FarPlatform(NearPlatform):
    """A platform in another region."""

    __slots__ = ()

    delay = 2 * REGION_DELAY_S


def make_delayed_node(settings):
    """Return a node with delayed links and the chosen way of distribution."""
    is_cuttable = "cuttable" in sys.argv
    sender = CuttableSender if is_cuttable else DelayedSender
    components = NodeComponents(sender=sender, platform=NearPlatform)
    if settings.node_region != settings.platform_region:
        components.platform = FarPlatform
    components.plane = PLANES.get("".join(sys.argv[2:3]), components.plane)
    return Node(settings, components)


if __name__ == "__main__":
    sys.exit(run(sys.argv[1], make_delayed_node))

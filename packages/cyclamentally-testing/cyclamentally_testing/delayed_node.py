"""A node whose messages to other regions take time, for demos and benchmarks.

The delay is added in the task that sends to peers; the code of the node is
otherwise the same.
"""

import sys
from heapq import heappop, heappush
from itertools import count
from queue import Empty, Queue
from threading import Thread
from time import monotonic

from cyclamentally.effects import Count
from cyclamentally_node.daemon import run
from cyclamentally_node.node import Node
from cyclamentally_node.peers import PeerSender

REGION_DELAY_S = 0.008
DOMAIN_DELAY_S = 0.001


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
        pair = f"{self.region}>{send.region or 'unknown'}"
        return Count("peer_bytes_sent_total", pair, len(data))

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


def make_delayed_node(settings):
    """Return a node with delayed links."""
    return Node(settings, sender_class=DelayedSender)


if __name__ == "__main__":
    sys.exit(run(sys.argv[1], make_delayed_node))

"""One JSON line for each decision that touches a request, on standard output."""

import os

from msgspec.json import encode

# One in this many successes is logged; refusals and failures all are, up to
# the bound of lines.
SUCCESS_SAMPLE = 200
# Bounds processor time and the size of the output under overload.
LINES_PER_S = 50
FLUSH_S = 0.25
BUFFER_BYTES = 64 * 1024


class DecisionLog:
    """Collect lines and write them in batches; never block.

    Parameters
    ----------
    loop : Loop
        Event loop.
    node : str
        Name of the node, part of every line.
    descriptor : int
        Open file that the lines go to.
    """

    __slots__ = (
        "allowed",
        "buffer",
        "descriptor",
        "dropped",
        "loop",
        "node",
        "successes",
        "timer",
    )

    def __init__(self, loop, node, descriptor=1):
        self.loop = loop
        self.node = node
        self.descriptor = descriptor
        self.buffer = bytearray()
        self.allowed = LINES_PER_S
        self.dropped = 0
        self.successes = 0
        self.timer = None

    def start(self):
        """Begin to write what is collected."""
        os.set_blocking(self.descriptor, False)
        self.timer = self.loop.call_after(FLUSH_S, self._flush_later)

    def close(self):
        """Write what is left."""
        if self.timer is not None:
            self.timer.cancel()
        self._flush()

    def success(self, event, **fields):
        """Log one in `SUCCESS_SAMPLE` events."""
        self.successes += 1
        if self.successes % SUCCESS_SAMPLE == 1:
            self.write(event, **fields)

    def write(self, event, **fields):
        """Log an event with its inputs."""
        if self.allowed < 1 or len(self.buffer) > BUFFER_BYTES:
            self.dropped += 1
            return
        self.allowed -= 1
        line = {"t": round(self.loop.clock(), 3), "node": self.node, "event": event}
        line.update(fields)
        self.buffer += encode(line)
        self.buffer += b"\n"

    def listener_failed(self, address, reason):
        """Log that a listening socket could not accept a connection."""
        self.write("accept_failed", address=address, detail=reason)

    def _flush_later(self):
        self.allowed = min(LINES_PER_S, self.allowed + LINES_PER_S * FLUSH_S)
        self._flush()
        self.timer = self.loop.call_after(FLUSH_S, self._flush_later)

    def _flush(self):
        if self.dropped and self.allowed >= 1:
            dropped, self.dropped = self.dropped, 0
            self.write("lines_dropped", count=dropped)
        if not self.buffer:
            return
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads the output any more; there is no other place to say so.
            written = len(self.buffer)
        del self.buffer[:written]

"""Structured log: one JSON line for each event, on standard output."""

import os
from pathlib import Path
from traceback import extract_tb

from msgspec.json import encode

# One in this many successes is logged; refusals and failures are not sampled, only
# rate-limited.
SUCCESS_SAMPLE_INTERVAL = 200
# Rate limit; bounds processor time and the size of the output under overload.
LINES_PER_S = 50
FLUSH_INTERVAL_S = 0.25
BUFFER_BYTES = 64 * 1024


class DecisionLog:
    """Buffer log lines and write them in batches without blocking.

    Parameters
    ----------
    loop : Loop
        Event loop.
    node : str
        Name of the node, included in every line.
    descriptor : int
        File descriptor to write to.
    """

    __slots__ = (
        "tokens",
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
        self.tokens = LINES_PER_S
        self.dropped = 0
        self.successes = 0
        self.timer = None

    def start(self):
        """Start to write buffered lines periodically."""
        os.set_blocking(self.descriptor, False)
        self.timer = self.loop.call_after(FLUSH_INTERVAL_S, self._flush_periodically)

    def close(self):
        """Write the remaining lines."""
        if self.timer is not None:
            self.timer.cancel()
        self._flush()

    def success(self, event, **fields):
        """Log one in `SUCCESS_SAMPLE_INTERVAL` events."""
        self.successes += 1
        if self.successes % SUCCESS_SAMPLE_INTERVAL == 1:
            self.write(event, **fields)

    def write(self, event, **fields):
        """Log an event with its fields, unless the rate limit is exceeded."""
        if self.tokens < 1 or len(self.buffer) > BUFFER_BYTES:
            self.dropped += 1
            return
        self.tokens -= 1
        line = {"t": round(self.loop.clock(), 3), "node": self.node, "event": event}
        line.update(fields)
        self.buffer += encode(line)
        self.buffer += b"\n"

    def listener_failed(self, address, reason):
        """Log that a listening socket could not accept a connection."""
        self.write("accept_failed", address=address, detail=reason)

    def unexpected_error(self, error, **fields):
        """Log an exception that no handler expects, with the place that raised it."""
        place = extract_tb(error.__traceback__)[-1]
        self.write(
            "unexpected_error",
            kind=type(error).__name__,
            detail=str(error),
            place=f"{Path(place.filename).name}:{place.lineno} {place.name}",
            **fields,
        )

    def _flush_periodically(self):
        self.timer = self.loop.call_after(FLUSH_INTERVAL_S, self._flush_periodically)
        self.tokens = min(LINES_PER_S, self.tokens + LINES_PER_S * FLUSH_INTERVAL_S)
        self._flush()

    def _flush(self):
        if self.dropped and self.tokens >= 1:
            dropped, self.dropped = self.dropped, 0
            self.write("lines_dropped", count=dropped)
        if not self.buffer:
            return
        try:
            written = os.write(self.descriptor, self.buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader of the output is gone and there is no other place to log.
            written = len(self.buffer)
        del self.buffer[:written]

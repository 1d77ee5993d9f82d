"""Pacing of large writes to the link's rate, so that small writes are not queued."""

from collections import deque

from cyclamentally.uplink import LARGE_ANSWER_BYTES

# Time that one chunk occupies the link; bounds the delay of small responses, which
# wait for at most two chunks.
CHUNK_S = 0.02
# Smaller chunks cost more in system calls than they save in delay.
MIN_CHUNK_BYTES = 8 * 1024


class PacedWrite:
    """The unwritten rest of a large write to a stream."""

    __slots__ = ("data", "stream")

    def __init__(self, stream, data):
        self.stream = stream
        self.data = data


class Pacer:
    """Write large responses one after the other at the rate of an `Uplink`.

    A token bucket counts bytes; small responses bypass the queue but use tokens.

    Parameters
    ----------
    loop : Loop
        Event loop.
    uplink : Uplink
        Rate of the link and number of queued bytes.
    """

    __slots__ = (
        "loop",
        "chunk_bytes",
        "timer",
        "tokens",
        "refilled_at",
        "uplink",
        "queue",
    )

    def __init__(self, loop, uplink):
        self.loop = loop
        self.uplink = uplink
        rate = uplink.usable_bytes_per_s or 0.0
        self.chunk_bytes = max(MIN_CHUNK_BYTES, int(rate * CHUNK_S))
        self.tokens = 2.0 * self.chunk_bytes
        self.refilled_at = loop.clock()
        self.timer = None
        self.queue = deque()

    def write(self, stream, data):
        """Write to a stream, in paced chunks if the data is large."""
        if self.uplink.usable_bytes_per_s is None:
            stream.write(data)
        elif len(data) < LARGE_ANSWER_BYTES and not stream.paced_bytes:
            # The debt is bounded, so many small responses cannot starve large ones.
            self.tokens = max(-2.0 * self.chunk_bytes, self.tokens - len(data))
            self.uplink.note_small_answer(len(data), self.loop.clock())
            stream.write(data)
        else:
            stream.paced_bytes += len(data)
            self.uplink.queued_bytes += len(data)
            self.queue.append(PacedWrite(stream, memoryview(data)))
            self._run()

    def close(self):
        """Cancel the timer and drop all queued writes."""
        if self.timer is not None:
            self.timer.cancel()
        self.queue.clear()

    def _run(self):
        now = self.loop.clock()
        gained = (now - self.refilled_at) * self.uplink.usable_bytes_per_s
        self.refilled_at = now
        self.tokens = min(2.0 * self.chunk_bytes, self.tokens + gained)
        while self.queue:
            write = self.queue[0]
            size = min(self.chunk_bytes, len(write.data))
            if not write.stream.is_open:
                self._discard(write)
            elif size <= self.tokens:
                self._write_chunk(write, size)
            else:
                break
        if self.queue and self.timer is None:
            delay = max(CHUNK_S, (size - self.tokens) / self.uplink.usable_bytes_per_s)
            self.timer = self.loop.call_after(delay, self._resume)

    def _resume(self):
        self.timer = None
        self._run()

    def _write_chunk(self, write, size):
        self.tokens -= size
        self.uplink.queued_bytes -= size
        chunk, write.data = write.data[:size], write.data[size:]
        if not write.data:
            self.queue.popleft()
        if not self.loop.attempt(write.stream.write_paced, chunk):
            write.stream.abort()

    def _discard(self, write):
        """Drop the queued write of a closed connection."""
        self.queue.popleft()
        self.uplink.queued_bytes -= len(write.data)

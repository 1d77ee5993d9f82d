"""Large writes at the pace of the host's link, so that small ones need not wait."""

from collections import deque

from cyclamentally.uplink import LARGE_ANSWER_BYTES

# The time that one piece occupies the link, in seconds; small answers wait for
# two pieces at most.
PIECE_S = 0.02
# Smaller pieces would cost more system calls than they save time.
LEAST_PIECE_BYTES = 8 * 1024


class PacedWrite:
    """The rest of a large write to a stream."""

    __slots__ = ("data", "stream")

    def __init__(self, stream, data):
        self.stream = stream
        self.data = data


class Pacer:
    """Write large answers one after the other at the rate of an `Uplink`.

    Parameters
    ----------
    loop : Loop
        Event loop.
    uplink : Uplink
        Rate, and the count of bytes that wait.
    """

    __slots__ = ("loop", "piece", "timer", "tokens", "updated", "uplink", "waiting")

    def __init__(self, loop, uplink):
        self.loop = loop
        self.uplink = uplink
        rate = uplink.usable_bytes_per_s or 0.0
        self.piece = max(LEAST_PIECE_BYTES, int(rate * PIECE_S))
        self.tokens = 2.0 * self.piece
        self.updated = loop.clock()
        self.timer = None
        self.waiting = deque()

    def write(self, stream, data):
        """Write to a stream, in pieces if that is large."""
        if self.uplink.usable_bytes_per_s is None:
            stream.write(data)
        elif len(data) < LARGE_ANSWER_BYTES and not stream.paced:
            # A flood of small answers does not keep the large ones back for long.
            self.tokens = max(-2.0 * self.piece, self.tokens - len(data))
            self.uplink.note_small_answer(len(data), self.loop.clock())
            stream.write(data)
        else:
            stream.paced += len(data)
            self.uplink.queued_bytes += len(data)
            self.waiting.append(PacedWrite(stream, memoryview(data)))
            self._run()

    def close(self):
        """Forget what waits."""
        if self.timer is not None:
            self.timer.cancel()
        self.waiting.clear()

    def _run(self):
        now = self.loop.clock()
        gained = (now - self.updated) * self.uplink.usable_bytes_per_s
        self.updated = now
        self.tokens = min(2.0 * self.piece, self.tokens + gained)
        while self.waiting:
            write = self.waiting[0]
            size = min(self.piece, len(write.data))
            if not write.stream.is_open:
                self._drop(write)
            elif size <= self.tokens:
                self._write_piece(write, size)
            else:
                break
        if self.waiting and self.timer is None:
            delay = max(PIECE_S, (size - self.tokens) / self.uplink.usable_bytes_per_s)
            self.timer = self.loop.call_after(delay, self._resume)

    def _resume(self):
        self.timer = None
        self._run()

    def _write_piece(self, write, size):
        self.tokens -= size
        self.uplink.queued_bytes -= size
        piece, write.data = write.data[:size], write.data[size:]
        if not write.data:
            self.waiting.popleft()
        write.stream.write_paced(piece)

    def _drop(self, write):
        """Give the link free that a broken connection no longer needs."""
        self.waiting.popleft()
        self.uplink.queued_bytes -= len(write.data)

"""Evidence of which requests end the upstream of a host."""

from cyclamentally.model import CrashMark
from cyclamentally.records import Record

# The connections of an upstream that ends are lost within this time.
LOSS_WINDOW_S = 0.1
# Losses without a sign that the upstream has ended are forgotten after this time,
# which allows for its restart and first heartbeat.
LOSS_MEMORY_S = 10.0
# A request that was answered this long ago is not the cause of an end: popular ones
# are in flight at most ends.
PROVEN_S = 30.0
# Bounds the memory for answered requests.
MAX_PROVEN = 2_048


class Loss(Record):
    """A request that was lost, with the time in seconds."""

    __slots__ = ("fingerprint", "lost_at")

    def __init__(self, fingerprint, lost_at):
        self.fingerprint = fingerprint
        self.lost_at = lost_at


class CrashEvidence:
    """Requests that were lost at the upstream, and those that it has answered."""

    __slots__ = ("losses", "proven")

    def __init__(self):
        self.losses = []
        # Times of answers by fingerprint, oldest first.
        self.proven = {}

    def note_answer(self, fingerprint, now):
        """Note that the upstream has run and answered a request."""
        self.proven.pop(fingerprint, None)
        self.proven[fingerprint] = now
        if len(self.proven) > MAX_PROVEN:
            del self.proven[next(iter(self.proven))]

    def note_loss(self, fingerprint, now):
        """Note that a request was lost while the upstream may have run it."""
        self.losses = [x for x in self.losses if now - x.lost_at < LOSS_MEMORY_S]
        self.losses.append(Loss(fingerprint, now))

    def take_marks(self, crash, marked, now):
        """Return a `CrashMark` for each request that may have ended the upstream.

        Parameters
        ----------
        crash : str
            Identifies this end of an upstream.
        marked : frozenset of int
            Fingerprints of requests with marks of earlier ends. If just one of them
            was lost, its mark counts as that of a repeat.
        now : float
            Time in seconds.
        """
        losses, self.losses = self.losses, []
        if not losses or now - losses[-1].lost_at >= LOSS_MEMORY_S:
            return []
        begin = losses[-1].lost_at - LOSS_WINDOW_S
        lost = {x.fingerprint for x in losses if x.lost_at >= begin}
        suspects = {x for x in lost if now - self.proven.get(x, -PROVEN_S) >= PROVEN_S}
        known = suspects & marked
        return [CrashMark(x, crash, known == {x}) for x in sorted(suspects)]

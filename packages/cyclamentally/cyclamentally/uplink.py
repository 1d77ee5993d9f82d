"""The link of a host as a resource that large answers share."""

from math import exp

# An answer of this many bytes takes 0.06 s on the slowest links (4.5 Mbit/s).
LARGE_ANSWER_BYTES = 32 * 1024
# The part of a link that answers to other nodes may fill; the rest carries own
# requests, heartbeats and the store's items without a wait.
REMOTE_ANSWERS_SHARE = 0.85
# Small answers go first; at least this part of it is counted on for large ones.
MIN_LARGE_SHARE = 0.1
# Time over which the bytes of small answers are averaged, in seconds.
SMALL_RATE_WINDOW_S = 2.0
# Share of the newest answer in a route's usual size.
SIZE_EWMA_WEIGHT = 0.15
# Bounds the memory of sizes; configurations have up to 2,000 routes.
MAX_KNOWN_ROUTES = 256
# So much of a wait is accepted even past the target, in seconds: an idle link
# takes any answer.
MIN_ALLOWED_DELAY_S = 0.3


class Uplink:
    """Expect how long large answers to other hosts take on the link.

    Parameters
    ----------
    bytes_per_s : float or None
        Rate of the link; None if it is not known, which bounds nothing.
    """

    __slots__ = (
        "queued_bytes",
        "usable_bytes_per_s",
        "reserved_bytes",
        "mean_sizes",
        "small_updated_at",
        "small_bytes_per_s",
    )

    def __init__(self, bytes_per_s=None):
        self.usable_bytes_per_s = bytes_per_s and REMOTE_ANSWERS_SHARE * bytes_per_s
        # Bytes of small answers a second, and when that was brought up to date.
        self.small_bytes_per_s = 0.0
        self.small_updated_at = 0.0
        # Bytes of large answers that have not been written yet.
        self.queued_bytes = 0
        # Expected bytes by the number of each admitted request.
        self.reserved_bytes = {}
        self.mean_sizes = {}

    def update_size(self, route, size):
        """Take in the size of an answer, in bytes."""
        known = self.mean_sizes.get(route)
        if known is None:
            if len(self.mean_sizes) < MAX_KNOWN_ROUTES:
                self.mean_sizes[route] = float(size)
            return
        self.mean_sizes[route] = known + SIZE_EWMA_WEIGHT * (size - known)

    def note_small_answer(self, size, now):
        """Take in a small answer, which goes before the large ones."""
        kept = exp((self.small_updated_at - now) / SMALL_RATE_WINDOW_S)
        self.small_bytes_per_s = (
            self.small_bytes_per_s * kept + size / SMALL_RATE_WINDOW_S
        )
        self.small_updated_at = now

    def reserve(self, number, route):
        """Count the answer to an admitted request, if it will be large."""
        if self.is_large(route):
            self.reserved_bytes[number] = self.mean_sizes[route]

    def release(self, number):
        """Forget the answer to a request."""
        self.reserved_bytes.pop(number, None)

    def is_large(self, route):
        """Whether the answers of a route are large as a rule."""
        return (
            self.usable_bytes_per_s is not None
            and self.mean_sizes.get(route, 0.0) >= LARGE_ANSWER_BYTES
        )

    def delay(self, route):
        """Return how long the link takes for one more answer, in seconds.

        Those that wait and those that are expected go before it.
        """
        if not self.is_large(route):
            return 0.0
        ahead = self.queued_bytes + sum(self.reserved_bytes.values())
        left = max(
            MIN_LARGE_SHARE * self.usable_bytes_per_s,
            self.usable_bytes_per_s - self.small_bytes_per_s,
        )
        return (ahead + self.mean_sizes[route]) / left

    def would_miss_target(self, route, left_s):
        """Whether one more answer would miss its target for the link's sake.

        The host of the caller passes it on over a link like this one.

        Parameters
        ----------
        route : str
            Route of the request.
        left_s : float
            Time until its target, without that of its run, in seconds.
        """
        delay = self.delay(route)
        if delay == 0.0:
            return False
        passed_on_s = self.mean_sizes[route] / self.usable_bytes_per_s
        return delay + passed_on_s > max(left_s, MIN_ALLOWED_DELAY_S + passed_on_s)

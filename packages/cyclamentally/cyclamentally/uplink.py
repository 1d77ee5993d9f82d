"""Estimates the delay of large answers on the uplink of a host."""

from math import exp

# Takes 0.06 s on the slowest links (4.5 Mbit/s).
LARGE_ANSWER_BYTES = 32 * 1024
# Share of the link for answers to other nodes. The rest carries this node's own
# requests, heartbeats and items of the store without a delay.
REMOTE_ANSWERS_SHARE = 0.85
# Small answers are sent first; at least this share is assumed to be left for large
# ones.
MIN_LARGE_SHARE = 0.1
# Time constant of the average rate of small answers.
SMALL_RATE_WINDOW_S = 2.0
SIZE_EWMA_WEIGHT = 0.15
# Size of a download until one has been measured.
USUAL_DOWNLOAD_BYTES = 90_000
# Bounds the memory for sizes; configurations have up to 2,000 routes.
MAX_KNOWN_ROUTES = 256
# This delay is accepted even if the target is missed, so that an idle link takes
# any answer.
MIN_ALLOWED_DELAY_S = 0.3


class Uplink:
    """Estimates how long large answers to other hosts take on the link.

    Parameters
    ----------
    bytes_per_s : float or None
        Rate of the link; None if unknown, in which case nothing is refused.
    """

    __slots__ = (
        "downloads",
        "queued_bytes",
        "usable_bytes_per_s",
        "reserved_bytes",
        "mean_sizes",
        "small_updated_at",
        "small_bytes_per_s",
    )

    def __init__(self, bytes_per_s=None):
        self.usable_bytes_per_s = bytes_per_s and REMOTE_ANSWERS_SHARE * bytes_per_s
        # Average rate of small answers, and the time of its last update.
        self.small_bytes_per_s = 0.0
        self.small_updated_at = 0.0
        # Bytes of large answers that wait to be written.
        self.queued_bytes = 0
        # Expected size of each admitted request's answer, by request number.
        self.reserved_bytes = {}
        self.mean_sizes = {}
        # Names of the routes that serve downloads.
        self.downloads = frozenset()

    def update_size(self, route, size):
        """Update a route's mean answer size, in bytes."""
        known = self.mean_sizes.get(route)
        if known is None:
            if len(self.mean_sizes) < MAX_KNOWN_ROUTES:
                self.mean_sizes[route] = float(size)
            return
        self.mean_sizes[route] = known + SIZE_EWMA_WEIGHT * (size - known)

    def expected_size(self, route):
        """Return the expected size of a route's answer, in bytes.

        A node that has just started knows no sizes; without an estimate, it would
        admit more downloads than the link carries.
        """
        known = self.mean_sizes.get(route)
        if known is not None:
            return known
        if route not in self.downloads:
            return 0.0
        return float(USUAL_DOWNLOAD_BYTES)

    def note_small_answer(self, size, now):
        """Count a small answer, which is sent before the large ones."""
        kept = exp((self.small_updated_at - now) / SMALL_RATE_WINDOW_S)
        self.small_bytes_per_s = (
            self.small_bytes_per_s * kept + size / SMALL_RATE_WINDOW_S
        )
        self.small_updated_at = now

    def reserve(self, number, route):
        """Reserve the link for the answer to a request, if it will be large."""
        if self.is_large(route):
            self.reserved_bytes[number] = self.expected_size(route)

    def release(self, number):
        """Drop the reservation of a request."""
        self.reserved_bytes.pop(number, None)

    def is_large(self, route):
        """Whether the expected answer of a route is large."""
        return (
            self.usable_bytes_per_s is not None
            and self.expected_size(route) >= LARGE_ANSWER_BYTES
        )

    def delay(self, route):
        """Return the time to send one more answer of a route, in seconds.

        All queued and reserved answers are sent before it.
        """
        if not self.is_large(route):
            return 0.0
        ahead = self.queued_bytes + sum(self.reserved_bytes.values())
        left = max(
            MIN_LARGE_SHARE * self.usable_bytes_per_s,
            self.usable_bytes_per_s - self.small_bytes_per_s,
        )
        return (ahead + self.expected_size(route)) / left

    def would_miss_target(self, route, left_s):
        """Whether one more answer would miss its target because of the link.

        The caller's host is assumed to forward it over a link of the same rate.

        Parameters
        ----------
        route : str
            Route of the request.
        left_s : float
            Time between the expected end of its service and its target, in seconds.
        """
        delay = self.delay(route)
        if delay == 0.0:
            return False
        passed_on_s = self.expected_size(route) / self.usable_bytes_per_s
        return delay + passed_on_s > max(left_s, MIN_ALLOWED_DELAY_S + passed_on_s)

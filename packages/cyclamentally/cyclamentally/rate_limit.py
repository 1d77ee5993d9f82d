"""Limit of the requests a second that an upstream takes, as it names it."""

# Requests of this time may start at once after a pause.
BURST_S = 0.25
# The users accept half more than the limit. While other upstreams have room, senders
# keep to the limit itself; with the rest, fewer requests are refused in a shortage.
OVERRUN = 1.3
# An upstream that takes nothing is still asked this often: only its answers tell
# that its limit has ended.
MIN_RATE_PER_S = 0.5


class RateLimit:
    """Token bucket of an upstream; without a limit, requests start at any time."""

    __slots__ = ("named", "rate", "tokens", "updated_at")

    def __init__(self):
        # The limit, and the rate at which requests start, both in requests a second;
        # None without a limit.
        self.named = None
        self.rate = None
        self.tokens = 0.0
        self.updated_at = 0.0

    def set_limit(self, limit, is_shedding, now):
        """Apply the limit of the newest answer.

        Parameters
        ----------
        limit : float or None
            Requests a second; None if the answer names no limit.
        is_shedding : bool
            Whether the upstream rejects requests; then it gets no more than the
            limit.
        now : float
            Time in seconds.
        """
        self._refill(now)
        had_limit = self.named is not None
        self.named = limit
        if limit is None:
            self.rate = None
            return
        rate = limit if is_shedding else OVERRUN * limit
        self.rate = max(MIN_RATE_PER_S, rate)
        if not had_limit:
            self.tokens = self._burst(self.rate)

    def delay(self, ahead, now):
        """Return the time until a request may start, in seconds.

        Parameters
        ----------
        ahead : int
            Requests that start before it.
        now : float
            Time in seconds.
        """
        if self.rate is None:
            return 0.0
        self._refill(now)
        return max(0.0, (ahead + 1 - self.tokens) / self.rate)

    def take(self):
        """Count a request that starts."""
        self.tokens -= 1.0

    def slots(self, slots, service_time_s):
        """Return how many of an upstream's slots its limit keeps in use, at least 1."""
        if self.named is None:
            return slots
        return min(slots, max(1, round(self.named * service_time_s)))

    def _refill(self, now):
        if self.rate is not None:
            added = (now - self.updated_at) * self.rate
            self.tokens = min(self._burst(self.rate), self.tokens + added)
        self.updated_at = now

    def _burst(self, rate):
        return max(1.0, BURST_S * rate)

"""Rate limit and retry backoff."""

from cyclamentally.records import Record


class TokenBucket(Record):
    """Token bucket that limits a rate.

    Parameters
    ----------
    rate : float
        Tokens added per second.
    capacity : float
        Maximum of stored tokens.
    now : float
        Time in seconds.
    """

    __slots__ = ("rate", "capacity", "tokens", "updated")

    def __init__(self, rate, capacity, now):
        self.rate = rate
        self.capacity = capacity
        self.tokens = capacity
        self.updated = now

    def take(self, now):
        """Take a token; return whether there was one."""
        elapsed = max(0.0, now - self.updated)
        self.updated = now
        self.tokens = min(self.capacity, self.tokens + elapsed * self.rate)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class Backoff(Record):
    """Exponential backoff with full jitter.

    Parameters
    ----------
    first, longest : float
        First and largest upper bound of the random delay, in seconds.
    random : random.Random
        Source of random numbers.
    """

    __slots__ = ("first", "longest", "attempt", "random")

    def __init__(self, first, longest, random):
        self.first = first
        self.longest = longest
        self.attempt = 0
        self.random = random

    def next_delay(self):
        """Return the next delay in seconds."""
        ceiling = min(self.longest, self.first * 2**self.attempt)
        self.attempt = min(self.attempt + 1, 32)
        return self.random.uniform(0, ceiling)

    def reset(self):
        """Start again from the first delay."""
        self.attempt = 0

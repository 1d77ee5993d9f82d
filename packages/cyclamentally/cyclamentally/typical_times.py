"""Expected service times of upstreams that have not answered on a route yet.

Upstreams of a service differ in speed by a factor of several. A node sends few requests
to each of them, so it estimates the time on one route from the others: the typical time
of the route over all upstreams, times how slow the upstream was on other routes.
"""

from cyclamentally.gate_messages import DEFAULT_SERVICE_TIME_S

EWMA_WEIGHT = 0.1
# An upstream is measured by a few answers; its own speed changes while it is cold.
SLOWNESS_WEIGHT = 0.3
# Bounds the memory; configurations have up to 2,000 routes.
MAX_KNOWN_ROUTES = 256


class TypicalTimes:
    """Moving average of the service times of each route over all upstreams."""

    __slots__ = ("means",)

    def __init__(self):
        self.means = {}

    def mean(self, route):
        """Return the typical time in seconds, or the default of an unknown route."""
        return self.means.get(route, DEFAULT_SERVICE_TIME_S)

    def update(self, route, service_time_s):
        """Add a service time; returns its ratio to the typical time before."""
        known = self.means.get(route)
        if known is None:
            if len(self.means) < MAX_KNOWN_ROUTES:
                self.means[route] = service_time_s
            return 1.0
        self.means[route] = known + EWMA_WEIGHT * (service_time_s - known)
        return service_time_s / known if known > 0 else 1.0

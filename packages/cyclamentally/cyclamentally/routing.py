"""Strategies to choose among the upstreams of a service."""

from abc import ABC, abstractmethod

CANDIDATES = 2


class Chooser(ABC):
    """Strategy that chooses one of the upstreams with a free slot."""

    __slots__ = ()

    @abstractmethod
    def choose(self, endpoints, call_class):
        """Return one endpoint of a list that is not empty."""


class RandomChooser(Chooser):
    """Chooses any upstream with the same probability."""

    __slots__ = ("random",)

    def __init__(self, random):
        self.random = random

    def choose(self, endpoints, call_class):
        """Return a random endpoint."""
        return self.random.choice(endpoints)


class RoundRobinChooser(Chooser):
    """Chooses one upstream after the other."""

    __slots__ = ("turn",)

    def __init__(self):
        self.turn = 0

    def choose(self, endpoints, call_class):
        """Return the next endpoint."""
        self.turn += 1
        return endpoints[self.turn % len(endpoints)]


class NearestChooser(Chooser):
    """Chooses the cheaper of two random upstreams in the nearest place with free slots.

    Parameters
    ----------
    domain, region : str
        Failure domain and region of this node.
    random : random.Random
        Source of random numbers.
    """

    __slots__ = ("domain", "random", "region")

    def __init__(self, domain, region, random):
        self.domain = domain
        self.region = region
        self.random = random

    def choose(self, endpoints, call_class):
        """Return the cheaper of two random nearest endpoints."""
        near = self._nearest(endpoints)
        if len(near) > CANDIDATES:
            near = self.random.sample(near, CANDIDATES)
        return min(near, key=_cost)

    def _nearest(self, endpoints):
        local = [e for e in endpoints if e.location.domain == self.domain]
        if local:
            return local
        regional = [e for e in endpoints if e.location.region == self.region]
        return regional or endpoints


def _cost(endpoint):
    return endpoint.cost

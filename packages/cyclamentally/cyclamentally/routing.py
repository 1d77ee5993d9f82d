"""Choice among the upstreams of a service."""

from abc import ABC, abstractmethod

CANDIDATES = 2


class Chooser(ABC):
    """A way to choose one of the upstreams that have room."""

    __slots__ = ()

    @abstractmethod
    def choose(self, endpoints, call_class):
        """Return one endpoint of a list that is not empty."""


class RandomChooser(Chooser):
    """Any upstream with the same probability."""

    __slots__ = ("random",)

    def __init__(self, random):
        self.random = random

    def choose(self, endpoints, call_class):
        """Return a random endpoint."""
        return self.random.choice(endpoints)


class RoundRobinChooser(Chooser):
    """One upstream after the other."""

    __slots__ = ("turn",)

    def __init__(self):
        self.turn = 0

    def choose(self, endpoints, call_class):
        """Return the next endpoint."""
        self.turn += 1
        return endpoints[self.turn % len(endpoints)]


class NearestChooser(Chooser):
    """The nearest place with room, there the cheaper of two random ones.

    Parameters
    ----------
    domain, region : str
        Place of this node.
    random : random.Random
        Source of random numbers.
    """

    __slots__ = ("domain", "random", "region")

    def __init__(self, domain, region, random):
        self.domain = domain
        self.region = region
        self.random = random

    def choose(self, endpoints, call_class):
        """Return the cheaper of two random endpoints nearby."""
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

"""Simple placement and admission control, as baselines of benchmarks."""

from cyclamentally.gate import Gate
from cyclamentally.placing import Placement
from cyclamentally.urgency import Urgency


class RandomPlacement(Placement):
    """Chooses among upstreams with equal probability.

    Parameters
    ----------
    random : random.Random
        Source of random numbers.
    """

    __slots__ = ("random",)

    def __init__(self, random):
        self.random = random

    def choose(self, views, rule, now):
        """Return a random view."""
        return self.random.choice(views)


class FifoUrgency(Urgency):
    """Orders tickets by their arrival; none counts as late."""

    __slots__ = ()

    def key(self, ticket, now):
        """Return the number of a ticket, which grows."""
        return ticket.number

    def is_late(self, ticket, start):
        """Return False."""
        return False


class FifoGate(Gate):
    """Serves tickets first in, first out; refuses only at their deadline."""

    __slots__ = ()

    def make_urgency(self):
        """Return the order of arrival."""
        return FifoUrgency()

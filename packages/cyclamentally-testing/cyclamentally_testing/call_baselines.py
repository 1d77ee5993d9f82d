"""Simple placement and admission control, as baselines of benchmarks."""

from cyclamentally.gate import Gate
from cyclamentally.placing import Placement


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


class FifoGate(Gate):
    """Serves tickets first in, first out; refuses only at their deadline."""

    __slots__ = ()

    def _queue_key(self, ticket, now):
        return ticket.number

    def _is_late(self, ticket, start):
        return False

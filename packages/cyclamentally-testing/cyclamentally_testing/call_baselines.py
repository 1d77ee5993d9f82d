"""Plain ways to place and admit calls, to compare the product's against."""

from cyclamentally.gate import Gate
from cyclamentally.placing import Placement


class RandomPlacement(Placement):
    """Any upstream with the same probability.

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


class FirstInGate(Gate):
    """First in, first out; refused only when the time is over."""

    __slots__ = ()

    def _queue_key(self, ticket, now):
        return ticket.number

    def _is_late(self, ticket, start):
        return False

"""Revisions of the platform's store, which may return to an older state."""

from functools import total_ordering

from cyclamentally.records import Record


@total_ordering
class Revision(Record):
    """A revision of the store; ordered by era, then by number.

    Parameters
    ----------
    era : int
        Rises by one each time the store is restored from a copy.
    number : int
        Rises with each change within an era. After a restore, numbers continue from
        the copy's, so the same number may name different changes in two eras.
    """

    __slots__ = ("era", "number")

    def __init__(self, era, number):
        self.era = era
        self.number = number

    def __lt__(self, other):
        return self.values() < other.values()

    def __hash__(self):
        return hash((self.era, self.number))

    def __str__(self):
        return f"{self.era}.{self.number}"


NO_REVISION = Revision(0, 0)
# Era of a store that has never been restored.
FIRST_ERA = 1

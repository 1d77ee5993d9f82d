"""Interface of the platform's key-value service and its outcomes."""

from abc import ABC, abstractmethod

from cyclamentally.records import Record

PROFILE_PREFIX = "profiles/"
SEED_PREFIX = "seeds/"
HISTORY_PREFIX = "history/"


class Entry(Record):
    """A key with its value.

    Parameters
    ----------
    key : str
        Key.
    value : bytes
        Value, up to one megabyte.
    revision : int
        Revision of the entry, for compare-and-swap; 0 for an absent key.
    """

    __slots__ = ("key", "value", "revision")

    def __init__(self, key, value, revision):
        self.key = key
        self.value = value
        self.revision = revision


class Listing(Record):
    """Entries below a prefix, and the point up to which they are complete.

    Parameters
    ----------
    entries : list of Entry
        Entries, in no promised order.
    cursor : int
        Point from which a watch goes on.
    """

    __slots__ = ("entries", "cursor")

    def __init__(self, entries, cursor):
        self.entries = entries
        self.cursor = cursor


class Platform(ABC):
    """The platform's key-value service; every method is one call.

    All methods return ``Done`` or ``Refused``. The kind
    ``platform_unavailable`` says that nothing was written,
    ``platform_outcome_unknown`` that a write may have taken effect.
    """

    __slots__ = ()

    @abstractmethod
    def read(self, key):
        """Return ``Done`` with an `Entry`; revision 0 if the key is absent."""

    @abstractmethod
    def read_all(self, prefix):
        """Return ``Done`` with a `Listing`."""

    @abstractmethod
    def watch(self, prefix, cursor, wait):
        """Return ``Done`` with the entries changed since a cursor.

        Parameters
        ----------
        prefix : str
            Keys of interest.
        cursor : int
            From an earlier `Listing`.
        wait : float
            Longest time until an empty answer, in seconds.
        """

    @abstractmethod
    def write(self, key, value, revision):
        """Write if the entry still has a revision.

        Returns ``Done`` with the new revision, or ``Refused`` with
        ``version_conflict`` if the entry has changed.
        """

    @abstractmethod
    def close(self):
        """Release connections."""

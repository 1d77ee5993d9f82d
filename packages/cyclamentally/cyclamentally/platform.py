"""Interface of the platform's key-value store."""

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
    """Entries below a prefix, and the position up to which they are complete.

    Parameters
    ----------
    entries : list of Entry
        Entries, in no particular order.
    cursor : int
        Position from which a watch continues.
    """

    __slots__ = ("entries", "cursor")

    def __init__(self, entries, cursor):
        self.entries = entries
        self.cursor = cursor


class Platform(ABC):
    """The platform's key-value store; each method makes one call.

    Methods that call the store return ``Done`` or ``Refused``. The kind
    ``platform_unavailable`` means that nothing was written,
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
            Prefix of the watched keys.
        cursor : int
            From an earlier `Listing`.
        wait : float
            Time after which an empty answer is returned, in seconds.
        """

    @abstractmethod
    def write(self, key, value, revision):
        """Write a value if the entry still has a revision (compare-and-swap).

        Returns ``Done`` with the new revision, or ``Refused`` with
        ``version_conflict`` if the entry has changed.
        """

    @abstractmethod
    def close(self):
        """Release connections."""

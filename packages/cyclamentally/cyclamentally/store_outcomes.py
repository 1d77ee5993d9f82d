"""Outcomes of calls to the platform's store, and the interface to its protocol."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cyclamentally.records import Record
from cyclamentally.revisions import Revision

# Delays between calls to a failing store: entries have to be listed again within
# 2 s of its return.
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.9


class StoreCall(Record):
    """An encoded call to the store.

    Parameters
    ----------
    method, target : bytes
        HTTP method and path with query.
    body : bytes
        Encoded body; empty for none.
    decode : callable
        Takes the `Response` of the store and returns an outcome.
    """

    __slots__ = ("method", "target", "body", "decode")

    def __init__(self, method, target, body, decode):
        self.method = method
        self.target = target
        self.body = body
        self.decode = decode


class StoredItem(Record):
    """A key with its value and the `Revision` of its last change."""

    __slots__ = ("key", "value", "revision")

    def __init__(self, key, value, revision):
        self.key = key
        self.value = value
        self.revision = revision


class RemovedKey(Record):
    """A key that was removed, with the `Revision` of its removal."""

    __slots__ = ("key", "revision")

    def __init__(self, key, revision):
        self.key = key
        self.revision = revision


@dataclass(frozen=True, slots=True)
class Page:
    """A page of the items of a prefix."""

    items: list
    has_more: bool
    revision: Revision
    unreadable: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Items and removals in order, and the revision to continue from."""

    changes: list
    revision: Revision
    unreadable: int = 0


@dataclass(frozen=True, slots=True)
class HistoryLost:
    """The store has compacted the changes since the requested revision."""


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """A lease and its lifetime in seconds."""

    lease: int
    ttl_s: float


@dataclass(frozen=True, slots=True)
class LeaseKept:
    """A lease was renewed."""


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The lease does not exist, nor do the keys that were bound to it."""


@dataclass(frozen=True, slots=True)
class Written:
    """All changes of a call were stored."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written: a key has another revision than expected."""


@dataclass(frozen=True, slots=True)
class StoreFailed:
    """The store refused, did not answer, or sent an unreadable answer."""

    detail: str


class StoreDialect(ABC):
    """Encoding of calls to the store; those that encode one return a `StoreCall`."""

    __slots__ = ()

    @abstractmethod
    def read_era(self, response):
        """Return the store's era in any of its responses; 0 if it names none."""

    @abstractmethod
    def read_page(self, prefix, after):
        """Read the items of a prefix that follow a key: `Page`."""

    @abstractmethod
    def await_changes(self, prefix, revision, wait_s, may_be_stale):
        """Wait for changes after a revision: `Changes` or `HistoryLost`.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        revision : Revision
            Last known revision; must be of the store's present era.
        wait_s : float
            Longest wait, in seconds.
        may_be_stale : bool
            Whether changes may be reported seconds late, which is cheaper.
        """

    @abstractmethod
    def grant_lease(self, ttl_s):
        """Request a lease: `LeaseGranted`."""

    @abstractmethod
    def keep_lease(self, lease):
        """Renew a lease: `LeaseKept` or `LeaseEnded`."""

    @abstractmethod
    def write(self, key, value, lease):
        """Write a key: `Written`, `Conflict` or `LeaseEnded`."""


# Events of the charts `registration` and `store_watch` by outcome.
REGISTRATION_EVENTS = {
    LeaseGranted: "lease_granted",
    LeaseKept: "lease_kept",
    LeaseEnded: "lease_ended",
    Written: "written",
    Conflict: "failed",
    StoreFailed: "failed",
}
WATCH_EVENTS = {
    Changes: "changes",
    HistoryLost: "history_lost",
    StoreFailed: "failed",
}

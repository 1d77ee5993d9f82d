"""What a node knows of a part of the platform's store, kept up by a watch."""

from abc import ABC, abstractmethod

from cyclamentally.chart import runs_chart
from cyclamentally.effects import StartTimer
from cyclamentally.limits import Backoff
from cyclamentally.records import Record
from cyclamentally.store_outcomes import FIRST_RETRY_S, LONGEST_RETRY_S

# Longest wait of one call; the store allows 30 s.
MAX_WATCH_WAIT_S = 25.0
# Changes that follow one another within this share of the time in which a change
# has to be in force cost one call; the rest is for the call itself.
COALESCE_SHARE = 0.35
# A change this soon after the one before makes a series, in seconds: longer than
# the changes are gathered, and than an answer with several items takes.
MAX_SERIES_GAP_S = 5.0


class ReadPage(Record):
    """Effect: read items below a prefix behind a key."""

    __slots__ = ("prefix", "after")

    def __init__(self, prefix, after):
        self.prefix = prefix
        self.after = after


class AwaitChanges(Record):
    """Effect: wait at the store for changes after a revision.

    Parameters
    ----------
    prefix : str
        Beginning of the keys.
    revision : int
        Last revision that is known.
    wait_s : float
        Longest wait, in seconds.
    may_be_stale : bool
        Whether changes may be told seconds late, which is cheaper.
    """

    __slots__ = ("prefix", "revision", "wait_s", "may_be_stale")

    def __init__(self, prefix, revision, wait_s, may_be_stale=False):
        self.prefix = prefix
        self.revision = revision
        self.wait_s = wait_s
        self.may_be_stale = may_be_stale


class WatchSink(ABC):
    """Receiver of the items below a prefix."""

    __slots__ = ()

    @abstractmethod
    def on_listing(self, items):
        """Take over all items; what is not among them is not there."""

    @abstractmethod
    def on_changes(self, changes):
        """Take over `StoredItem` and `RemovedKey` in their order."""


@runs_chart("store_watch")
class Watch:
    """Follow the keys below a prefix; runs the chart ``store_watch``.

    Parameters
    ----------
    prefix : str
        Beginning of the keys.
    sink : WatchSink
        Receiver of the items.
    random : random.Random
        Spreads the retries of many nodes.
    clock : callable
        Returns the time in seconds.
    in_force_s : float
        Time within which a change has to be known, in seconds.
    polls_series : bool
        Whether a series of changes is followed by reading the newest items;
        cheaper where items are large and replace one another.
    may_be_stale : bool
        Whether changes may be told seconds late, which is cheaper.
    """

    __slots__ = (
        "backoff",
        "changed_at",
        "clock",
        "gather_s",
        "items",
        "may_be_stale",
        "polls_series",
        "prefix",
        "revision",
        "newest_revision",
        "series",
        "sink",
        "listing_revision",
        "state",
    )

    def __init__(
        self,
        prefix,
        sink,
        random,
        clock,
        in_force_s,
        polls_series=False,
        may_be_stale=False,
    ):
        self.clock = clock
        self.gather_s = COALESCE_SHARE * in_force_s
        self.may_be_stale = may_be_stale
        self.polls_series = polls_series
        self.changed_at = None
        self.series = False
        self.newest_revision = 0
        self.prefix = prefix
        self.sink = sink
        self.state = self.chart.initial
        self.backoff = Backoff(FIRST_RETRY_S, LONGEST_RETRY_S, random)
        self.items = []
        self.revision = 0
        self.listing_revision = None

    def fire(self, event, message=None):
        """Run an event and return the effects."""
        return self.chart.fire(self, event, message)

    def begin_listing(self, message=None):
        """Read the first page; pages of an earlier try are dropped."""
        self.items = []
        self.listing_revision = None
        return [ReadPage(self.prefix, "")]

    def keep_page(self, page):
        """Collect a page.

        Pages are no snapshot, so the watch goes on from the first one's
        revision.
        """
        self.items += page.items
        if self.listing_revision is None:
            self.listing_revision = page.revision

    def read_next(self, page):
        """Read the page behind the last key."""
        return [ReadPage(self.prefix, page.items[-1].key)]

    def deliver_listing(self, page):
        """Give the whole listing to the sink."""
        self.revision = self.listing_revision
        items, self.items = self.items, []
        self._note_revisions(items)
        self.sink.on_listing(items)

    def watch(self, message):
        """Wait for changes after the last known revision."""
        return [
            AwaitChanges(
                self.prefix, self.revision, MAX_WATCH_WAIT_S, self.may_be_stale
            )
        ]

    def has_changes(self, changes):
        """Whether an answer names changes."""
        return bool(changes.changes)

    def apply(self, changes):
        """Give changes to the sink."""
        self.backoff.reset()
        self.revision = max(self.revision, changes.revision)
        if changes.changes:
            now = self.clock()
            last, self.changed_at = self.changed_at, now
            follows = last is not None and now - last < MAX_SERIES_GAP_S
            self.series = follows or len(changes.changes) > 1
            self._note_revisions(changes.changes)
            self.sink.on_changes(changes.changes)

    def is_in_series(self, message):
        """Whether the newest items are read instead of each change."""
        return self.polls_series and self.series

    def has_new_changes(self, page):
        """Whether a page names a change that was not known."""
        found = [*self.items, *page.items]
        return max((item.revision for item in found), default=0) > self.newest_revision

    def gather(self, message):
        """Wait a little before the next call."""
        return [StartTimer("retry", self.gather_s)]

    def schedule_retry(self, message):
        """Try again soon, at a random moment."""
        return [StartTimer("retry", FIRST_RETRY_S + self.backoff.next_delay())]

    def _note_revisions(self, items):
        self.newest_revision = max(
            [self.newest_revision, *(item.revision for item in items)]
        )

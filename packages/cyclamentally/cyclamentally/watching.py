"""Watch on a prefix of the platform's store."""

from abc import ABC, abstractmethod
from math import inf

from cyclamentally.chart import runs_chart
from cyclamentally.effects import StartTimer
from cyclamentally.feed_log import FeedUpdate
from cyclamentally.limits import Backoff
from cyclamentally.records import Record
from cyclamentally.revisions import FIRST_ERA, NO_REVISION
from cyclamentally.store_outcomes import FIRST_RETRY_S, LONGEST_RETRY_S

# Bounds of the long-poll time of one call; the store allows 30 s. Each call is charged.
MAX_WATCH_WAIT_S = 25.0
MIN_WATCH_WAIT_S = 0.5
# Time beyond the wait of a call after which its answer counts as lost.
WATCH_MARGIN_S = 1.0
# Time from the loss of an answer until the items are listed again.
RELIST_S = 0.4
# Changes are collected for this share of the time within which a change has to be
# in force, to save calls; the rest is left for the call itself.
COALESCE_SHARE = 0.35
# Changes at most this far apart are a series. Longer than the time for which changes
# are collected, and than the transfer of an answer with several items.
MAX_SERIES_GAP_S = 5.0
# Longest age of what a stale read reports.
MAX_STALENESS_S = 5.0


class ReadPage(Record):
    """Effect: read the items of a prefix that follow a key."""

    __slots__ = ("prefix", "after")

    def __init__(self, prefix, after):
        self.prefix = prefix
        self.after = after


class AwaitChanges(Record):
    """Effect: wait for changes after a revision with a long poll.

    Parameters
    ----------
    prefix : str
        Prefix of the keys.
    revision : Revision
        Last known revision.
    wait_s : float
        Longest wait, in seconds.
    may_be_stale : bool
        Whether changes may be reported seconds late, which is cheaper.
    """

    __slots__ = ("prefix", "revision", "wait_s", "may_be_stale")

    def __init__(self, prefix, revision, wait_s, may_be_stale=False):
        self.prefix = prefix
        self.revision = revision
        self.wait_s = wait_s
        self.may_be_stale = may_be_stale


def watch_wait_s(resync_s):
    """Return the longest wait of one call for changes, in seconds.

    A store or a connection that loses the answer of a waiting call tells nobody, so
    the wait also bounds the time for which the loss stays unnoticed.

    Parameters
    ----------
    resync_s : float
        Time after a disturbance of the store within which all changes must be known,
        in seconds.
    """
    wait_s = resync_s - WATCH_MARGIN_S - RELIST_S
    return min(MAX_WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, wait_s))


class WatchSink(ABC):
    """Receiver of the items of a prefix."""

    __slots__ = ()

    @abstractmethod
    def on_update(self, update):
        """Apply a `FeedUpdate`: a complete listing, or changes in order."""


@runs_chart("store_watch")
class Watch:
    """Follows the keys of a prefix; runs the chart ``store_watch``.

    Parameters
    ----------
    prefix : str
        Prefix of the keys.
    sink : WatchSink
        Receiver of the items.
    random : random.Random
        Source of the jitter of retries.
    clock : callable
        Returns the time in seconds.
    in_force_s : float
        Time within which a change has to be in force, in seconds.
    wait_s : float
        Longest wait of one call for changes, in seconds.
    polls_series : bool
        Whether, during a series of changes, the newest items are listed instead of
        each change; cheaper where items are large and replace one another.
    may_be_stale : bool
        Whether changes may be reported seconds late, which is cheaper.
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
        "restored_at",
        "revision",
        "newest_revision",
        "series",
        "sink",
        "listing_revision",
        "state",
        "wait_s",
    )

    def __init__(
        self,
        prefix,
        sink,
        random,
        clock,
        in_force_s,
        wait_s,
        polls_series=False,
        may_be_stale=False,
    ):
        self.clock = clock
        self.wait_s = wait_s
        self.gather_s = COALESCE_SHARE * in_force_s
        self.may_be_stale = may_be_stale
        self.polls_series = polls_series
        self.changed_at = None
        self.restored_at = -inf
        self.series = False
        self.newest_revision = NO_REVISION
        self.prefix = prefix
        self.sink = sink
        self.state = self.chart.initial
        self.backoff = Backoff(FIRST_RETRY_S, LONGEST_RETRY_S, random)
        self.items = []
        self.revision = NO_REVISION
        self.listing_revision = None

    @property
    def is_reporting(self):
        """Whether the store has been listed and reports changes to this watch."""
        is_listed = self.revision != NO_REVISION
        return is_listed and self.state not in ("pausing", "following")

    def fire(self, event, message=None):
        """Run an event and return the effects."""
        return self.chart.fire(self, event, message)

    def begin_listing(self, message=None):
        """Read the first page; drops the pages of an earlier attempt."""
        self.items = []
        self.listing_revision = None
        return [ReadPage(self.prefix, "")]

    def keep_page(self, page):
        """Collect a page.

        The pages are not a consistent snapshot, so the watch starts from the
        revision of the first page.
        """
        self.items += page.items
        if self.listing_revision is None:
            self.listing_revision = page.revision

    def read_next(self, page):
        """Read the page after the last key."""
        return [ReadPage(self.prefix, page.items[-1].key)]

    def deliver_listing(self, page):
        """Pass the complete listing to the sink."""
        if self.revision == NO_REVISION and self.listing_revision.era > FIRST_ERA:
            # The store may have been restored just before this node has started.
            self.note_restore(page)
        self.revision = self.listing_revision
        items, self.items = self.items, []
        self._note_revisions(items)
        self.sink.on_update(FeedUpdate(self.prefix, self.revision, True, items))

    def watch(self, message):
        """Wait for changes after the last known revision."""
        # A stale read may still report what the store held before it was restored.
        is_settled = self.clock() - self.restored_at >= MAX_STALENESS_S
        may_be_stale = self.may_be_stale and is_settled
        return [AwaitChanges(self.prefix, self.revision, self.wait_s, may_be_stale)]

    def note_restore(self, message):
        """Store the time at which the store came back from a copy."""
        self.restored_at = self.clock()

    def has_changes(self, changes):
        """Whether an answer has changes."""
        return bool(changes.changes)

    def apply(self, changes):
        """Pass changes to the sink."""
        self.backoff.reset()
        self.revision = max(self.revision, changes.revision)
        if changes.changes:
            now = self.clock()
            last, self.changed_at = self.changed_at, now
            follows = last is not None and now - last < MAX_SERIES_GAP_S
            self.series = follows or len(changes.changes) > 1
            self._note_revisions(changes.changes)
            update = FeedUpdate(self.prefix, self.revision, False, changes.changes)
            self.sink.on_update(update)

    def is_news(self, update):
        """Whether a relay's update goes beyond what is known."""
        return update.revision > self.revision

    def apply_relayed(self, update):
        """Pass a relay's update to the sink."""
        self.revision = update.revision
        self._note_revisions(update.changes)
        self.sink.on_update(update)

    def is_in_series(self, message):
        """Whether the newest items are listed instead of each change."""
        return self.polls_series and self.series

    def has_new_changes(self, page):
        """Whether the listing has a newer revision than known."""
        found = [*self.items, *page.items]
        newest = max((item.revision for item in found), default=NO_REVISION)
        return newest > self.newest_revision

    def gather(self, message):
        """Delay the next call to collect further changes."""
        return [StartTimer("retry", self.gather_s)]

    def schedule_retry(self, message):
        """Schedule a retry with backoff and jitter."""
        return [StartTimer("retry", FIRST_RETRY_S + self.backoff.next_delay())]

    def _note_revisions(self, items):
        self.newest_revision = max(
            [self.newest_revision, *(item.revision for item in items)]
        )

"""Items of a prefix of the store, and their latest changes, for other nodes."""

from collections import deque

from cyclamentally.records import Record
from cyclamentally.revisions import NO_REVISION
from cyclamentally.store_outcomes import StoredItem

# Changes kept for nodes that are behind; others get a listing.
MAX_CHANGES = 500


class FeedUpdate(Record):
    """What has changed below a prefix.

    Parameters
    ----------
    prefix : str
        The prefix.
    revision : Revision
        Revision of the store up to which the update is complete; all its items are
        of the same era.
    is_listing : bool
        Whether the changes are all items, which replace the known ones.
    changes : list of StoredItem or RemovedKey
        Changes in order, or all items.
    """

    __slots__ = ("prefix", "revision", "is_listing", "changes")

    def __init__(self, prefix, revision, is_listing, changes):
        self.prefix = prefix
        self.revision = revision
        self.is_listing = is_listing
        self.changes = changes


class FeedLog:
    """The items of a prefix, and the changes since a listing.

    Parameters
    ----------
    prefix : str
        The prefix.
    max_changes : int
        Changes that are kept; with 0, every update is a listing, which is smaller
        where a few large items replace one another.
    """

    __slots__ = (
        "changes",
        "first_revision",
        "items",
        "max_changes",
        "prefix",
        "revision",
    )

    def __init__(self, prefix, max_changes=MAX_CHANGES):
        self.prefix = prefix
        self.max_changes = max_changes
        self.items = {}
        self.changes = deque()
        # The log has all changes after the first revision, up to the last one.
        self.first_revision = NO_REVISION
        self.revision = NO_REVISION

    def apply(self, update):
        """Apply a `FeedUpdate`; returns whether anything has changed."""
        if update.revision < self.revision:
            return False
        if update.is_listing:
            return self._replace(update)
        for change in update.changes:
            self._put(change)
        self.revision = max(self.revision, update.revision)
        return bool(update.changes)

    def note_revision(self, revision):
        """Note that the log is complete up to a revision."""
        self.revision = max(self.revision, revision)

    def since(self, revision):
        """Return the `FeedUpdate` for a node, or None if it has all changes.

        Parameters
        ----------
        revision : Revision
            Revision up to which the node is complete.
        """
        if revision >= self.revision:
            return None
        if revision < self.first_revision:
            items = list(self.items.values())
            return FeedUpdate(self.prefix, self.revision, True, items)
        changes = [c for c in self.changes if c.revision > revision]
        if not changes:
            return None
        return FeedUpdate(self.prefix, self.revision, False, changes)

    def _replace(self, update):
        items = {item.key: item for item in update.changes}
        known = {item.key: item.revision for item in self.items.values()}
        is_same = known == {item.key: item.revision for item in items.values()}
        self.revision = update.revision
        if is_same and self.first_revision != NO_REVISION:
            return False
        self.items = items
        self.changes.clear()
        self.first_revision = update.revision
        return True

    def _put(self, change):
        if isinstance(change, StoredItem):
            self.items[change.key] = change
        else:
            self.items.pop(change.key, None)
        self.changes.append(change)
        while len(self.changes) > self.max_changes:
            self.first_revision = self.changes.popleft().revision

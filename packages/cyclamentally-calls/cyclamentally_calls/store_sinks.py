"""Receivers of the listings and changes that the store task's watches deliver."""

from cyclamentally.store_outcomes import StoredItem
from cyclamentally.watching import WatchSink


class TaskSink(WatchSink):
    """Passes listings and changes of a watch to the store task.

    Parameters
    ----------
    task : StoreTask
        Receiver.
    """

    __slots__ = ("task",)

    def __init__(self, task):
        self.task = task


class RouteSink(TaskSink):
    """Receives configurations."""

    __slots__ = ()

    def on_listing(self, items):
        """Apply the stored configuration, if there is one."""
        for item in items:
            self.task.apply_configuration(item)

    def on_changes(self, changes):
        """Apply changed configurations."""
        for change in changes:
            if isinstance(change, StoredItem):
                self.task.apply_configuration(change)


class HostSink(TaskSink):
    """Receives host entries."""

    __slots__ = ()

    def on_listing(self, items):
        """Replace all entries."""
        self.task.replace_hosts(items)

    def on_changes(self, changes):
        """Apply changed and removed entries."""
        self.task.apply_host_changes(changes)

"""Receivers of what the store task's watches find."""

from cyclamentally.store_outcomes import StoredItem
from cyclamentally.watching import WatchSink


class TaskSink(WatchSink):
    """Hands what a watch finds to the task that owns it.

    Parameters
    ----------
    task : StoreTask
        Owner.
    """

    __slots__ = ("task",)

    def __init__(self, task):
        self.task = task


class RouteSink(TaskSink):
    """Takes over configurations."""

    __slots__ = ()

    def on_listing(self, items):
        """Take over the stored configuration, if there is one."""
        for item in items:
            self.task.take_configuration(item)

    def on_changes(self, changes):
        """Take over the newest configuration."""
        for change in changes:
            if isinstance(change, StoredItem):
                self.task.take_configuration(change)


class HostSink(TaskSink):
    """Takes over the entries of hosts."""

    __slots__ = ()

    def on_listing(self, items):
        """Take over all entries."""
        self.task.take_hosts(items)

    def on_changes(self, changes):
        """Take over changed and removed entries."""
        self.task.change_hosts(changes)

"""Receivers of the listings and changes that the store task's watches deliver."""

from cyclamentally.store_outcomes import StoredItem
from cyclamentally.watching import WatchSink
from cyclamentally_calls.call_events import ItemsChanged


class TaskSink(WatchSink):
    """Passes listings and changes of a watch to the store task and the feed task.

    Parameters
    ----------
    task : StoreTask
        Receiver.
    """

    __slots__ = ("task",)

    def __init__(self, task):
        self.task = task

    def on_update(self, update):
        """Apply an update, and report it to the nodes that follow this one."""
        if self.task.feed is not None:
            self.task.loop.post(self.task.feed, ItemsChanged(update))
        self.apply(update)


class RouteSink(TaskSink):
    """Receives configurations."""

    __slots__ = ()

    def apply(self, update):
        """Apply the stored configurations, if there are any."""
        for change in update.changes:
            if isinstance(change, StoredItem):
                self.task.apply_configuration(change)


class HostSink(TaskSink):
    """Receives host entries."""

    __slots__ = ()

    def apply(self, update):
        """Apply host entries."""
        if update.is_listing:
            self.task.replace_hosts(update)
        else:
            self.task.apply_host_changes(update.changes)

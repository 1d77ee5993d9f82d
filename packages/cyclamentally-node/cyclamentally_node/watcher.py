"""The task that hands each new snapshot to the front end."""

from pykka import ThreadingActor

from cyclamentally_node.events import SuspectsReplaced


class FrontWatcher(ThreadingActor):
    """Replace what the front end reads.

    Parameters
    ----------
    view : FrontView
        Read by the threads of the front end.
    pool : ConnectionPool
        Closes its connections to upstreams that have left.
    """

    use_daemon_thread = True

    def __init__(self, view, pool):
        super().__init__()
        self.view = view
        self.pool = pool

    def on_receive(self, message):
        """Handle `SnapshotReplaced` and `SuspectsReplaced`."""
        if isinstance(message, SuspectsReplaced):
            self.view.suspects = message
            return
        self.view.snapshot = message.snapshot
        clusters = message.snapshot.clusters.values()
        addresses = [l.upstream.address for c in clusters for l in c.locations]
        self.pool.close_unused(addresses)

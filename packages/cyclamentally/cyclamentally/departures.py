"""The last upstream that is known to have left the host of a gate."""

from math import inf

# A departure is remembered for this time, as heartbeats may be delayed by seconds.
# After it, a heartbeat under the name of the departed upstream belongs to a new
# lifetime, even if this host's clock was ahead when the departure was reported.
MAX_HEARTBEAT_DELAY_S = 10.0


class LastDeparture:
    """Tells heartbeats that were sent before a departure from those of later lifetimes.

    It is needed while the gate itself does not know the departed upstream, above all
    after a restart of the node.
    """

    __slots__ = ("expires", "latest_start_ms", "upstream")

    def __init__(self):
        self.upstream = None
        self.latest_start_ms = 0
        self.expires = 0.0

    def record_report(self, upstream, reported_ms, now):
        """Record a departure that was reported to this node.

        Parameters
        ----------
        upstream : str
            Its identifier.
        reported_ms : int
            When it was reported, Unix milliseconds on this host.
        now : float
            Time in seconds.
        """
        self.upstream = upstream
        self.latest_start_ms = reported_ms
        self.expires = now + MAX_HEARTBEAT_DELAY_S

    def record_lifetime(self, upstream, started_ms):
        """Record the departure of a lifetime whose start is known, in Unix ms."""
        self.upstream = upstream
        self.latest_start_ms = started_ms
        self.expires = inf

    def expire(self, now):
        """Forget a departure that is too long ago for a delayed heartbeat."""
        if now >= self.expires:
            self.upstream = None

    def precedes(self, heartbeat):
        """Whether a heartbeat is of another upstream or lifetime than the departed.

        If not, it was sent before the departure and has been delayed. A liveness
        check, which names no start, counts as sent before it too.
        """
        if self.upstream != heartbeat.upstream:
            return True
        return heartbeat.started_ms > self.latest_start_ms

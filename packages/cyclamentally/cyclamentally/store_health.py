"""Availability of the platform's store, and the fallback to other nodes."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import StateChanged

# Minimum time between requests to other nodes for their configuration; a request
# between regions takes less than a tenth of it.
MIN_PEER_INTERVAL_S = 0.5


@runs_chart("store_health")
class StoreHealth:
    """Availability of the store; runs the chart ``store_health``."""

    __slots__ = ("available_since", "state")

    def __init__(self):
        self.state = self.chart.initial
        self.available_since = None

    def answered(self, now):
        """Handle an answer; returns a change of the state, if any."""
        return self.chart.fire(self, "answered", now)

    def failed(self, detail):
        """Handle a call without a usable answer; returns a change of the state."""
        return self.chart.fire(self, "failed", detail)

    def restored(self, now):
        """Handle that the store has come back from a copy."""
        self.chart.fire(self, "restored", now)

    def note_restoration(self, now):
        """Store the time in seconds since when the restored store is available."""
        self.available_since = now

    def note_return(self, now):
        """Store the time in seconds since when the store is available."""
        self.available_since = now
        return [StateChanged("store", self.state)]

    def note_outage(self, detail):
        """Record the outage."""
        self.available_since = None
        return [StateChanged("store", self.state, detail)]


class PeerFallback:
    """Decides when to read the configuration from another node.

    That is during an outage of the store, and when an available store does not report
    a version in time that another node uses: it may have lost it.

    Parameters
    ----------
    in_force_s : float
        Time within which a new configuration must be in force, in seconds.
    """

    __slots__ = ("behind_since", "in_force_s", "last_asked_at", "outdated_version")

    def __init__(self, in_force_s):
        self.in_force_s = in_force_s
        self.last_asked_at = None
        # The own version that was found outdated, and when it was.
        self.outdated_version = None
        self.behind_since = None

    def should_ask(self, known_version, own_version, health, now):
        """Return whether to request another node's configuration now.

        Parameters
        ----------
        known_version : int
            Version of the other node's configuration.
        own_version : int or None
            Version of this node's configuration; None before the first.
        health : StoreHealth
            Availability of the store.
        now : float
            Time in seconds.
        """
        if own_version is not None and known_version <= own_version:
            return False
        if self.behind_since is None or self.outdated_version != own_version:
            self.outdated_version = own_version
            self.behind_since = now
        is_overdue = now - self.behind_since >= self.in_force_s
        if health.state == "available" and not is_overdue:
            return False
        if (
            self.last_asked_at is not None
            and now - self.last_asked_at < MIN_PEER_INTERVAL_S
        ):
            return False
        self.last_asked_at = now
        return True

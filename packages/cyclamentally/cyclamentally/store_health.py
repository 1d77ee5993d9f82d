"""Whether the platform's store answers, and whom to ask while it does not."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import StateChanged

# Another node is asked for its configuration this often at most, in seconds: a
# request between regions takes under a tenth of that.
MIN_PEER_INTERVAL_S = 0.5


@runs_chart("store_health")
class StoreHealth:
    """Since when the store has answered; runs ``store_health``."""

    __slots__ = ("available_since", "state")

    def __init__(self):
        self.state = self.chart.initial
        self.available_since = None

    def answered(self, now):
        """Note an answer; returns the change of state, if it is one."""
        return self.chart.fire(self, "answered", now)

    def failed(self, detail):
        """Note a call without a usable answer; returns the change of state."""
        return self.chart.fire(self, "failed", detail)

    def note_return(self, now):
        """Keep since when the store answers."""
        self.available_since = now
        return [StateChanged("store", self.state)]

    def note_outage(self, detail):
        """Forget since when the store answered."""
        self.available_since = None
        return [StateChanged("store", self.state, detail)]


class PeerFallback:
    """Decide when another node is asked for what the store would have told."""

    __slots__ = ("last_asked_at",)

    def __init__(self):
        self.last_asked_at = None

    def should_ask(self, known_version, own_version, health, now):
        """Return whether to ask a node now.

        Parameters
        ----------
        known_version : int
            Version of the other node's configuration.
        own_version : int or None
            Version of this node's; None before the first.
        health : StoreHealth
            Whether the store answers.
        now : float
            Time in seconds.
        """
        if health.state == "available":
            return False
        if own_version is not None and known_version <= own_version:
            return False
        if (
            self.last_asked_at is not None
            and now - self.last_asked_at < MIN_PEER_INTERVAL_S
        ):
            return False
        self.last_asked_at = now
        return True

"""Relays of the store's items: who watches the store, and whom the others follow.

Every call to the store is charged, and a watch of each node costs most of them. A few
nodes of each failure domain, the relays, watch the store and pass items on. All
versions only grow, so a node may act as relay at any time: roles follow from the known
hosts without an agreement, and two views of them cost calls but harm nothing.
"""

from math import ceil, inf

from cyclamentally.chart import runs_chart
from cyclamentally.effects import Count, StateChanged
from cyclamentally.hashing import rank_by_rendezvous
from cyclamentally.records import Record

# Each follower asks its relay about twice a second, and a relay sends every
# configuration to all of its followers over one link.
FOLLOWERS_PER_RELAY = 12
MIN_RELAYS = 2
# In a smaller failure domain, too few nodes would follow to be worth the delay.
MIN_DOMAIN_HOSTS = 8
# A node that has left a relay watches the store for this time; every change costs
# calls to the store.
MIN_STAY_S = 1.0
# A relay that has failed is not followed again for this time.
AVOID_S = 5.0


class FollowRelay(Record):
    """Effect: stop the watches on the store."""

    __slots__ = ()


class AskRelay(Record):
    """Effect: request the next changes from the relay.

    Parameters
    ----------
    name, address : str
        The relay, and the ``IP:port`` where its node takes requests of other nodes.
    """

    __slots__ = ("address", "name")

    def __init__(self, address, name):
        self.address = address
        self.name = name


class WatchStore(Record):
    """Effect: resume the watches on the store."""

    __slots__ = ()


@runs_chart("feed")
class Feed:
    """Decides whether a node watches the store or follows a relay; chart ``feed``.

    Parameters
    ----------
    name, domain : str
        This host and its failure domain.
    """

    __slots__ = (
        "avoided",
        "changed_at",
        "domain",
        "has_listing",
        "name",
        "now",
        "relay",
        "relays",
        "state",
    )

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.state = self.chart.initial
        self.has_listing = False
        # The relays of the failure domain by name, in this node's order.
        self.relays = {}
        self.relay = None
        # Relays that have failed, with the time until which they are avoided.
        self.avoided = {}
        # A node that restarts follows a relay as soon as it knows one.
        self.changed_at = -inf
        self.now = 0.0

    @property
    def is_relay(self):
        """Whether other nodes may follow this one."""
        return self.name in self.relays

    def update_hosts(self, entries):
        """Determine the relays from the known `HostEntry` objects."""
        own = {e.name: e for e in entries if e.domain == self.domain}
        if len(own) < MIN_DOMAIN_HOSTS:
            self.relays = {}
            return
        count = max(MIN_RELAYS, ceil(len(own) / FOLLOWERS_PER_RELAY))
        chosen = rank_by_rendezvous("relay", own)[:count]
        # Each follower ranks the relays by its own name, which spreads the followers.
        ranked = rank_by_rendezvous(f"follower/{self.name}", chosen)
        self.relays = {name: own[name] for name in ranked}

    def on_listing(self):
        """Note that the items have been listed; a node follows only after that."""
        self.has_listing = True

    def check(self, now):
        """Adapt to the known relays; returns effects."""
        self.avoided = {n: until for n, until in self.avoided.items() if until > now}
        return self._fire("checked", "", now)

    def on_answer(self, now):
        """Handle a valid answer of the relay; returns effects."""
        return self._fire("answered", "", now)

    def on_failure(self, detail, now):
        """Handle that the relay fails or is outdated; returns effects."""
        return self._fire("failed", detail, now)

    # Guards and actions of the chart.

    def has_relay(self, message):
        """Whether there is a relay to follow."""
        return not self.is_relay and self._best() is not None

    def may_follow(self, message):
        """Whether to leave the store to a relay."""
        is_settled = self.now - self.changed_at >= MIN_STAY_S
        return self.has_listing and is_settled and self.has_relay(message)

    def is_relay_known(self, message):
        """Whether the followed node is still a relay, and this node is none."""
        known = self.relays.get(self.relay.name)
        is_same = known is not None and known.address == self.relay.address
        return is_same and not self.is_relay

    def choose(self, message):
        """Choose the relay to follow."""
        self.relay = self._best()
        return [Count("relays_followed_total")]

    def follow(self, message):
        """Stop the watches on the store."""
        return [FollowRelay()]

    def ask(self, message):
        """Request the next changes."""
        return [AskRelay(self.relay.address, self.relay.name)]

    def avoid(self, detail):
        """Exclude the relay for a while."""
        self.avoided[self.relay.name] = self.now + AVOID_S
        return [Count("relay_failures_total")]

    def watch_store(self, message):
        """Resume the watches on the store."""
        return [WatchStore()]

    def _best(self):
        names = (name for name in self.relays if name not in self.avoided)
        name = next(names, None)
        return self.relays.get(name)

    def _fire(self, event, detail, now):
        self.now = now
        before = self.state
        effects = self.chart.fire(self, event, detail)
        if self.state != before:
            self.changed_at = now
            reason = f"{self.relay.name}: {detail}" if detail else self.relay.name
            effects.append(StateChanged("feed", self.state, reason))
        return effects

"""Life cycle of a node: join, serve once the configuration is complete, leave."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import StateChanged
from cyclamentally.limits import Backoff
from cyclamentally.records import Record

REQUIRED_CONFIRMATIONS = 2
CONFIRMATION_TIMEOUT_S = 1.5
JOIN_DELAY_S = 0.5
JOIN_DELAY_MAX_S = 10.0
SEED_CHECK_PERIOD_S = 30.0
SEEDS_PER_JOIN = 3


class Confirmation(Record):
    """A ready peer has the same versions as this node; ``now`` is in seconds."""

    __slots__ = ("node", "now")

    def __init__(self, node, now):
        self.node = node
        self.now = now


@runs_chart("node")
class NodeLifecycle:
    """Decide when this node may serve; runs the chart ``node``.

    Parameters
    ----------
    membership : Membership
        Used to join and leave.
    distribution : Distribution
        Used to fetch the configuration.
    seeds : list of str
        Peer addresses from the settings.
    random : random.Random
        Source of random numbers.
    now : float
        Time in seconds.
    """

    __slots__ = (
        "backoff",
        "confirmed_by",
        "distribution",
        "first_confirmed_at",
        "membership",
        "next_join",
        "random",
        "seeds",
        "state",
    )

    def __init__(self, membership, distribution, seeds, random, now):
        self.membership = membership
        self.distribution = distribution
        self.seeds = list(seeds)
        self.random = random
        self.state = self.chart.initial
        self.confirmed_by = set()
        self.first_confirmed_at = now
        self.backoff = Backoff(JOIN_DELAY_S, JOIN_DELAY_MAX_S, random)
        self.next_join = now

    def add_seeds(self, addresses):
        """Add peer addresses that were found on the platform."""
        known = dict.fromkeys([*self.seeds, *addresses])
        self.seeds = list(known)

    def on_summary(self, summary, now):
        """Record a ready peer that has the same versions as this node."""
        is_equal = summary.versions_hash == self.distribution.versions.hash
        if self.state != "joining" or not summary.ready or not is_equal:
            return []
        return self._fire("confirmed", Confirmation(summary.node, now))

    def on_platform_read(self):
        """Handle a complete read of all profiles from the platform."""
        return self._fire("platform_read")

    def stop(self):
        """Begin to stop."""
        return self._fire("stop")

    def drained(self):
        """Handle that no request is in flight any more."""
        return self._fire("drained")

    def tick(self, now):
        """Join when that is due, or retry seeds that are not yet members."""
        if now < self.next_join or self.state in ("draining", "stopped"):
            return []
        if self.state == "joining" or self._has_no_peers():
            self.next_join = now + self.backoff.next_delay()
            return self._join() + self._request_versions()
        self.next_join = now + SEED_CHECK_PERIOD_S
        return self._join_unknown_seed()

    def has_confirmations(self, confirmation):
        """Whether enough peers have confirmed the versions.

        One is enough if no other peer confirms in `CONFIRMATION_TIMEOUT_S`.
        """
        if not self.confirmed_by:
            self.first_confirmed_at = confirmation.now
        self.confirmed_by.add(confirmation.node)
        waited = confirmation.now - self.first_confirmed_at
        return (
            len(self.confirmed_by) >= REQUIRED_CONFIRMATIONS
            or waited >= CONFIRMATION_TIMEOUT_S
        )

    def end_joining(self, message):
        """Reset the state needed only for joining."""
        self.backoff.reset()
        self.confirmed_by.clear()

    def leave(self, message):
        """Tell the members that this node leaves."""
        return self.membership.leave()

    def _fire(self, event, message=None):
        before = self.state
        effects = self.chart.fire(self, event, message)
        if self.state != before:
            effects.append(StateChanged("node", self.state, event))
        return effects

    def _has_no_peers(self):
        return len(self.membership.table.members) == 1

    def _join(self):
        count = min(SEEDS_PER_JOIN, len(self.seeds))
        return self.membership.join(self.random.sample(self.seeds, count))

    def _request_versions(self):
        """Request versions from random members of the domain."""
        table = self.membership.table
        own = table.own_record
        records = [r for r in table.live(own.domain) if r.node != own.node]
        chosen = self.random.sample(records, min(REQUIRED_CONFIRMATIONS, len(records)))
        return [self.distribution.request_versions(r.address, r.region) for r in chosen]

    def _join_unknown_seed(self):
        """Join through a seed that is not a member yet; only relays do so."""
        table = self.membership.table
        if not self.membership.topology.is_relay():
            return []
        known = {record.address for record in table.records()}
        unknown_seeds = [seed for seed in self.seeds if seed not in known]
        if not unknown_seeds:
            return []
        return self.membership.join([self.random.choice(unknown_seeds)])

"""Relay duty: watch the platform, or follow a node that does."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import Count, Send, StateChanged, WatchPlatform
from cyclamentally.messages import Beat, BeatAck, Ping

BEAT_PERIOD_S = 1.0
SILENCE_S = 3.0
CONTACT_PERIOD_S = 5.0
SEEKING_CONTACT_PERIOD_S = 1.0
CONTACT_SEQUENCE = 0
ALONE_S = 2.0


@runs_chart("relay")
class Relay:
    """Decide whether this node watches the platform; runs the chart ``relay``.

    Parameters
    ----------
    membership : Membership
        Source of the records that travel with beats.
    topology : Topology
        Roles.
    summarize : callable
        Returns the `Summary` of this node.
    random : random.Random
        Source of random numbers.
    now : float
        Time in seconds.
    """

    __slots__ = (
        "alone_until",
        "deadline",
        "fresh_at",
        "generation",
        "membership",
        "next_beat",
        "next_contact",
        "platform_ok",
        "random",
        "state",
        "summarize",
        "topology",
    )

    def __init__(self, membership, topology, summarize, random, now):
        self.membership = membership
        self.topology = topology
        self.summarize = summarize
        self.state = self.chart.initial
        self.generation = -1
        self.deadline = 0.0
        self.fresh_at = now
        self.random = random
        self.alone_until = now + ALONE_S
        self.next_beat = now
        self.next_contact = now + CONTACT_PERIOD_S
        self.platform_ok = False

    @property
    def is_fresh(self):
        """Whether new versions reach this node as soon as they exist."""
        return self.state == "following" or self.platform_ok

    def tick(self, now):
        """Run what is due."""
        effects = []
        if self.is_fresh:
            self.fresh_at = now
        if self._is_placed(now) and self.generation != self.topology.table.generation:
            self.generation = self.topology.table.generation
            effects += self._fire("roles_changed", now)
        if self.state == "following" and now >= self.deadline:
            effects += self._fire("silence", now)
        if now >= self.next_beat:
            self.next_beat = now + BEAT_PERIOD_S
            effects += self._beat()
        if now >= self.next_contact:
            is_seeking = self.state == "seeking"
            period = SEEKING_CONTACT_PERIOD_S if is_seeking else CONTACT_PERIOD_S
            self.next_contact = now + period
            effects += self._contact()
        return effects

    def staleness(self, now):
        """Return for how long new versions may have been missed, in seconds."""
        return 0.0 if self.is_fresh else now - self.fresh_at

    def on_beat(self, beat, now):
        """Answer a beat; a fresh one of the feeder ends the own watch."""
        sender = beat.sender
        effects = self.membership.apply(beat.updates, sender, now)
        if beat.fresh and sender.node == self.topology.followed_node():
            effects += self._fire("fresh_beat", now)
        ack = BeatAck(self.summarize(), self.membership.gossip_for(sender.node))
        return [*effects, Send(sender.address, sender.region, ack)]

    def on_platform_state(self, is_reachable):
        """Note whether the watch on the platform works."""
        if is_reachable == self.platform_ok:
            return []
        self.platform_ok = is_reachable
        state = "reachable" if is_reachable else "unreachable"
        return [Count("platform_changes_total", state), StateChanged("platform", state)]

    def is_source(self, now):
        """Whether this node watches the platform for the fleet."""
        return self.topology.source() == self.topology.table.own

    def is_relay(self, now):
        """Whether this node is a relay of its failure domain."""
        return self.topology.is_relay()

    def await_beat(self, now):
        """Set the time at which the feeder counts as silent."""
        self.deadline = now + SILENCE_S

    def start_watch(self, now):
        """Begin to watch the platform."""
        return [WatchPlatform(True)]

    def stop_watch(self, now):
        """End the watch on the platform."""
        self.platform_ok = False
        return [WatchPlatform(False)]

    def _is_placed(self, now):
        """Whether this node knows others, or has waited long enough for them.

        A herd of starting nodes would otherwise all read the platform.
        """
        return len(self.topology.table.members) > 1 or now >= self.alone_until

    def _fire(self, event, now):
        before = self.state
        effects = self.chart.fire(self, event, now)
        if self.state != before:
            effects.append(Count("relay_changes_total", self.state))
            effects.append(StateChanged("relay", self.state, event))
        return effects

    def _beat(self):
        effects = []
        for node in self.topology.followers():
            record = self.topology.table.get(node)
            beat = Beat(
                self.summarize(), self.is_fresh, self.membership.gossip_for(node)
            )
            effects.append(Send(record.address, record.region, beat))
        return effects

    def _contact(self):
        """Ping a random node of another domain.

        The relays of two domains may be lost together. Each domain then
        still names dead nodes as relays of the other, and only a contact
        outside of the roles makes the news cross.
        """
        if self.state == "member":
            return []
        own = self.topology.table.own_record
        others = [
            record
            for domain in self.topology.table.domains()
            if domain != own.domain
            for record in self.topology.table.live(domain)
        ]
        if not others:
            return []
        record = self.random.choice(others)
        updates = self.membership.gossip_for(record.node)
        ping = Ping(self.summarize(), CONTACT_SEQUENCE, updates)
        return [Send(record.address, record.region, ping)]

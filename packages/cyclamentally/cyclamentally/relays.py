"""Relay role: watch the platform, or follow a node that does."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import Count, Send, StateChanged, WatchPlatform
from cyclamentally.messages import Beat, BeatAck, Ping

HEARTBEAT_PERIOD_S = 1.0
HEARTBEAT_TIMEOUT_S = 3.0
CROSS_DOMAIN_PING_PERIOD_S = 5.0
SEEKING_CROSS_DOMAIN_PING_PERIOD_S = 1.0
CROSS_DOMAIN_PING_SEQUENCE = 0  # matches no probe; their sequences start at 1
PEER_WAIT_S = 2.0


@runs_chart("relay")
class Relay:
    """Decide whether this node watches the platform; runs the chart ``relay``.

    Parameters
    ----------
    membership : Membership
        Source of the records piggybacked on heartbeats.
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
        "peer_wait_until",
        "deadline",
        "last_fresh",
        "generation",
        "membership",
        "next_heartbeat",
        "next_cross_domain_ping",
        "is_platform_reachable",
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
        self.last_fresh = now
        self.random = random
        self.peer_wait_until = now + PEER_WAIT_S
        self.next_heartbeat = now
        self.next_cross_domain_ping = now + CROSS_DOMAIN_PING_PERIOD_S
        self.is_platform_reachable = False

    @property
    def is_fresh(self):
        """Whether new versions currently reach this node as they are written."""
        return self.state == "following" or self.is_platform_reachable

    def tick(self, now):
        """Update the role, check for silence and send due messages."""
        effects = []
        if self.is_fresh:
            self.last_fresh = now
        if (
            self._may_take_role(now)
            and self.generation != self.topology.table.generation
        ):
            self.generation = self.topology.table.generation
            effects += self._fire("roles_changed", now)
        if self.state == "following" and now >= self.deadline:
            effects += self._fire("silence", now)
        if now >= self.next_heartbeat:
            self.next_heartbeat = now + HEARTBEAT_PERIOD_S
            effects += self._send_heartbeats()
        if now >= self.next_cross_domain_ping:
            is_seeking = self.state == "seeking"
            period = (
                SEEKING_CROSS_DOMAIN_PING_PERIOD_S
                if is_seeking
                else CROSS_DOMAIN_PING_PERIOD_S
            )
            self.next_cross_domain_ping = now + period
            effects += self._ping_other_domain()
        return effects

    def staleness(self, now):
        """Return the time in which versions may have been missed, in seconds."""
        return 0.0 if self.is_fresh else now - self.last_fresh

    def on_heartbeat(self, heartbeat, now):
        """Answer a heartbeat.

        A fresh one from the followed node ends this node's own watch.
        """
        sender = heartbeat.sender
        effects = self.membership.apply(heartbeat.updates, sender, now)
        if heartbeat.fresh and sender.node == self.topology.followed_node():
            effects += self._fire("fresh_beat", now)
        ack = BeatAck(self.summarize(), self.membership.gossip_for(sender.node))
        return [*effects, Send(sender.address, sender.region, ack)]

    def on_platform_state(self, is_reachable):
        """Record whether the watch on the platform works."""
        if is_reachable == self.is_platform_reachable:
            return []
        self.is_platform_reachable = is_reachable
        state = "reachable" if is_reachable else "unreachable"
        return [Count("platform_changes_total", state), StateChanged("platform", state)]

    def is_source(self, now):
        """Whether this node watches the platform for all nodes."""
        return self.topology.source() == self.topology.table.own_node

    def is_relay(self, now):
        """Whether this node is a relay of its failure domain."""
        return self.topology.is_relay()

    def extend_heartbeat_deadline(self, now):
        """Set the time at which the followed node counts as silent."""
        self.deadline = now + HEARTBEAT_TIMEOUT_S

    def start_watch(self, now):
        """Start the watch on the platform."""
        return [WatchPlatform(True)]

    def stop_watch(self, now):
        """Stop the watch on the platform."""
        self.is_platform_reachable = False
        return [WatchPlatform(False)]

    def _may_take_role(self, now):
        """Whether this node knows a peer, or has waited `PEER_WAIT_S` for one.

        Otherwise many nodes that start at once would all read the platform.
        """
        return len(self.topology.table.members) > 1 or now >= self.peer_wait_until

    def _fire(self, event, now):
        before = self.state
        effects = self.chart.fire(self, event, now)
        if self.state != before:
            effects.append(Count("relay_changes_total", self.state))
            effects.append(StateChanged("relay", self.state, event))
        return effects

    def _send_heartbeats(self):
        effects = []
        for node in self.topology.followers():
            record = self.topology.table.get(node)
            heartbeat = Beat(
                self.summarize(), self.is_fresh, self.membership.gossip_for(node)
            )
            effects.append(Send(record.address, record.region, heartbeat))
        return effects

    def _ping_other_domain(self):
        """Ping a random node of another failure domain.

        If the relays of two domains fail together, each domain still takes
        dead nodes for the relays of the other. Only a message to a node that
        was chosen regardless of its role then carries updates across.
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
        ping = Ping(self.summarize(), CROSS_DOMAIN_PING_SEQUENCE, updates)
        return [Send(record.address, record.region, ping)]

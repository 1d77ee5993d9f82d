"""Failure detection: direct and indirect probes of members."""

from cyclamentally.effects import Send
from cyclamentally.members import DEAD, is_live
from cyclamentally.messages import Ack, IndirectAck, Ping, PingRequest
from cyclamentally.records import Record

PROBE_PERIOD_S = 1.0
PROBE_TIMEOUT_S = 0.4
INDIRECT_PROBE_COUNT = 3
DEAD_PROBE_PERIOD_S = 5.0
PAUSE_THRESHOLD_S = 2.0


class Probe(Record):
    """A probe that waits for its acknowledgement.

    Parameters
    ----------
    node : str
        Target.
    deadline : float
        Time in seconds at which it becomes indirect or fails.
    indirect : bool
        Whether other members have been asked to probe.
    """

    __slots__ = ("node", "deadline", "indirect")

    def __init__(self, node, deadline, indirect):
        self.node = node
        self.deadline = deadline
        self.indirect = indirect


class DelegatedProbe(Record):
    """A probe that this node sent on behalf of another member."""

    __slots__ = ("requester", "sequence", "deadline")

    def __init__(self, requester, sequence, deadline):
        self.requester = requester
        self.sequence = sequence
        self.deadline = deadline


class Prober:
    """Probe the members of this node's failure domain in random order.

    Parameters
    ----------
    membership : Membership
        Receives failed probes and supplies the records piggybacked on probes.
    summarize : callable
        Returns the `Summary` of this node.
    random : random.Random
        Source of random numbers.
    now : float
        Time in seconds.
    """

    __slots__ = (
        "last_tick",
        "membership",
        "next_dead_probe",
        "next_probe",
        "pending_probes",
        "random",
        "delegated_probes",
        "rotation",
        "sequence",
        "summarize",
        "table",
    )

    def __init__(self, membership, summarize, random, now):
        self.membership = membership
        self.table = membership.table
        self.summarize = summarize
        self.random = random
        self.last_tick = now
        self.next_probe = now + random.uniform(0, PROBE_PERIOD_S)
        self.next_dead_probe = now + DEAD_PROBE_PERIOD_S
        self.sequence = 0
        self.rotation = []
        self.pending_probes = {}
        self.delegated_probes = {}

    def tick(self, now):
        """Expire probes and send the next ones.

        After a pause of this process the pending probes are dropped, since a
        missing acknowledgement then proves nothing.
        """
        if now - self.last_tick > PAUSE_THRESHOLD_S:
            self.pending_probes.clear()
            self.delegated_probes.clear()
        self.last_tick = now
        effects = self._expire_probes(now)
        if now >= self.next_probe:
            self.next_probe = now + PROBE_PERIOD_S
            effects += self._probe_next(now)
        if now >= self.next_dead_probe:
            self.next_dead_probe = now + DEAD_PROBE_PERIOD_S
            effects += self._probe_dead()
        return effects

    def on_ping(self, ping, now):
        """Acknowledge a probe."""
        effects = self.membership.apply(ping.updates, ping.sender, now)
        sender = ping.sender
        ack = Ack(
            self.summarize(), ping.sequence, self.membership.gossip_for(sender.node)
        )
        return [*effects, Send(sender.address, sender.region, ack)]

    def on_ack(self, ack, now):
        """Complete the probe; report it to the member that requested it."""
        effects = self.membership.apply(ack.updates, ack.sender, now)
        self.pending_probes.pop(ack.sequence, None)
        delegated = self.delegated_probes.pop(ack.sequence, None)
        if delegated is not None:
            requester = delegated.requester
            report = IndirectAck(self.summarize(), delegated.sequence)
            effects.append(Send(requester.address, requester.region, report))
        return effects

    def on_ping_request(self, request, now):
        """Probe a member on behalf of another."""
        self.sequence += 1
        deadline = now + PROBE_TIMEOUT_S
        self.delegated_probes[self.sequence] = DelegatedProbe(
            request.sender, request.sequence, deadline
        )
        ping = Ping(
            self.summarize(), self.sequence, self.membership.gossip_for(request.target)
        )
        region = self.table.own_record.region
        return [Send(request.target_address, region, ping)]

    def on_indirect_ack(self, ack, now):
        """Complete a probe that another member carried out."""
        self.pending_probes.pop(ack.sequence, None)
        return []

    def _probe_next(self, now):
        while self.rotation:
            node = self.rotation.pop()
            record = self.table.get(node)
            if record is not None and is_live(record):
                return self._probe(record, now)
        own = self.table.own_record
        live = self.table.live(own.domain)
        self.rotation = [record.node for record in live if record.node != own.node]
        self.random.shuffle(self.rotation)
        return []

    def _probe(self, record, now):
        self.sequence += 1
        self.pending_probes[self.sequence] = Probe(
            record.node, now + PROBE_TIMEOUT_S, False
        )
        ping = Ping(
            self.summarize(), self.sequence, self.membership.gossip_for(record.node)
        )
        return [Send(record.address, record.region, ping)]

    def _probe_dead(self):
        """Ping one dead member, so that the end of a partition is detected."""
        own = self.table.own_record
        dead = [
            node
            for node in self.membership.tombstones
            if self.table.get(node).status == DEAD
            and self.table.get(node).domain == own.domain
        ]
        if not dead:
            return []
        node = self.random.choice(dead)
        self.sequence += 1
        ping = Ping(self.summarize(), self.sequence, self.membership.gossip_for(node))
        record = self.table.get(node)
        return [Send(record.address, record.region, ping)]

    def _expire_probes(self, now):
        effects = []
        for sequence, probe in list(self.pending_probes.items()):
            if now < probe.deadline:
                continue
            if probe.indirect:
                del self.pending_probes[sequence]
                effects += self.membership.apply_detection(
                    probe.node,
                    "silence",
                    "no answer to any probe",
                    now,
                )
            else:
                effects += self._probe_indirectly(sequence, probe, now)
        for sequence, delegated in list(self.delegated_probes.items()):
            if now >= delegated.deadline:
                del self.delegated_probes[sequence]
        return effects

    def _probe_indirectly(self, sequence, probe, now):
        probe.indirect = True
        probe.deadline = now + 2 * PROBE_TIMEOUT_S
        own = self.table.own_record
        target = self.table.get(probe.node)
        others = [
            record
            for record in self.table.live(own.domain)
            if record.node not in (own.node, probe.node)
        ]
        helpers = self.random.sample(others, min(INDIRECT_PROBE_COUNT, len(others)))
        request = PingRequest(self.summarize(), sequence, target.node, target.address)
        return [Send(r.address, r.region, request) for r in helpers]

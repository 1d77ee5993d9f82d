"""Membership: updates, suspicion, refutation and repair of the member table."""

from cyclamentally.effects import Count, DeathRefuted, Send, StateChanged
from cyclamentally.limits import TokenBucket
from cyclamentally.members import (
    ALIVE,
    DEAD,
    LEFT,
    STATUS_RANK,
    SUSPECT,
    is_live,
    supersedes,
)
from cyclamentally.messages import (
    BucketHashes,
    Busy,
    JoinRequest,
    MemberDigest,
    MemberUpdates,
)
from cyclamentally.model import MemberRecord
from cyclamentally.records import Record

SUSPICION_TIMEOUT_S = 4.0
REPAIR_DELAY_S = 1.0
TOMBSTONE_RETENTION_S = 3_600.0
JOINS_PER_S = 10.0
JOIN_BURST = 10.0
MAX_JOIN_WAIT_S = 2.0
PAUSE_THRESHOLD_S = 2.0
GOSSIP_RECORDS_PER_MESSAGE = 6
GOSSIP_ROUNDS_PER_BIT = 2
TRANSFER_RECORDS_PER_MESSAGE = 200


class AppliedRecords(Record):
    """Effects of a list of updates, and the records that changed the table."""

    __slots__ = ("effects", "changed")

    def __init__(self, effects, changed):
        self.effects = effects
        self.changed = changed


class TableMismatch(Record):
    """Summary of a peer whose member table differs, and since when, in seconds."""

    __slots__ = ("since", "summary")

    def __init__(self, since, summary):
        self.since = since
        self.summary = summary


class Membership:
    """Track which members are live.

    A node suspects only members of its own failure domain. It adopts the
    records of other domains unchanged, so a partition between domains causes
    no suspicion.

    Parameters
    ----------
    table : MemberTable
        Member records.
    topology : Topology
        Roles and trees.
    summarize : callable
        Returns the `Summary` of this node.
    random : random.Random
        Source of random numbers.
    now : float
        Time in seconds.
    """

    __slots__ = (
        "tombstones",
        "mismatches",
        "gossip_rounds_left",
        "join_limit",
        "last_tick",
        "random",
        "summarize",
        "suspects",
        "table",
        "topology",
    )

    def __init__(self, table, topology, summarize, random, now):
        self.table = table
        self.topology = topology
        self.summarize = summarize
        self.random = random
        self.last_tick = now
        self.suspects = {}
        self.tombstones = {}
        self.gossip_rounds_left = {}
        self.join_limit = TokenBucket(JOINS_PER_S, JOIN_BURST, now)
        self.mismatches = {}

    def join(self, seeds):
        """Request the member records from seed addresses.

        Parameters
        ----------
        seeds : list of str
            Peer addresses.
        """
        record = self.table.own_record
        request = JoinRequest(self.summarize(), record)
        return [Send(s, "", request) for s in seeds if s != record.address]

    def leave(self):
        """Broadcast that this node leaves."""
        return self._replace_own_record(LEFT, self.table.own_record.upstreams)

    def announce(self, upstreams):
        """Replace the upstreams in this node's record and broadcast the record."""
        return self._replace_own_record(ALIVE, upstreams)

    def tick(self, now):
        """Handle a pause, expired suspicions and tombstones, and a due repair.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        effects = []
        if now - self.last_tick > PAUSE_THRESHOLD_S:
            effects += self._handle_pause(now)
        self.last_tick = now
        effects += self._expire_suspects(now)
        self._remove_expired_tombstones(now)
        effects += self._send_due_repair(now)
        return effects

    def on_join(self, request, now):
        """Add a joining node and send it all records, or ask it to retry later."""
        sender = request.sender
        if not self.join_limit.take(now):
            wait = self.random.uniform(0, MAX_JOIN_WAIT_S)
            busy = Busy(self.summarize(), wait)
            return [
                Count("transfers_refused_total", "join"),
                Send(sender.address, sender.region, busy),
            ]
        applied = self._apply_records([request.record], now)
        effects = applied.effects + self._broadcast(applied.changed)
        return effects + self._send_records(
            sender.address, sender.region, self.table.records()
        )

    def on_updates(self, message, now):
        """Apply records and forward those that changed the table."""
        if not message.root:
            return self.apply(message.updates, message.sender, now)
        applied = self._apply_records(message.updates, now)
        effects = applied.effects + self._send_along_tree(message.root, applied.changed)
        return effects + self._send_along_links(applied.changed, message.sender.node)

    def on_bucket_hashes(self, message):
        """Answer with a digest of the buckets that differ."""
        own = self.table.hashes
        pairs = zip(message.hashes, own, strict=False)
        buckets = [i for i, (theirs, ours) in enumerate(pairs) if theirs != ours]
        if not buckets:
            return []
        return [self._send_digest(message.sender, buckets, True)]

    def on_digest(self, message, now):
        """Send the records that are newer here; answer if the peer has newer ones."""
        ranks = dict(
            zip(
                message.nodes,
                zip(message.incarnations, message.statuses, strict=False),
                strict=False,
            )
        )
        newer = []
        is_behind = False
        for record in self.table.in_buckets(set(message.buckets)):
            known = ranks.pop(record.node, (-1, -1))
            if supersedes(record, *known):
                newer.append(record)
            elif known != (record.incarnation, STATUS_RANK[record.status]):
                is_behind = True
        sender = message.sender
        effects = self._send_records(sender.address, sender.region, newer)
        if message.wants_answer and (ranks or is_behind):
            effects.append(self._send_digest(sender, message.buckets, False))
        return effects

    def on_summary(self, summary, now):
        """Record whether the member table of a peer differs from this one."""
        if summary.members_hash == self.table.hash:
            self.mismatches.pop(summary.node, None)
        else:
            self.mismatches.setdefault(summary.node, TableMismatch(now, summary))

    def apply(self, records, sender, now):
        """Apply updates, refute those against this node and forward changes.

        Parameters
        ----------
        records : list of MemberRecord
            Updates.
        sender : Summary
            Summary of the node that sent them.
        now : float
            Time in seconds.
        """
        applied = self._apply_records(records, now)
        origin = self.table.get(sender.node)
        own = self.table.own_record
        effects = applied.effects
        if origin is not None and origin.domain != own.domain:
            effects += self._send_along_tree(own.node, applied.changed)
        return effects + self._send_along_links(applied.changed, sender.node)

    def apply_detection(self, node, event, reason, now):
        """Apply an event that this node detected and broadcast the new record."""
        changed = self.table.apply_detection(node, event, reason)
        if changed is None:
            return []
        record = self.table.get(node)
        self._on_change(record, now)
        return changed + self._broadcast([record])

    def gossip_for(self, node):
        """Return the records to piggyback on a message to a node.

        Those that were sent least often come first. A node that is not alive
        here also gets its own record, so that it can refute it.
        """
        chosen = sorted(
            self.gossip_rounds_left, key=self.gossip_rounds_left.get, reverse=True
        )
        chosen = chosen[:GOSSIP_RECORDS_PER_MESSAGE]
        for name in chosen:
            self.gossip_rounds_left[name] -= 1
            if self.gossip_rounds_left[name] == 0:
                del self.gossip_rounds_left[name]
        target = self.table.get(node)
        if target is not None and target.status != ALIVE and node not in chosen:
            chosen.append(node)
        records = [self.table.get(name) for name in chosen]
        return [record for record in records if record is not None]

    def _apply_records(self, records, now):
        effects, changed_records = [], []
        for record in records:
            if record.node == self.table.own_node:
                effects += self._refute(record)
                continue
            changed = self.table.apply(record)
            if changed is not None:
                effects += changed
                changed_records.append(record)
                self._on_change(record, now)
        return AppliedRecords(effects, changed_records)

    def _broadcast(self, records):
        """Send records that this node originates to its domain and over links."""
        return self._send_along_tree(
            self.table.own_node, records
        ) + self._send_along_links(records, "")

    def _send_along_tree(self, root, records):
        if not records:
            return []
        message = MemberUpdates(self.summarize(), root, records)
        return self.topology.send_along_tree(root, message)

    def _send_along_links(self, records, sender):
        """Send records over the links between relays."""
        if not records:
            return []
        message = MemberUpdates(self.summarize(), "", records)
        return self.topology.send_along_links(message, sender)

    def _send_records(self, address, region, records):
        effects = []
        for first in range(0, len(records), TRANSFER_RECORDS_PER_MESSAGE):
            part = records[first : first + TRANSFER_RECORDS_PER_MESSAGE]
            message = MemberUpdates(self.summarize(), "", part)
            effects.append(Send(address, region, message))
        return effects

    def _send_digest(self, receiver, buckets, wants_answer):
        records = self.table.in_buckets(set(buckets))
        digest = MemberDigest(
            self.summarize(),
            buckets,
            [record.node for record in records],
            [record.incarnation for record in records],
            [STATUS_RANK[record.status] for record in records],
            wants_answer,
        )
        return Send(receiver.address, receiver.region, digest)

    def _replace_own_record(self, status, upstreams, min_incarnation=0):
        old = self.table.own_record
        record = MemberRecord(
            old.node,
            max(old.incarnation, min_incarnation) + 1,
            status,
            old.domain,
            old.region,
            old.address,
            upstreams,
            old.started_ms,
        )
        effects = self.table.apply(record)
        self._queue_gossip(record)
        return [*effects, *self._broadcast([record])]

    def _refute(self, update):
        own = self.table.own_record
        if own.status == LEFT or update.incarnation < own.incarnation:
            return []
        if update.incarnation == own.incarnation and update.status == ALIVE:
            return []
        refuted = self._replace_own_record(ALIVE, own.upstreams, update.incarnation)
        effects = [Count("refutations_total"), *refuted]
        if update.status == DEAD:
            effects.append(DeathRefuted())
        return effects

    def _on_change(self, record, now):
        self._queue_gossip(record)
        self.suspects.pop(record.node, None)
        self.tombstones.pop(record.node, None)
        if record.status == SUSPECT and record.domain == self.table.own_record.domain:
            self.suspects[record.node] = now + SUSPICION_TIMEOUT_S
        elif not is_live(record):
            self.tombstones[record.node] = now + TOMBSTONE_RETENTION_S

    def _queue_gossip(self, record):
        rounds = max(1, len(self.table.members).bit_length()) * GOSSIP_ROUNDS_PER_BIT
        self.gossip_rounds_left[record.node] = rounds

    def _expire_suspects(self, now):
        effects = []
        for node, deadline in list(self.suspects.items()):
            if now >= deadline:
                effects += self.apply_detection(
                    node,
                    "suspicion_over",
                    f"not refuted within {SUSPICION_TIMEOUT_S:g} s",
                    now,
                )
        return effects

    def _handle_pause(self, now):
        """Restart all suspicion timers after this process was paused.

        Peers could not refute a suspicion while it did not run.
        """
        for node in self.suspects:
            self.suspects[node] = now + SUSPICION_TIMEOUT_S
        detail = f"no tick for {now - self.last_tick:.1f} s"
        return [Count("pauses_total"), StateChanged("process", "resumed", detail)]

    def _remove_expired_tombstones(self, now):
        for node, deadline in list(self.tombstones.items()):
            if now >= deadline:
                del self.tombstones[node]
                self.gossip_rounds_left.pop(node, None)
                self.table.remove_tombstone(node)

    def _send_due_repair(self, now):
        for node, mismatch in list(self.mismatches.items()):
            if now < mismatch.since + REPAIR_DELAY_S:
                continue
            del self.mismatches[node]
            summary = mismatch.summary
            hashes = BucketHashes(self.summarize(), list(self.table.hashes))
            return [
                Count("member_repairs_total"),
                Send(summary.address, summary.region, hashes),
            ]
        return []

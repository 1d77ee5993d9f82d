"""Member records, and which update of a record supersedes which."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import ConfigurationChanged, Count, StateChanged
from cyclamentally.hashing import hash_text
from cyclamentally.model import MemberRecord

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEFT = "left"
STATUS_RANK = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
BUCKET_COUNT = 32


@runs_chart("member")
class Member:
    """State of one node as known here; runs the chart ``member``.

    Parameters
    ----------
    node : str
        Identifier of the node.
    """

    __slots__ = ("node", "record", "state")

    def __init__(self, node):
        self.node = node
        self.record = None
        self.state = self.chart.initial

    def is_newer(self, update):
        """Whether the update has a higher incarnation than the known record."""
        return update.incarnation > self.record.incarnation

    def is_not_older(self, update):
        """Whether the update has at least the known incarnation."""
        return update.incarnation >= self.record.incarnation

    def adopt(self, update):
        """Adopt an update received from another node."""
        return self._replace(update, "claimed")

    def replace_status(self, reason):
        """Copy the record with the state that the chart has just entered."""
        old = self.record
        record = MemberRecord(
            old.node,
            old.incarnation,
            self.state,
            old.domain,
            old.region,
            old.address,
            old.upstreams,
            old.started_ms,
        )
        return self._replace(record, reason)

    def _replace(self, record, reason):
        old, self.record = self.record, record
        effects = []
        if old is None or old.status != record.status:
            effects.append(Count("member_changes_total", record.status))
            effects.append(StateChanged(f"member {self.node}", record.status, reason))
        if old is None or _live_upstreams(old) != _live_upstreams(record):
            effects.append(ConfigurationChanged())
        return effects


def is_live(record):
    """Return whether the node is alive or suspect."""
    return record.status in (ALIVE, SUSPECT)


def supersedes(record, incarnation, rank):
    """Return whether a record supersedes an incarnation and status rank."""
    own = (record.incarnation, STATUS_RANK[record.status])
    return own > (incarnation, rank)


def bucket_of(node):
    """Return the bucket of the member table that a node belongs to."""
    return hash_text(node) % BUCKET_COUNT


def hash_record(record):
    """Return the hash of a record's node, incarnation and status."""
    return hash_text(f"{record.node}:{record.incarnation}:{record.status}")


def _live_upstreams(record):
    return record.upstreams if is_live(record) else None


class MemberTable:
    """All member records of a node, its own included.

    Parameters
    ----------
    own : MemberRecord
        Record of the node itself.
    """

    __slots__ = ("by_domain", "generation", "hashes", "members", "own_node")

    def __init__(self, own):
        self.own_node = own.node
        self.members = {}
        self.by_domain = {}
        self.hashes = [0] * BUCKET_COUNT
        self.generation = 0
        self.apply(own)

    @property
    def hash(self):
        """Combined hash of all records."""
        combined = 0
        for value in self.hashes:
            combined ^= value
        return combined

    @property
    def own_record(self):
        """Record of the node itself."""
        return self.members[self.own_node].record

    def apply(self, update):
        """Apply an update received from another node.

        Returns
        -------
        list or None
            Effects, or None if the update changed nothing.
        """
        member = self.members.get(update.node) or Member(update.node)
        return self._fire(member, f"claim_{update.status}", update)

    def apply_detection(self, node, event, reason):
        """Apply an event that this node detected; returns as `apply` does."""
        return self._fire(self.members[node], event, reason)

    def get(self, node):
        """Return the record of a node, or None."""
        member = self.members.get(node)
        return member.record if member else None

    def records(self):
        """Return all records."""
        return [member.record for member in self.members.values()]

    def live(self, domain):
        """Return the live records of a failure domain."""
        nodes = self.by_domain.get(domain, ())
        records = (self.members[node].record for node in nodes)
        return [record for record in records if is_live(record)]

    def domains(self):
        """Return the region of each failure domain, by domain name."""
        regions = {}
        for domain in sorted(self.by_domain):
            node = next(iter(self.by_domain[domain]))
            regions[domain] = self.members[node].record.region
        return regions

    def in_buckets(self, buckets):
        """Return the records in some buckets."""
        return [r for r in self.records() if bucket_of(r.node) in buckets]

    def remove_tombstone(self, node):
        """Remove a tombstone."""
        record = self.members.pop(node).record
        self._remove_from_domain(record)
        self.hashes[bucket_of(node)] ^= hash_record(record)

    def _fire(self, member, event, message):
        old = member.record
        effects = Member.chart.fire(member, event, message)
        if member.record is old:
            return None
        self._index(member, old)
        return effects

    def _remove_from_domain(self, record):
        nodes = self.by_domain[record.domain]
        nodes.pop(record.node, None)
        if not nodes:
            del self.by_domain[record.domain]

    def _index(self, member, old):
        bucket = bucket_of(member.node)
        if old is not None:
            self.hashes[bucket] ^= hash_record(old)
            self._remove_from_domain(old)
        self.hashes[bucket] ^= hash_record(member.record)
        nodes = self.by_domain.setdefault(member.record.domain, {})
        nodes[member.node] = None
        self.members[member.node] = member
        if (
            old is None
            or is_live(old) != is_live(member.record)
            or old.address != member.record.address
        ):
            self.generation += 1

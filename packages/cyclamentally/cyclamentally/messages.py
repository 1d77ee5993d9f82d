"""Messages between nodes about members and configuration."""

from cyclamentally.model import (
    Change,
    DomainStatus,
    MemberRecord,
    RefusedVersion,
)
from cyclamentally.records import Record


class Summary(Record):
    """Summary of the state of a node; it is sent with every message.

    Parameters
    ----------
    node : str
        Sender.
    address : str
        Peer address of the sender, for answers.
    region : str
        Region of the sender.
    members_hash : int
        Hash of its member records.
    versions_hash : int
        Hash of its profile versions.
    version_sum : int
        Sum of the version numbers of its profiles.
    ready : bool
        Whether its configuration is complete.
    """

    __slots__ = (
        "node",
        "address",
        "region",
        "members_hash",
        "versions_hash",
        "version_sum",
        "ready",
    )

    def __init__(
        self,
        node: str,
        address: str,
        region: str,
        members_hash: int,
        versions_hash: int,
        version_sum: int,
        ready: bool,
    ):
        self.node = node
        self.address = address
        self.region = region
        self.members_hash = members_hash
        self.versions_hash = versions_hash
        self.version_sum = version_sum
        self.ready = ready


class Ping(Record):
    """Probe of a member; the `Ack` returns its ``sequence``."""

    __slots__ = ("sender", "sequence", "updates")

    def __init__(self, sender: Summary, sequence: int, updates: list[MemberRecord]):
        self.sender = sender
        self.sequence = sequence
        self.updates = updates


class Ack(Record):
    """Acknowledgement of a probe."""

    __slots__ = ("sender", "sequence", "updates")

    def __init__(self, sender: Summary, sequence: int, updates: list[MemberRecord]):
        self.sender = sender
        self.sequence = sequence
        self.updates = updates


class PingRequest(Record):
    """Request to probe ``target`` on behalf of the sender."""

    __slots__ = ("sender", "sequence", "target", "target_address")

    def __init__(
        self, sender: Summary, sequence: int, target: str, target_address: str
    ):
        self.sender = sender
        self.sequence = sequence
        self.target = target
        self.target_address = target_address


class IndirectAck(Record):
    """Report that the target of a `PingRequest` has answered."""

    __slots__ = ("sender", "sequence")

    def __init__(self, sender: Summary, sequence: int):
        self.sender = sender
        self.sequence = sequence


class Beat(Record):
    """Heartbeat of a node to the nodes that receive versions from it.

    Parameters
    ----------
    sender : Summary
        State of the sender.
    fresh : bool
        Whether new versions currently reach the sender as they are written.
    updates : list of MemberRecord
        Piggybacked member records.
    """

    __slots__ = ("sender", "fresh", "updates")

    def __init__(self, sender: Summary, fresh: bool, updates: list[MemberRecord]):
        self.sender = sender
        self.fresh = fresh
        self.updates = updates


class BeatAck(Record):
    """Acknowledgement of a `Beat`."""

    __slots__ = ("sender", "updates")

    def __init__(self, sender: Summary, updates: list[MemberRecord]):
        self.sender = sender
        self.updates = updates


class JoinRequest(Record):
    """Request of a joining node for the member records."""

    __slots__ = ("sender", "record")

    def __init__(self, sender: Summary, record: MemberRecord):
        self.sender = sender
        self.record = record


class MemberDigest(Record):
    """Incarnations and statuses in some buckets of the member table.

    Parameters
    ----------
    sender : Summary
        State of the sender.
    buckets : list of int
        Buckets that the entries cover.
    nodes : list of str
        Nodes in those buckets.
    incarnations : list of int
        Incarnation of each node.
    statuses : list of int
        Rank of the status of each node.
    wants_answer : bool
        Whether the receiver may answer with a digest of its own.
    """

    __slots__ = (
        "sender",
        "buckets",
        "nodes",
        "incarnations",
        "statuses",
        "wants_answer",
    )

    def __init__(
        self,
        sender: Summary,
        buckets: list[int],
        nodes: list[str],
        incarnations: list[int],
        statuses: list[int],
        wants_answer: bool,
    ):
        self.sender = sender
        self.buckets = buckets
        self.nodes = nodes
        self.incarnations = incarnations
        self.statuses = statuses
        self.wants_answer = wants_answer


class BucketHashes(Record):
    """Hash of each bucket of the member table."""

    __slots__ = ("sender", "hashes")

    def __init__(self, sender: Summary, hashes: list[int]):
        self.sender = sender
        self.hashes = hashes


class MemberUpdates(Record):
    """Member records, pushed along a tree or sent to repair a difference.

    Parameters
    ----------
    sender : Summary
        State of the sender.
    root : str
        Root of the push tree in the sender's failure domain; empty outside
        of a tree.
    updates : list of MemberRecord
        The records.
    """

    __slots__ = ("sender", "root", "updates")

    def __init__(self, sender: Summary, root: str, updates: list[MemberRecord]):
        self.sender = sender
        self.root = root
        self.updates = updates


class ChangePush(Record):
    """Profile versions, pushed along a tree or sent to repair a difference."""

    __slots__ = ("sender", "root", "changes")

    def __init__(self, sender: Summary, root: str, changes: list[Change]):
        self.sender = sender
        self.root = root
        self.changes = changes


class VersionDigest(Record):
    """Versions that the sender knows; the receiver returns newer ones.

    Parameters
    ----------
    sender : Summary
        State of the sender.
    names : list of str
        Profiles.
    versions : list of int
        Newest version seen of each profile.
    full_body_names : list of str
        Profiles whose full body is needed, since a delta could not be applied.
    wants_answer : bool
        Whether the receiver may answer with a digest of its own.
    """

    __slots__ = ("sender", "names", "versions", "full_body_names", "wants_answer")

    def __init__(
        self,
        sender: Summary,
        names: list[str],
        versions: list[int],
        full_body_names: list[str],
        wants_answer: bool,
    ):
        self.sender = sender
        self.names = names
        self.versions = versions
        self.full_body_names = full_body_names
        self.wants_answer = wants_answer


class Busy(Record):
    """Refusal of a transfer; ``wait`` is the time until a retry, in seconds."""

    __slots__ = ("sender", "wait")

    def __init__(self, sender: Summary, wait: float):
        self.sender = sender
        self.wait = wait


class Report(Record):
    """Report of a node to the relays of its domain; the summary has its versions.

    Parameters
    ----------
    sender : Summary
        State of the sender.
    domain : str
        Failure domain of the sender.
    refused : list of RefusedVersion
        Refused versions that no newer version has replaced.
    """

    __slots__ = ("sender", "domain", "refused")

    def __init__(self, sender: Summary, domain: str, refused: list[RefusedVersion]):
        self.sender = sender
        self.domain = domain
        self.refused = refused


class StatusRequest(Record):
    """Request for the `DomainStatus` of the receiver's domain."""

    __slots__ = ("sender",)

    def __init__(self, sender: Summary):
        self.sender = sender


class StatusReply(Record):
    """Answer to a `StatusRequest`."""

    __slots__ = ("sender", "status")

    def __init__(self, sender: Summary, status: DomainStatus):
        self.sender = sender
        self.status = status

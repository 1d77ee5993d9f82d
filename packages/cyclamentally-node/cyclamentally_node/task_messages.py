"""Messages between the tasks of one node."""

from cyclamentally.records import Record


class Tick(Record):
    """A tick of the clock: run what is due."""

    __slots__ = ()


class PeerMessageReceived(Record):
    """A message was received from another node; ``size`` in bytes."""

    __slots__ = ("message", "size")

    def __init__(self, message, size):
        self.message = message
        self.size = size


class SendToPeers(Record):
    """Send messages to other nodes.

    Parameters
    ----------
    sends : list of Send
        Messages with their receivers.
    """

    __slots__ = ("sends",)

    def __init__(self, sends):
        self.sends = sends


class ReceiveNext(Record):
    """Receive the next message on the peer socket."""

    __slots__ = ()


class RecordCounts(Record):
    """Add the given list of `Count` to the metrics."""

    __slots__ = ("counts",)

    def __init__(self, counts):
        self.counts = counts


class RenderMetrics(Record):
    """Render the metrics in a format that the ``Accept`` headers allow."""

    __slots__ = ("accepts",)

    def __init__(self, accepts):
        self.accepts = accepts


class AttachControl(Record):
    """Set the control task, which is started later than the platform task."""

    __slots__ = ("control",)

    def __init__(self, control):
        self.control = control


class SetWatch(Record):
    """Start or stop the watch on the profiles in the platform's store."""

    __slots__ = ("active",)

    def __init__(self, active):
        self.active = active


class Poll(Record):
    """Make the next call of the platform watch."""

    __slots__ = ()


class ReadSeeds(Record):
    """Read the seed addresses; retried until it succeeds."""

    __slots__ = ()


class PublishSeed(Record):
    """Store this relay's peer address as the seed ``slot`` of its domain."""

    __slots__ = ("slot",)

    def __init__(self, slot):
        self.slot = slot


class SeedsFound(Record):
    """Seed addresses read from the platform's store."""

    __slots__ = ("addresses",)

    def __init__(self, addresses):
        self.addresses = addresses


class PlatformVersions(Record):
    """Profile versions read from the store; ``is_complete`` if these are all."""

    __slots__ = ("versions", "is_complete")

    def __init__(self, versions, is_complete):
        self.versions = versions
        self.is_complete = is_complete


class PlatformState(Record):
    """Whether the last watch call to the platform succeeded."""

    __slots__ = ("is_reachable",)

    def __init__(self, is_reachable):
        self.is_reachable = is_reachable


class Announce(Record):
    """Add or renew an upstream; replied to by ``Done`` or ``Refused``."""

    __slots__ = ("upstream",)

    def __init__(self, upstream):
        self.upstream = upstream


class Withdraw(Record):
    """Withdraw the announcement of an upstream."""

    __slots__ = ("address",)

    def __init__(self, address):
        self.address = address


class CollectStatus(Record):
    """Collect the status of all failure domains; ``future`` gets the list."""

    __slots__ = ("future",)

    def __init__(self, future):
        self.future = future


class DescribeNode(Record):
    """Return the `NodeDescription` of this node."""

    __slots__ = ()


class NodeDescription(Record):
    """State of a node, and the number of live members it knows by domain."""

    __slots__ = ("node", "state", "relay", "generation", "versions", "refused", "live")

    def __init__(self, node, state, relay, generation, versions, refused, live):
        self.node = node
        self.state = state
        self.relay = relay
        self.generation = generation
        self.versions = versions
        self.refused = refused
        self.live = live


class StopNode(Record):
    """Announce to the other nodes that this node is leaving."""

    __slots__ = ()


class SnapshotReplaced(Record):
    """A new snapshot is in force."""

    __slots__ = ("snapshot",)

    def __init__(self, snapshot):
        self.snapshot = snapshot


class CountInFlight(Record):
    """Count the requests not answered in full; ``future`` gets the number."""

    __slots__ = ("future",)

    def __init__(self, future):
        self.future = future


class ReadinessChanged(Record):
    """Whether the node is ready to accept requests of callers."""

    __slots__ = ("is_ready",)

    def __init__(self, is_ready):
        self.is_ready = is_ready


class DrainCalls(Record):
    """Refuse new requests of callers, as the node is stopping."""

    __slots__ = ()


class ClaimVerdict(Record):
    """Verdict on the claim of request ``number``, or ``Refused``."""

    __slots__ = ("number", "verdict")

    def __init__(self, number, verdict):
        self.number = number
        self.verdict = verdict


class ClaimKey(Record):
    """Claim an idempotency key; ``future`` gets the `Verdict`."""

    __slots__ = ("key", "fingerprint", "ticket", "allowed_ms", "future")

    def __init__(self, key, fingerprint, ticket, allowed_ms, future):
        self.key = key
        self.fingerprint = fingerprint
        self.ticket = ticket
        self.allowed_ms = allowed_ms
        self.future = future


class ReportOutcome(Record):
    """Report the outcome of a claimed request to the owner of its key."""

    __slots__ = ("key", "ticket", "outcome", "answer")

    def __init__(self, key, ticket, outcome, answer):
        self.key = key
        self.ticket = ticket
        self.outcome = outcome
        self.answer = answer


class ForgetClaim(Record):
    """Drop a claim that was refused, so that no outcome follows."""

    __slots__ = ("ticket",)

    def __init__(self, ticket):
        self.ticket = ticket


class MembersReplaced(Record):
    """The member records have changed."""

    __slots__ = ("records",)

    def __init__(self, records):
        self.records = records


class OwnDeathRefuted(Record):
    """Other nodes had declared this node dead, and it refuted that."""

    __slots__ = ()


class CrashObserved(Record):
    """An upstream failed while running a request; ``mark`` names both."""

    __slots__ = ("mark",)

    def __init__(self, mark):
        self.mark = mark


class SuspectAnswered(Record):
    """A marked request was answered."""

    __slots__ = ("fingerprint",)

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint


class SuspectsReplaced(Record):
    """Sets of fingerprints of the marked and the quarantined requests."""

    __slots__ = ("marked", "quarantined")

    def __init__(self, marked, quarantined):
        self.marked = marked
        self.quarantined = quarantined

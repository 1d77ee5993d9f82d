"""Messages between the tasks of one node."""

from cyclamentally.records import Record


class Tick(Record):
    """Time has passed."""

    __slots__ = ()


class PeerReceived(Record):
    """A message of another node has arrived; ``size`` in bytes."""

    __slots__ = ("message", "size")

    def __init__(self, message, size):
        self.message = message
        self.size = size


class PeerSend(Record):
    """Messages are to be sent to other nodes.

    Parameters
    ----------
    sends : list of Send
        Effects of the decisions.
    """

    __slots__ = ("sends",)

    def __init__(self, sends):
        self.sends = sends


class Receive(Record):
    """Wait for the next message on the peer socket."""

    __slots__ = ()


class Counted(Record):
    """Effects of kind `Count` for the metrics."""

    __slots__ = ("counts",)

    def __init__(self, counts):
        self.counts = counts


class RenderMetrics(Record):
    """Render the metrics for ``accepts``, a list of header values."""

    __slots__ = ("accepts",)

    def __init__(self, accepts):
        self.accepts = accepts


class Attach(Record):
    """Name the control task, which is started later than the receiver."""

    __slots__ = ("control",)

    def __init__(self, control):
        self.control = control


class SetWatch(Record):
    """Start or stop the watch on the platform."""

    __slots__ = ("active",)

    def __init__(self, active):
        self.active = active


class Poll(Record):
    """Make the next call of the platform watch."""

    __slots__ = ()


class ReadSeeds(Record):
    """Read the seed addresses, again and again until it works."""

    __slots__ = ()


class PublishSeed(Record):
    """Store the peer address of a relay for nodes that start later."""

    __slots__ = ("slot",)

    def __init__(self, slot):
        self.slot = slot


class SeedsFound(Record):
    """Peer addresses read from the platform."""

    __slots__ = ("addresses",)

    def __init__(self, addresses):
        self.addresses = addresses


class PlatformVersions(Record):
    """Profile versions read from the platform."""

    __slots__ = ("versions", "is_complete")

    def __init__(self, versions, is_complete):
        self.versions = versions
        self.is_complete = is_complete


class PlatformState(Record):
    """Whether the watch on the platform works."""

    __slots__ = ("is_reachable",)

    def __init__(self, is_reachable):
        self.is_reachable = is_reachable


class Announce(Record):
    """An upstream announces itself; answered by ``Done`` or ``Refused``."""

    __slots__ = ("upstream",)

    def __init__(self, upstream):
        self.upstream = upstream


class Withdraw(Record):
    """An upstream takes its announcement back."""

    __slots__ = ("address",)

    def __init__(self, address):
        self.address = address


class CollectStatus(Record):
    """Collect the status of all domains into ``future``."""

    __slots__ = ("future",)

    def __init__(self, future):
        self.future = future


class DescribeNode(Record):
    """Return the `NodeDescription` of this node."""

    __slots__ = ()


class NodeDescription(Record):
    """What a node says of itself and of the members it knows."""

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
    """Leave the members and refuse new requests."""

    __slots__ = ()


class SnapshotReplaced(Record):
    """A new snapshot is in force."""

    __slots__ = ("snapshot",)

    def __init__(self, snapshot):
        self.snapshot = snapshot


class CountInFlight(Record):
    """Put the number of requests without a whole answer into ``future``."""

    __slots__ = ("future",)

    def __init__(self, future):
        self.future = future


class ServingChanged(Record):
    """Whether requests of callers are let in."""

    __slots__ = ("is_ready",)

    def __init__(self, is_ready):
        self.is_ready = is_ready


class StopCalls(Record):
    """Refuse new requests of callers, since the node stops."""

    __slots__ = ()


class ClaimJudged(Record):
    """The verdict on the idempotency key of a request, or ``Refused``."""

    __slots__ = ("number", "verdict")

    def __init__(self, number, verdict):
        self.number = number
        self.verdict = verdict


class AskClaim(Record):
    """Ask for an idempotency key; ``future`` gets the `Verdict`."""

    __slots__ = ("key", "fingerprint", "ticket", "allowed_ms", "future")

    def __init__(self, key, fingerprint, ticket, allowed_ms, future):
        self.key = key
        self.fingerprint = fingerprint
        self.ticket = ticket
        self.allowed_ms = allowed_ms
        self.future = future


class ReportClaim(Record):
    """Tell the owner of a key how a try ended."""

    __slots__ = ("key", "ticket", "outcome", "answer")

    def __init__(self, key, ticket, outcome, answer):
        self.key = key
        self.ticket = ticket
        self.outcome = outcome
        self.answer = answer


class ForgetClaim(Record):
    """A try was refused and will have no result."""

    __slots__ = ("ticket",)

    def __init__(self, ticket):
        self.ticket = ticket


class MembersReplaced(Record):
    """The member records have changed."""

    __slots__ = ("records",)

    def __init__(self, records):
        self.records = records


class OwnDeathRefuted(Record):
    """Others had declared this node dead."""

    __slots__ = ()


class CrashSeen(Record):
    """An upstream was lost while it ran a request; ``mark`` names both."""

    __slots__ = ("mark",)

    def __init__(self, mark):
        self.mark = mark


class SuspectAnswered(Record):
    """A marked request was answered."""

    __slots__ = ("fingerprint",)

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint


class SuspectsReplaced(Record):
    """The marked and the quarantined requests, as sets of fingerprints."""

    __slots__ = ("marked", "quarantined")

    def __init__(self, marked, quarantined):
        self.marked = marked
        self.quarantined = quarantined

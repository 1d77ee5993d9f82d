"""Quarantine: requests that crash upstreams are refused on every node."""

from cyclamentally.call_messages import CrashMarks
from cyclamentally.chart import runs_chart
from cyclamentally.effects import Count, StateChanged, SuspectsChanged
from cyclamentally.hashing import hash_bytes
from cyclamentally.records import Record

CRASHES_TO_QUARANTINE = 2
MARK_LIFETIME_S = 600.0
MAX_SUSPECTS = 2_000


class Crash(Record):
    """The crash of an upstream, with the time in seconds."""

    __slots__ = ("address", "is_repeat", "now")

    def __init__(self, address, is_repeat, now):
        self.address = address
        self.is_repeat = is_repeat
        self.now = now


@runs_chart("suspect_request")
class SuspectRequest:
    """A request that may crash upstreams; runs the chart ``suspect_request``.

    Parameters
    ----------
    fingerprint : int
        Hash of the request.
    """

    __slots__ = ("addresses", "expires", "fingerprint", "state")

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self.state = self.chart.initial
        self.addresses = set()
        self.expires = 0.0

    def fire(self, event, crash=None):
        """Run an event and return the effects."""
        before = self.state
        effects = self.chart.fire(self, event, crash)
        if self.state == "quarantined" != before:
            subject = f"request {self.fingerprint:016x}"
            detail = ", ".join(sorted(self.addresses))
            effects.append(StateChanged(subject, "quarantined", detail))
            effects.append(Count("quarantines_total"))
        return effects

    def is_confirmed(self, crash):
        """Whether a retry of the request has crashed enough upstreams."""
        return (
            crash.is_repeat
            and len(self.addresses | {crash.address}) >= CRASHES_TO_QUARANTINE
        )

    def add_mark(self, crash):
        """Add the upstream and extend the lifetime of the marks."""
        self.addresses.add(crash.address)
        self.expires = crash.now + MARK_LIFETIME_S

    def clear(self, crash):
        """Drop the marks."""
        self.addresses.clear()


class MarkChanges(Record):
    """Effects of added or cleared marks, and those that were new to this node."""

    __slots__ = ("effects", "fresh")

    def __init__(self, effects, fresh):
        self.effects = effects
        self.fresh = fresh


class Quarantine:
    """Crash marks of requests, shared by all nodes.

    Parameters
    ----------
    topology : Topology
        Trees and links on which marks are sent.
    summarize : callable
        Returns the `Summary` of this node.
    """

    __slots__ = ("summarize", "suspects", "topology")

    def __init__(self, topology, summarize):
        self.topology = topology
        self.summarize = summarize
        self.suspects = {}

    def fingerprints(self, state):
        """Return the fingerprints of the requests in a state."""
        suspects = self.suspects.values()
        return frozenset(s.fingerprint for s in suspects if s.state == state)

    def report(self, marks, now):
        """Add crashes seen by this node and send them to other nodes."""
        own = self.topology.table.own_node
        added = self._add_marks(marks, now)
        return added.effects + self._broadcast(own, added.fresh, [], "")

    def on_marks(self, message, now):
        """Apply marks from another node and forward the new ones."""
        cleared = self._clear_marks(message.cleared)
        added = self._add_marks(message.marks, now)
        root = message.root or self.topology.table.own_node
        sender = message.sender.node
        broadcast = self._broadcast(root, added.fresh, cleared.fresh, sender)
        return cleared.effects + added.effects + broadcast

    def succeed(self, fingerprint):
        """Clear the marks of a request that was answered, on all nodes."""
        cleared = self._clear_marks([fingerprint])
        own = self.topology.table.own_node
        return cleared.effects + self._broadcast(own, [], cleared.fresh, "")

    def tick(self, now):
        """Drop expired marks."""
        effects = []
        for fingerprint, suspect in list(self.suspects.items()):
            if suspect.state != "unmarked" and now >= suspect.expires:
                suspect.fire("expire")
                effects.append(SuspectsChanged())
            if suspect.state == "unmarked":
                del self.suspects[fingerprint]
        return effects

    def _add_marks(self, marks, now):
        effects, fresh = [], []
        for mark in marks:
            suspect = self.suspects.get(mark.fingerprint)
            if suspect is None:
                if len(self.suspects) >= MAX_SUSPECTS:
                    effects.append(Count("marks_dropped_total", "table_full"))
                    continue
                suspect = SuspectRequest(mark.fingerprint)
                self.suspects[mark.fingerprint] = suspect
            if mark.address in suspect.addresses:
                continue
            effects += suspect.fire("crash", Crash(mark.address, mark.is_repeat, now))
            fresh.append(mark)
        if fresh:
            effects.append(SuspectsChanged())
        return MarkChanges(effects, fresh)

    def _clear_marks(self, fingerprints):
        effects, fresh = [], []
        for fingerprint in fingerprints:
            suspect = self.suspects.get(fingerprint)
            if suspect is not None and suspect.state == "marked":
                effects += [*suspect.fire("success"), SuspectsChanged()]
                fresh.append(fingerprint)
        return MarkChanges(effects, fresh)

    def _broadcast(self, root, marks, cleared, sender):
        if not marks and not cleared:
            return []
        in_tree = CrashMarks(self.summarize(), root, marks, cleared)
        across = CrashMarks(self.summarize(), "", marks, cleared)
        sends = self.topology.send_along_tree(root, in_tree)
        return sends + self.topology.send_along_links(across, sender)


def fingerprint_of(method, target, body):
    """Return the hash of a request.

    Parameters
    ----------
    method, target : str
        HTTP method; path with query.
    body : bytes
        Whole body.
    """
    return hash_bytes(f"{method} {target}\n".encode() + body)

"""Quarantine: requests that crash upstreams are refused on every node."""

from cyclamentally.call_messages import CrashMarks
from cyclamentally.effects import SuspectsChanged
from cyclamentally.hashing import hash_bytes
from cyclamentally.suspects import MARK_LIFETIME_S, SuspectTable, SuspicionRule

CRASHES_TO_QUARANTINE = 2


class Quarantine:
    """Crash marks of requests, shared by all nodes.

    Parameters
    ----------
    topology : Topology
        Trees and links on which marks are sent.
    summarize : callable
        Returns the `Summary` of this node.
    """

    __slots__ = ("summarize", "table", "topology")

    def __init__(self, topology, summarize):
        self.topology = topology
        self.summarize = summarize
        self.table = SuspectTable(SuspicionRule(CRASHES_TO_QUARANTINE, MARK_LIFETIME_S))

    def fingerprints(self, state):
        """Return the fingerprints of the requests in a state."""
        return self.table.fingerprints(state)

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
        return [SuspectsChanged()] if self.table.expire(now) else []

    def _add_marks(self, marks, now):
        return _with_notice(self.table.add(marks, now))

    def _clear_marks(self, fingerprints):
        return _with_notice(self.table.clear(fingerprints))

    def _broadcast(self, root, marks, cleared, sender):
        if not marks and not cleared:
            return []
        in_tree = CrashMarks(self.summarize(), root, marks, cleared)
        across = CrashMarks(self.summarize(), "", marks, cleared)
        sends = self.topology.send_along_tree(root, in_tree)
        return sends + self.topology.send_along_links(across, sender)


def _with_notice(changes):
    """Add the notice that the suspects have changed to `MarkChanges`."""
    if changes.fresh:
        changes.effects.append(SuspectsChanged())
    return changes


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

"""Messages between nodes on requests of callers."""

from cyclamentally.messages import Summary
from cyclamentally.model import CrashMark, StoredAnswer
from cyclamentally.records import Record


class ClaimRequest(Record):
    """A node asks the owner of a key whether it may run a request.

    Parameters
    ----------
    sender : Summary
        State of the sender.
    key : str
        Idempotency key.
    fingerprint : int
        Hash of the request.
    ticket : str
        Identifies this try.
    allowed_ms : int
        Longest time of the request, ms.
    """

    __slots__ = ("sender", "key", "fingerprint", "ticket", "allowed_ms")

    def __init__(
        self, sender: Summary, key: str, fingerprint: int, ticket: str, allowed_ms: int
    ):
        self.sender = sender
        self.key = key
        self.fingerprint = fingerprint
        self.ticket = ticket
        self.allowed_ms = allowed_ms


class ClaimReply(Record):
    """Verdict on a `ClaimRequest`; see `cyclamentally.idempotency.Verdict`."""

    __slots__ = ("sender", "ticket", "kind", "detail", "answer")

    def __init__(
        self,
        sender: Summary,
        ticket: str,
        kind: str,
        detail: str,
        answer: StoredAnswer | None,
    ):
        self.sender = sender
        self.ticket = ticket
        self.kind = kind
        self.detail = detail
        self.answer = answer


class ClaimResult(Record):
    """Result of a granted request: ``answered``, ``not_run`` or ``unknown``."""

    __slots__ = ("sender", "key", "ticket", "outcome", "answer")

    def __init__(
        self,
        sender: Summary,
        key: str,
        ticket: str,
        outcome: str,
        answer: StoredAnswer | None,
    ):
        self.sender = sender
        self.key = key
        self.ticket = ticket
        self.outcome = outcome
        self.answer = answer


class CrashMarks(Record):
    """Requests that were running when an upstream was lost.

    Parameters
    ----------
    sender : Summary
        State of the sender.
    root : str
        Root of the push tree; empty outside of a tree.
    marks : list of CrashMark
        New marks.
    cleared : list of int
        Fingerprints of marked requests that were answered.
    """

    __slots__ = ("sender", "root", "marks", "cleared")

    def __init__(
        self, sender: Summary, root: str, marks: list[CrashMark], cleared: list[int]
    ):
        self.sender = sender
        self.root = root
        self.marks = marks
        self.cleared = cleared

"""Messages between nodes about the requests of callers."""

from cyclamentally.messages import Summary
from cyclamentally.model import CrashMark, StoredAnswer
from cyclamentally.records import Record


class ClaimRequest(Record):
    """Request to the owner of an idempotency key for leave to run a request.

    Parameters
    ----------
    sender : Summary
        State of the sender.
    key : str
        Idempotency key.
    fingerprint : int
        Hash of the request.
    ticket : str
        Identifier of this attempt.
    allowed_ms : int
        Longest duration of the request, in ms.
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
    """Answer to a `ClaimRequest`; see `cyclamentally.idempotency.Verdict`."""

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
    """Outcome of a granted request: ``answered``, ``not_run`` or ``unknown``."""

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
    """Requests that were executing when an upstream was lost.

    Parameters
    ----------
    sender : Summary
        State of the sender.
    root : str
        Root of the push tree; empty outside of a tree.
    marks : list of CrashMark
        New marks.
    cleared : list of int
        Fingerprints of marked requests that have since been answered.
    """

    __slots__ = ("sender", "root", "marks", "cleared")

    def __init__(
        self, sender: Summary, root: str, marks: list[CrashMark], cleared: list[int]
    ):
        self.sender = sender
        self.root = root
        self.marks = marks
        self.cleared = cleared

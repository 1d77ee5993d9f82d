"""Claims of a node at the owners of idempotency keys."""

from cyclamentally.call_messages import ClaimRequest
from cyclamentally.effects import Send
from cyclamentally.errors import Kind, Refused
from cyclamentally.idempotency import Verdict, result_message
from cyclamentally.keys import find_owner, parse_key
from cyclamentally.records import Record


class ClaimDecided(Record):
    """Effect: the owner's decision on a claim is known.

    Parameters
    ----------
    ticket : str
        Identifies the attempt.
    verdict : Verdict
        Decision of the owner.
    """

    __slots__ = ("ticket", "verdict")

    def __init__(self, ticket, verdict):
        self.ticket = ticket
        self.verdict = verdict


class Claimant:
    """Claims keys at their owners and reports results to them.

    Parameters
    ----------
    owner : KeyOwner
        Decisions for the keys that this node owns itself.
    summarize : callable
        Returns the `Summary` of this node.
    """

    __slots__ = ("owner_by_ticket", "owner", "summarize")

    def __init__(self, owner, summarize):
        self.owner = owner
        self.summarize = summarize
        self.owner_by_ticket = {}

    def ask(self, key, fingerprint, ticket, allowed_ms, now_ms):
        """Claim a key.

        Parameters
        ----------
        key : str
            Idempotency key.
        fingerprint : int
            Hash of the request.
        ticket : str
            Identifies this attempt.
        allowed_ms : int
            Time limit of the request, in ms.
        now_ms : int
            Time in ms since the epoch.

        Returns
        -------
        list
            `ClaimDecided`, or `Send` if another node owns the key.
        """
        parsed = parse_key(key, now_ms)
        if isinstance(parsed, Refused):
            return [ClaimDecided(ticket, Verdict(parsed.kind, parsed.detail))]
        record = find_owner(parsed.value, self.owner.records.values())
        if record is None:
            verdict = Verdict(Kind.OWNER_UNREACHABLE, "no live node owns the key")
            return [ClaimDecided(ticket, verdict)]
        request = ClaimRequest(self.summarize(), key, fingerprint, ticket, allowed_ms)
        self.owner_by_ticket[ticket] = record
        if record.node == self.owner.node:
            return [ClaimDecided(ticket, self.owner.claim(request, now_ms))]
        return [Send(record.address, record.region, request)]

    def on_reply(self, reply):
        """Handle the reply of an owner."""
        if reply.ticket not in self.owner_by_ticket:
            return []
        verdict = Verdict(reply.kind, reply.detail, reply.answer)
        return [ClaimDecided(reply.ticket, verdict)]

    def report(self, key, ticket, outcome, answer, now_ms):
        """Report the result of an attempt to the owner.

        Parameters
        ----------
        key, ticket : str
            Key and ticket of the claim.
        outcome : str
            ``answered``, ``not_run`` or ``unknown``.
        answer : StoredAnswer or None
            Answer to store.
        now_ms : int
            Time in ms since the epoch.
        """
        record = self.owner_by_ticket.pop(ticket, None)
        if record is None:
            return []
        message = result_message(self.summarize(), key, ticket, outcome, answer)
        if record.node == self.owner.node:
            return self.owner.on_result(message, now_ms)
        return [Send(record.address, record.region, message)]

    def forget(self, ticket):
        """Drop an attempt that was refused."""
        self.owner_by_ticket.pop(ticket, None)

"""Ownership of idempotency keys: a request with a key runs at most once."""

from collections import OrderedDict

from cyclamentally.call_messages import ClaimReply, ClaimResult
from cyclamentally.chart import runs_chart
from cyclamentally.effects import Count, PeerMessageRefused, Send
from cyclamentally.errors import Kind, Refused
from cyclamentally.keys import (
    KEY_WINDOW_MS,
    MAX_CLOCK_SKEW_MS,
    IdempotencyKey,
    find_owner,
    parse_key,
)
from cyclamentally.members import DEAD, is_live
from cyclamentally.model import StoredAnswer
from cyclamentally.records import Record

HANDOVER_MS = 8_000
RESULT_GRACE_MS = 1_000
MAX_KEYS = 20_000
MAX_TOTAL_ANSWER_BYTES = 1_000_000
MAX_ANSWER_BYTES = 4_096
DEPARTURE_RETENTION_MS = 600_000

# Outcomes that the holder of a key may report; the chart has further events.
RESULT_OUTCOMES = ("answered", "not_run", "unknown")
GRANTED = "granted"
REPEATED = "repeated"


class ClaimAttempt(Record):
    """A node's attempt to run a keyed request, or the result of one.

    Parameters
    ----------
    ticket : str
        Identifies the attempt.
    fingerprint : int
        Hash of the request; a key may be used for one request only.
    due_ms : int
        Time at which the result is overdue, in ms since the epoch.
    answer : StoredAnswer or None
        Answer of the upstream, in a result.
    """

    __slots__ = ("ticket", "fingerprint", "due_ms", "answer")

    def __init__(self, ticket, fingerprint=0, due_ms=0, answer=None):
        self.ticket = ticket
        self.fingerprint = fingerprint
        self.due_ms = due_ms
        self.answer = answer


class Verdict(Record):
    """The owner's decision on a claim.

    Parameters
    ----------
    kind : str
        ``granted``, ``repeated`` or a kind of refusal.
    detail : str
        One line for a person.
    answer : StoredAnswer or None
        Stored answer to return.
    """

    __slots__ = ("kind", "detail", "answer")

    def __init__(self, kind, detail="", answer=None):
        self.kind = kind
        self.detail = detail
        self.answer = answer


class Departure(Record):
    """The last live record of a lost or replaced node, and when it was lost."""

    __slots__ = ("record", "departed_ms")

    def __init__(self, record, departed_ms):
        self.record = record
        self.departed_ms = departed_ms


@runs_chart("claim")
class Claim:
    """State of one key at its owner; runs the chart ``claim``.

    Parameters
    ----------
    key : IdempotencyKey
        The key.
    """

    __slots__ = ("answer", "due_ms", "fingerprint", "key", "state", "ticket")

    def __init__(self, key):
        self.key = key
        self.state = self.chart.initial
        self.ticket = ""
        self.fingerprint = 0
        self.due_ms = 0
        self.answer = None

    def fire(self, event, attempt):
        """Run an event and return the verdicts."""
        return self.chart.fire(self, event, attempt)

    def is_same_request(self, attempt):
        """Whether the key was claimed for the same request."""
        return attempt.fingerprint == self.fingerprint

    def is_holder(self, attempt):
        """Whether the result comes from the node that was granted the key."""
        return attempt.ticket == self.ticket

    def grant(self, attempt):
        """Grant the key to a node."""
        self.ticket = attempt.ticket
        self.fingerprint = attempt.fingerprint
        self.due_ms = attempt.due_ms
        return [Verdict(GRANTED)]

    def keep_answer(self, attempt):
        """Store the answer for resends."""
        self.answer = attempt.answer

    def refuse_in_progress(self, attempt):
        """Refuse a resend while the request runs."""
        return [Verdict(Kind.KEY_IN_PROGRESS, "a request with the key is running")]

    def refuse_reused(self, attempt):
        """Refuse a key that was used for another request."""
        return [Verdict(Kind.KEY_REUSED, "the key was used for another request")]

    def refuse_unknown(self, attempt):
        """Refuse a resend of a request that may have run."""
        return [Verdict(Kind.OUTCOME_UNKNOWN, "the request may have run")]

    def repeat_answer(self, attempt):
        """Return the stored answer, if it was small enough to be stored."""
        if self.answer is None:
            return [Verdict(Kind.OUTCOME_UNKNOWN, "it ran; its answer was not stored")]
        return [Verdict(REPEATED, "", self.answer)]


class KeyOwner:
    """Decide on claims for the keys that this node owns.

    Parameters
    ----------
    node, domain : str
        This node and its failure domain.
    summarize : callable
        Returns the `Summary` of this node.
    started_ms : int
        Start of this node, in ms since the epoch.
    """

    __slots__ = (
        "claims",
        "departed",
        "domain",
        "known_since_ms",
        "kept_bytes",
        "node",
        "records",
        "summarize",
    )

    def __init__(self, node, domain, summarize, started_ms):
        self.node = node
        self.domain = domain
        self.summarize = summarize
        # For keys minted up to this time, this node may lack an earlier claim.
        self.known_since_ms = started_ms
        self.claims = OrderedDict()
        self.kept_bytes = 0
        self.records = {}
        self.departed = {}

    def update(self, records, now_ms):
        """Replace the member records; record departed nodes and when they left.

        Parameters
        ----------
        records : list of MemberRecord
            Members of all domains.
        now_ms : int
            Time in ms since the epoch.
        """
        for record in records:
            if record.domain == self.domain:
                self._record_departure(record, now_ms)
        self.records = {record.node: record for record in records}

    def on_refuted(self, now_ms):
        """Distrust older keys after others had declared this node dead.

        Another node may have owned its keys in the meantime.
        """
        self.known_since_ms = max(
            self.known_since_ms, now_ms + HANDOVER_MS + MAX_CLOCK_SKEW_MS
        )

    def on_request(self, request, now_ms):
        """Answer a `ClaimRequest`."""
        verdict = self.claim(request, now_ms)
        reply = ClaimReply(
            self.summarize(),
            request.ticket,
            str(verdict.kind),
            verdict.detail,
            verdict.answer,
        )
        effects = [Send(request.sender.address, request.sender.region, reply)]
        if verdict.kind not in (GRANTED, REPEATED):
            effects.append(Count("claims_refused_total", str(verdict.kind)))
        return effects

    def claim(self, request, now_ms):
        """Return the `Verdict` on a `ClaimRequest`."""
        parsed = parse_key(request.key, now_ms)
        if isinstance(parsed, Refused):
            return Verdict(parsed.kind, parsed.detail)
        key = parsed.value
        attempt = ClaimAttempt(
            request.ticket,
            request.fingerprint,
            now_ms + request.allowed_ms + RESULT_GRACE_MS,
        )
        claim = self.claims.get(key.text)
        if claim is None:
            refusal = self._check_ownership(key)
            if refusal is not None:
                return refusal
            claim = self.add(key)
        return claim.fire("claim", attempt)[0]

    def on_result(self, result, now_ms):
        """Handle a `ClaimResult`; returns effects."""
        if result.outcome not in RESULT_OUTCOMES:
            detail = f"claim result has the unknown outcome {result.outcome!r}"
            return [
                Count("claim_results_refused_total", "unknown_outcome"),
                PeerMessageRefused(result.sender.node, detail),
            ]
        claim = self.claims.get(result.key)
        if claim is None:
            return []
        answer = result.answer
        if answer is not None and not self._may_keep(answer):
            answer = None
        before = claim.answer
        claim.fire(result.outcome, ClaimAttempt(result.ticket, answer=answer))
        if claim.answer is not before:
            self.kept_bytes += _size_of(claim.answer)
        return []

    def tick(self, now_ms):
        """Mark overdue claims as lost; drop keys older than the window."""
        oldest = now_ms - KEY_WINDOW_MS - MAX_CLOCK_SKEW_MS
        for claim in list(self.claims.values()):
            if claim.key.minted_ms < oldest:
                self._remove(claim)
            elif claim.state == "running" and now_ms >= claim.due_ms:
                claim.fire("overdue", None)
        for name, departure in list(self.departed.items()):
            if now_ms - departure.departed_ms > DEPARTURE_RETENTION_MS:
                del self.departed[name]
        return []

    def add(self, key):
        """Return a new claim for a key; evicts the oldest if the table is full."""
        if len(self.claims) >= MAX_KEYS:
            _, oldest = next(iter(self.claims.items()))
            self._remove(oldest)
            # An evicted key must not look like a new one.
            self.known_since_ms = max(self.known_since_ms, oldest.key.minted_ms)
        self.claims[key.text] = Claim(key)
        return self.claims[key.text]

    def _record_departure(self, record, now_ms):
        known = self.records.get(record.node)
        if known is None or not is_live(known) or known.node == self.node:
            return
        # A restarted process has the same name but has lost its claims.
        if not is_live(record) or record.started_ms != known.started_ms:
            name = f"{known.node}/{known.started_ms}"
            self.departed[name] = Departure(known, now_ms)

    def _check_ownership(self, key):
        """Return a refusal unless this node has owned the key since it was minted."""
        owner = find_owner(key, self.records.values())
        if owner is None or owner.node != self.node:
            return Verdict(Kind.OWNER_UNREACHABLE, "this node does not own the key")
        if self._is_minority():
            detail = "no majority of the failure domain can be reached"
            return Verdict(Kind.OWNER_UNREACHABLE, detail)
        if key.minted_ms <= self._ownership_start_ms(key):
            return Verdict(Kind.OUTCOME_UNKNOWN, "the key may have had another owner")
        return None

    def _ownership_start_ms(self, key):
        """Return the time in ms since the epoch since when this node owns the key.

        A departed node that would own the key may have granted it until its
        handover is over.
        """
        start_ms = self.known_since_ms
        own = self.records[self.node]
        home = IdempotencyKey(key.text, self.domain, key.minted_ms)
        for departure in self.departed.values():
            if find_owner(home, [own, departure.record]) is not own:
                known_ms = departure.departed_ms + HANDOVER_MS + MAX_CLOCK_SKEW_MS
                start_ms = max(start_ms, known_ms)
        return start_ms

    def _is_minority(self):
        """Whether at most half of the domain is live, counting recently lost nodes."""
        own = [r for r in self.records.values() if r.domain == self.domain]
        live = sum(is_live(record) for record in own)
        departed = {departure.record.node for departure in self.departed.values()}
        lost = sum(r.status == DEAD and r.node in departed for r in own)
        return live <= lost

    def _remove(self, claim):
        del self.claims[claim.key.text]
        self.kept_bytes -= _size_of(claim.answer)

    def _may_keep(self, answer):
        size = _size_of(answer)
        return (
            size <= MAX_ANSWER_BYTES
            and self.kept_bytes + size <= MAX_TOTAL_ANSWER_BYTES
        )


def _size_of(answer):
    return len(answer.body) if isinstance(answer, StoredAnswer) else 0


def result_message(summary, key, ticket, outcome, answer):
    """Return the `ClaimResult` for the owner of a key.

    Parameters
    ----------
    summary : Summary
        State of this node.
    key, ticket : str
        Key and ticket that were granted.
    outcome : str
        ``answered``, ``not_run`` or ``unknown``.
    answer : StoredAnswer or None
        Answer to store.
    """
    if answer is not None and len(answer.body) > MAX_ANSWER_BYTES:
        answer = None
    return ClaimResult(summary, key, ticket, outcome, answer)

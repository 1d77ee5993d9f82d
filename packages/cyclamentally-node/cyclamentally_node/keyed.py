"""Run a request with an idempotency key at most once."""

from uuid import uuid4

from pykka import ThreadingFuture, Timeout

from cyclamentally.errors import ANSWERS, Done, Kind, Ran, Refused
from cyclamentally.idempotency import GRANTED, MAX_ANSWER_BYTES, REPEATED
from cyclamentally.model import KeptAnswer
from cyclamentally_node.events import AskClaim, ForgetClaim, ReportClaim
from cyclamentally_node.exchange import REPEATED_HEADER, UpstreamAnswer

CLAIM_TIMEOUT_S = 0.5
KINDS = {str(kind): kind for kind in Kind}


class KeyedRunner:
    """Claim the key, run the request, report the result.

    Parameters
    ----------
    claims : pykka.ActorRef
        Task that owns the keys of this node.
    runner : RequestRunner
        Runs the request.
    """

    __slots__ = ("claims", "runner")

    def __init__(self, claims, runner):
        self.claims = claims
        self.runner = runner

    def run(self, request, routed, suspects, is_gone):
        """Return ``Done`` with an `UpstreamAnswer`, or ``Refused``.

        The parameters are those of `RequestRunner.run`.
        """
        ticket = uuid4().hex
        verdict = self._ask(request, ticket, routed.policy.timeout_ms)
        if isinstance(verdict, Refused):
            return verdict
        if verdict.kind == REPEATED:
            self.claims.tell(ForgetClaim(ticket))
            return Done(_repeat(verdict.answer))
        if verdict.kind != GRANTED:
            self.claims.tell(ForgetClaim(ticket))
            kind = KINDS.get(str(verdict.kind), Kind.OUTCOME_UNKNOWN)
            return Refused(kind, verdict.detail)
        outcome = self.runner.run(request, routed, suspects, is_gone)
        self._report(request.key, ticket, outcome)
        return outcome

    def _ask(self, request, ticket, timeout_ms):
        future = ThreadingFuture()
        allowed = int(request.allowed_ms(timeout_ms))
        self.claims.tell(
            AskClaim(request.key, request.fingerprint, ticket, allowed, future)
        )
        try:
            return future.get(timeout=CLAIM_TIMEOUT_S)
        except Timeout:
            # The owner may have granted the key; it learns that nothing ran.
            self.claims.tell(ReportClaim(request.key, ticket, "not_run", None))
            return Refused(Kind.OWNER_UNREACHABLE, "the owner does not answer")

    def _report(self, key, ticket, outcome):
        if isinstance(outcome, Done):
            kept = _keep(outcome.value)
            self.claims.tell(ReportClaim(key, ticket, "answered", kept))
            return
        ran = ANSWERS[outcome.kind].ran
        event = "not_run" if ran == Ran.NO else "unknown"
        self.claims.tell(ReportClaim(key, ticket, event, None))


def _keep(answer):
    if not isinstance(answer.body, list):
        return None
    body = b"".join(answer.body)
    if len(body) > MAX_ANSWER_BYTES:
        return None
    names = [name for name, _ in answer.headers]
    values = [value for _, value in answer.headers]
    return KeptAnswer(answer.status, names, values, body)


def _repeat(kept):
    headers = list(zip(kept.header_names, kept.header_values, strict=True))
    headers.append((REPEATED_HEADER, "1"))
    return UpstreamAnswer(kept.status, headers, [kept.body])

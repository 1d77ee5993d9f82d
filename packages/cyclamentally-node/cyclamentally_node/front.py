"""The front end for callers: a WSGI application for waitress threads."""

from itertools import count

from absl.logging import get_absl_logger
from pykka import ThreadingFuture, Timeout

from cyclamentally.admission import Denied
from cyclamentally.effects import Count
from cyclamentally.errors import Kind, Refused
from cyclamentally.retries import Failure, RequestLife, no_route
from cyclamentally.snapshot import EMPTY_SNAPSHOT
from cyclamentally_node.events import Abandon, Admit, Counted, Finish
from cyclamentally_node.exchange import (
    UpstreamAnswer,
    read_request,
    refusal_answer,
)

logger = get_absl_logger()

MS = 1_000.0
ADMIT_MARGIN_S = 0.05


class Front:
    """Answer requests of callers.

    Parameters
    ----------
    admission, meters : pykka.ActorRef
        Tasks that grant slots and count.
    client : UpstreamClient
        Sends attempts.
    max_body : int
        Largest request body in bytes.
    clock : callable
        Returns the time in seconds.
    """

    __slots__ = (
        "admission",
        "client",
        "clock",
        "is_ready",
        "is_stopping",
        "max_body",
        "meters",
        "numbers",
        "snapshot",
    )

    def __init__(self, admission, meters, client, max_body, clock):
        self.admission = admission
        self.meters = meters
        self.client = client
        self.max_body = max_body
        self.clock = clock
        self.numbers = count(1)
        self.snapshot = EMPTY_SNAPSHOT
        self.is_ready = False
        self.is_stopping = False

    def __call__(self, environ, start_response):
        """Answer a WSGI request."""
        answer = self.answer(environ)
        start_response(answer.status, answer.headers)
        return answer.body

    def answer(self, environ):
        """Return the `UpstreamAnswer` for a WSGI environment."""
        refusal = self._refuse_early()
        if refusal is not None:
            return self._refuse(refusal)
        request = read_request(environ, self.max_body)
        if isinstance(request, Refused):
            return self._refuse(request)
        request = request.value
        snapshot = self.snapshot
        route = snapshot.find_route(request.target)
        if route is None:
            return self._refuse(no_route(request.target))
        policy = snapshot.clusters[route.service].policy
        is_gone = environ.get("waitress.client_disconnected", _never)
        return self._run(request, route, policy, is_gone)

    def _refuse_early(self):
        if self.is_stopping:
            return Refused(Kind.STOPPING, "this node is stopping")
        if not self.is_ready:
            return Refused(Kind.NOT_READY, "the configuration is not complete")
        return None

    def _refuse(self, refusal):
        self._count([Count("requests_refused_total", refusal.kind)])
        return refusal_answer(refusal)

    def _run(self, request, route, policy, is_gone):
        allowed = policy.timeout_ms
        if request.deadline_ms is not None:
            allowed = min(allowed, request.deadline_ms)
        life = RequestLife(
            next(self.numbers),
            route,
            policy,
            request.is_idempotent,
            self.clock() + allowed / MS,
        )
        answer = None
        while life.state not in life.chart.final:
            answer = self._attempt(life, request, is_gone)
        if life.state == "refused":
            return refusal_answer(life.refusal)
        self._count([Count("requests_answered_total", route.call_class)])
        return answer

    def _attempt(self, life, request, is_gone):
        granted = self._admit(life)
        if isinstance(granted, Denied):
            self._count(life.deny(granted.refusal, self.clock()))
            return None
        self._count(life.grant(granted.location))
        address = granted.location.upstream.address
        outcome = self.client.send(request, address, life.deadline, is_gone)
        if isinstance(outcome, Refused):
            self.admission.tell(Finish(life.number, outcome.kind))
            failure = Failure(outcome, self.clock(), outcome.wait is not None)
            self._count(life.fail(failure))
            return None
        self._count(life.answer())
        return self._finish_after(life.number, outcome.value)

    def _admit(self, life):
        future = ThreadingFuture()
        self.admission.tell(Admit(life.call(), future))
        queue_wait = life.policy.queue_wait_ms / MS
        wait = min(life.deadline - self.clock(), queue_wait) + ADMIT_MARGIN_S
        try:
            return future.get(timeout=max(wait, ADMIT_MARGIN_S))
        except Timeout:
            self.admission.tell(Abandon(life.number))
            refusal = Refused(Kind.QUEUE_TIMEOUT, "no slot in time")
            return Denied(life.number, refusal)

    def _finish_after(self, number, answer):
        """Return the slot at once, or at the end of a streamed body."""
        if isinstance(answer.body, list):
            self.admission.tell(Finish(number, None))
            return answer
        body = StreamedBody(answer.body, number, self.admission)
        return UpstreamAnswer(answer.status, answer.headers, body)

    def _count(self, effects):
        if effects:
            self.meters.tell(Counted(effects))


class StreamedBody:
    """A body that returns its slot when it is closed.

    Parameters
    ----------
    chunks : generator of bytes
        The body.
    number : int
        The request.
    admission : pykka.ActorRef
        Task that takes the slot back.
    """

    __slots__ = ("admission", "chunks", "number", "outcome")

    def __init__(self, chunks, number, admission):
        self.chunks = chunks
        self.number = number
        self.admission = admission
        self.outcome = Kind.CANCELLED

    def __iter__(self):
        try:
            yield from self.chunks
        except Exception:
            self.outcome = Kind.UPSTREAM_TRUNCATED
            raise
        self.outcome = None

    def close(self):
        """Return the slot; waitress calls this in every case."""
        self.chunks.close()
        self.admission.tell(Finish(self.number, self.outcome))


def _never():
    return False

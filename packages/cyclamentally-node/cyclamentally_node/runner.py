"""Run one request of a caller over its attempts."""

from itertools import count

from pykka import ThreadingFuture, Timeout

from cyclamentally.admission import Denied
from cyclamentally.effects import Count
from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.model import CrashMark
from cyclamentally.retries import Failure, RequestLife
from cyclamentally_node.events import (
    Abandon,
    Admit,
    Counted,
    CrashSeen,
    Finish,
    SuspectAnswered,
)
from cyclamentally_node.exchange import UpstreamAnswer

MS = 1_000.0
ADMIT_MARGIN_S = 0.05


class RequestRunner:
    """Admit, send and retry; `run` is the only verb.

    Parameters
    ----------
    admission, control, meters : pykka.ActorRef
        Tasks that grant slots, spread crash marks and count.
    client : UpstreamClient
        Sends attempts.
    clock : callable
        Returns the time in seconds.
    """

    __slots__ = ("admission", "client", "clock", "control", "meters", "numbers")

    def __init__(self, admission, control, meters, client, clock):
        self.admission = admission
        self.control = control
        self.meters = meters
        self.client = client
        self.clock = clock
        self.numbers = count(1)

    def run(self, request, routed, suspects, is_gone):
        """Return ``Done`` with an `UpstreamAnswer`, or ``Refused``.

        Parameters
        ----------
        request : CallerRequest
            What to send.
        routed : Routed
            Route and policy.
        suspects : SuspectsReplaced
            Marked requests.
        is_gone : callable
            Whether the caller has closed its connection.
        """
        allowed = request.allowed_ms(routed.policy.timeout_ms)
        life = RequestLife(
            next(self.numbers),
            routed.route,
            routed.policy,
            request.is_idempotent,
            self.clock() + allowed / MS,
        )
        answer = None
        while life.state not in life.chart.final:
            answer = self._attempt(life, request, suspects, is_gone)
        if life.state == "refused":
            return life.refusal
        if request.fingerprint in suspects.marked:
            self.control.tell(SuspectAnswered(request.fingerprint))
        return Done(answer)

    def _attempt(self, life, request, suspects, is_gone):
        granted = self._admit(life)
        if isinstance(granted, Denied):
            self._count(life.deny(granted.refusal, self.clock()))
            return None
        self._count(life.grant(granted.location))
        address = granted.location.upstream.address
        outcome = self.client.send(request, address, life.deadline, is_gone)
        if isinstance(outcome, Refused):
            is_repeat = life.losses > 0 or request.fingerprint in suspects.marked
            counts = life.fail(Failure(outcome, self.clock()))
            self.admission.tell(Finish(life.number, outcome.kind, counts))
            if outcome.kind == Kind.UPSTREAM_FAILED:
                mark = CrashMark(request.fingerprint, address, is_repeat)
                self.control.tell(CrashSeen(mark))
            return None
        counts = [*life.answer(), Count("requests_answered_total", life.call_class)]
        return self._finish_after(life.number, outcome.value, counts)

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

    def _finish_after(self, number, answer, counts):
        """Return the slot at once, or at the end of a streamed body."""
        if isinstance(answer.body, list):
            self.admission.tell(Finish(number, None, counts))
            return answer
        body = StreamedBody(answer.body, number, self.admission, counts)
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
    counts : list of Count
        Counts of the request.
    """

    __slots__ = ("admission", "chunks", "counts", "number", "outcome")

    def __init__(self, chunks, number, admission, counts):
        self.counts = counts
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
        self.admission.tell(Finish(self.number, self.outcome, self.counts))

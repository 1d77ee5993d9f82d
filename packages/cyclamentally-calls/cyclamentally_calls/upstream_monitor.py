"""What a node learns of the upstream on its host, and what it publishes of it."""

from functools import partial

from cyclamentally.crash_evidence import CrashEvidence
from cyclamentally.errors import Kind
from cyclamentally.gate_messages import UpstreamEnded
from cyclamentally.publication import Publication
from cyclamentally_calls.call_events import UpstreamChanged
from cyclamentally_calls.loop import wall_time_ms
from cyclamentally_calls.outcomes import Answered
from cyclamentally_calls.suspect_events import SuspectAnswered, UpstreamCrashed
from cyclamentally_calls.upstream_codec import (
    HTTP_MISDIRECTED,
    decode_limit,
    says_leaving,
)

# After a loss, the other connections of an upstream that has ended fail within this
# time.
COLLECT_S = 0.02


class UpstreamMonitor:
    """Passes reports of the upstream to its gate; owned by the gate task.

    Parameters
    ----------
    gate : Gate
        Admission decisions.
    client : UpstreamClient
        Sends liveness checks.
    store : Task
        Receiver of `UpstreamChanged`.
    carry_out : callable
        Carries out the effects of the gate.
    """

    __slots__ = (
        "carry_out",
        "client",
        "evidence",
        "gate",
        "health_path",
        "loop",
        "loss_timer",
        "publication",
        "store",
        "suspects",
    )

    def __init__(self, gate, client, store, carry_out):
        self.gate = gate
        self.client = client
        self.loop = client.loop
        self.store = store
        self.carry_out = carry_out
        self.publication = Publication()
        self.evidence = CrashEvidence()
        self.health_path = None
        # Examines recent losses.
        self.loss_timer = None
        # The `SuspectTask`.
        self.suspects = None

    def learn_upstream(self, table):
        """Check the liveness of the upstream, to know it before its heartbeat.

        Parameters
        ----------
        table : RouteTable
            Names the path of the check.
        """
        rule = table.services.get(self.client.local_upstream.service)
        if rule is not None:
            self.health_path = rule.health_path
            self.client.check_liveness(rule.health_path, self._handle_liveness)

    def handle_report(self, report):
        """Handle a heartbeat or the end of an upstream."""
        before = self.gate.heartbeat
        now = self.loop.clock()
        if isinstance(report, UpstreamEnded):
            wall_ms = wall_time_ms()
            self.carry_out(self.gate.on_upstream_ended(report.upstream, wall_ms, now))
        else:
            self.carry_out(self.gate.on_heartbeat(report, now))
        known = self.gate.heartbeat
        if before is not None and before.upstream != known.upstream:
            self.client.pool.close_idle(before.address)
        if before is not None and _are_lifetimes_apart(before, known):
            self._report_crash()
        self._publish()

    def handle_own_entry(self, entry):
        """Handle the stored `UpstreamEntry` of an earlier process of this node."""
        self.carry_out(self.gate.on_own_entry(entry, self.loop.clock()))
        self._publish()

    def mark_lost(self, event):
        """Close the gate of an upstream that is ``silent`` or ``unreachable``."""
        self.carry_out(self.gate.on_upstream_lost(event))
        self._publish()

    def note_result(self, ticket, failure, is_answered):
        """Note how the run of a request has ended.

        Parameters
        ----------
        ticket : Ticket
            The request.
        failure : Kind or None
            Kind of its failure.
        is_answered : bool
            Whether the upstream has answered it.
        """
        now = self.loop.clock()
        if is_answered:
            self.evidence.note_answer(ticket.fingerprint, now)
            if ticket.fingerprint in self.gate.isolation.suspects.marked:
                self.loop.post(self.suspects, SuspectAnswered(ticket.fingerprint))
        elif failure == Kind.UPSTREAM_FAILED:
            self.evidence.note_loss(ticket.fingerprint, now)
            if self.loss_timer is None:
                examine = partial(self._examine_losses, now)
                self.loss_timer = self.loop.call_after(COLLECT_S, examine)

    def read_statements(self, number, result):
        """Apply what the upstream says of itself in its response to a request.

        Parameters
        ----------
        number : int
            Number of the request at the gate.
        result : Answered, NotSent or Lost
            Result of sending it.
        """
        # A request that is no longer running went to an earlier lifetime.
        if not isinstance(result, Answered) or number not in self.gate.running:
            return
        response = result.response
        if response.status == HTTP_MISDIRECTED:
            return
        if says_leaving(response, self.client.names):
            if self.gate.state != "draining":
                self.handle_report(UpstreamEnded(self.gate.heartbeat.upstream))
        else:
            limit = decode_limit(response, self.client.names)
            is_shedding = self.gate.shed_share.share > 0
            self.gate.rate_limit.set_limit(limit, is_shedding, self.loop.clock())

    def check_silence(self):
        """Close the gate of an upstream that has sent no heartbeat for too long."""
        silence_s = self.loop.clock() - self.gate.last_heartbeat_at
        if self.client.local_upstream.is_silent_after(silence_s):
            self.mark_lost("silent")

    def withdraw(self):
        """Publish the upstream as leaving, since its node stops."""
        self.publication.withdraw()
        self._publish()

    def _examine_losses(self, lost_at):
        """Find out whether the upstream has ended when requests were lost."""
        self.loss_timer = None
        if self.gate.state == "unreachable_upstream":
            self._report_crash()
            return
        is_alive = any(r.since < lost_at for r in self.gate.running.values())
        if self.gate.state == "open" and not is_alive and self.health_path:
            address = self.gate.heartbeat.address
            self.client.check_reachable(
                address, self.health_path, self._handle_unreachable
            )

    def _handle_unreachable(self):
        if self.gate.state == "open":
            self.mark_lost("unreachable")
            self._report_crash()

    def _report_crash(self):
        """Report the requests that were lost as the upstream ended."""
        crash = f"{self.gate.heartbeat.upstream} {wall_time_ms()}"
        marked = self.gate.isolation.suspects.marked
        marks = self.evidence.take_marks(crash, marked, self.loop.clock())
        if marks:
            self.loop.post(self.suspects, UpstreamCrashed(marks))

    def _handle_liveness(self, heartbeat):
        self.carry_out(self.gate.on_liveness_check(heartbeat, self.loop.clock()))
        self._publish()

    def _publish(self):
        """Publish the entry of the upstream if it has changed."""
        service = self.client.local_upstream.service
        entry = self.publication.update(self.gate, service)
        if entry is not None:
            self.loop.post(self.store, UpstreamChanged(entry))


def _are_lifetimes_apart(before, later):
    """Whether two heartbeats are of two lifetimes whose starts are known."""
    starts = {before.started_ms, later.started_ms}
    return 0 not in starts and len(starts) > 1

"""The task that runs admission control for the upstream on this node's host."""

from functools import partial

from cyclamentally.body_budget import max_body_bytes
from cyclamentally.effects import Count, StateChanged
from cyclamentally.errors import Done, Kind, Refused, failed_internally
from cyclamentally.gate_messages import (
    RefuseWork,
    StartWork,
)
from cyclamentally.shutdown import LateRequests, node_stopping, not_finished
from cyclamentally_calls.accepted_connections import AcceptedConnections
from cyclamentally_calls.call_events import (
    CallNotRetried,
    DrainConnections,
    EndRequests,
    EntryWithdrawn,
    FeedRequest,
    IdleQuery,
    IdleReply,
    NewerVersionSeen,
    Offer,
    OfferWithdrawn,
    OwnEntryFound,
    PeerReply,
    PeerStateRequest,
    RepeatedRunChanged,
    RetireConnections,
    RoutesReplaced,
    ServiceChanged,
    ShutdownStarted,
)
from cyclamentally_calls.caller_codec import find_rule
from cyclamentally_calls.calls import request_id_of
from cyclamentally_calls.exchange import RequestHandler
from cyclamentally_calls.feed_codec import FEED_TARGET
from cyclamentally_calls.fingerprint import fingerprint_of_request
from cyclamentally_calls.loop import Task
from cyclamentally_calls.marks_codec import MARKS_TARGET
from cyclamentally_calls.pacer import Pacer
from cyclamentally_calls.peer_codec import PEER_LIMITS, find_ticket, refuse_offer
from cyclamentally_calls.peer_state import STATE_TARGET, state_response
from cyclamentally_calls.report_events import ReportHandled, UpstreamReported
from cyclamentally_calls.requesters import LocalRequester, PeerRequester
from cyclamentally_calls.suspect_events import MarksRequest, SuspectsReplaced
from cyclamentally_calls.upstream_client import UpstreamClient
from cyclamentally_calls.upstream_monitor import UpstreamMonitor
from cyclamentally_calls.work import Work, WorkTable, make_gate_ticket

# Interval between checks of the queue and the heartbeat. It is shorter while
# requests are queued, so that those that cannot be served are refused early.
TICK_WITH_QUEUE_S = 0.05
TICK_S = 0.25
# While a limit holds requests back, the check is due when the next one may start.
MIN_TICK_S = 0.01


class GateTask(Task, RequestHandler):
    """Accept requests from all nodes and send the admitted ones to the upstream.

    Requests come from other nodes over HTTP and from this node as `Offer` messages.

    Parameters
    ----------
    loop : Loop
        Event loop.
    address : str
        ``IP:port`` to listen on for other nodes.
    gate : Gate
        Admission decisions.
    local_upstream : LocalUpstream
        The upstream on this host.
    names : HeaderNames
        Headers shared with upstreams.
    store : Task
        Receiver of `UpstreamChanged`.
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    """

    __slots__ = (
        "client",
        "connections",
        "counters",
        "feed",
        "gate",
        "late_requests",
        "log",
        "loop",
        "monitor",
        "names",
        "local_upstream",
        "number",
        "outbound",
        "pacer",
        "store",
        "table",
        "timer",
        "works",
    )

    def __init__(
        self, loop, address, gate, local_upstream, names, store, counters, log
    ):
        self.loop = loop
        self.gate = gate
        self.names = names
        self.local_upstream = local_upstream
        self.store = store
        self.counters = counters
        self.log = log
        self.client = UpstreamClient(loop, local_upstream, names, counters, log)
        self.monitor = UpstreamMonitor(gate, self.client, store, self._carry_out)
        self.pacer = Pacer(loop, gate.uplink)
        self.connections = AcceptedConnections(
            loop, address, self, PEER_LIMITS, counters, log, self.pacer
        )
        self.works = WorkTable()
        self.number = 0
        self.late_requests = LateRequests()
        self.table = None
        self.feed = None
        self.outbound = None
        self.timer = None

    def start(self):
        """Start to listen for other nodes and to check the gate periodically."""
        self.connections.start()
        self.timer = self.loop.call_after(TICK_S, self._tick)

    def close(self):
        """Close all sockets."""
        self.timer.cancel()
        self.connections.close()
        self.pacer.close()
        self.client.close()

    def receive(self, message):
        """Handle a message from another task."""
        if isinstance(message, Offer):
            requester = LocalRequester(self.loop, message.sender, message.number)
            self._admit(requester, message.ticket, message.request)
        elif isinstance(message, OfferWithdrawn):
            self._withdraw(message.number)
        elif isinstance(message, CallNotRetried):
            self.works.note_call_not_retried(message.call_id)
        elif isinstance(message, UpstreamReported):
            self.monitor.handle_report(message.report)
            if message.receipt is not None:
                self.loop.post(self.store, ReportHandled(message.receipt))
        elif isinstance(message, OwnEntryFound):
            self.monitor.handle_own_entry(message.upstream)
        elif isinstance(message, RoutesReplaced):
            self._apply_routes(message.table)
        elif isinstance(message, SuspectsReplaced):
            self._carry_out(self.gate.on_suspects(message.suspects, self.loop.clock()))
        elif isinstance(message, PeerReply):
            message.exchange.respond(state_response(message.body))
        elif isinstance(message, ServiceChanged):
            self.local_upstream.service = message.service
        elif isinstance(message, IdleQuery):
            is_idle = not self.works and self.connections.is_idle()
            self.loop.post(message.sender, IdleReply(is_idle))
        else:
            self._take_shutdown_step(message)

    def _take_shutdown_step(self, message):
        if isinstance(message, ShutdownStarted):
            # Other gates can run the requests that would not end in time.
            self.late_requests.start_shutdown(self.loop.clock(), message.finish_by)
        elif isinstance(message, EntryWithdrawn):
            self.monitor.withdraw()
            self.connections.fire("retire")
        elif isinstance(message, RetireConnections):
            self._carry_out(self.gate.stop())
        elif isinstance(message, EndRequests):
            self._end_works()
        elif isinstance(message, DrainConnections):
            self.connections.fire("drain")

    # Requests from other nodes.

    def on_request(self, exchange):
        """Pass a node's request to the gate, or return this node's state to it."""
        if exchange.request.target == STATE_TARGET:
            self.loop.post(self.store, PeerStateRequest(self, exchange))
            return
        if exchange.request.target == MARKS_TARGET:
            self.loop.post(self.monitor.suspects, MarksRequest(self, exchange))
            return
        if exchange.request.target.startswith(FEED_TARGET):
            self.loop.post(self.feed, FeedRequest(self, exchange))
            return
        outcome = find_ticket(exchange.request)
        if isinstance(outcome, Refused):
            exchange.respond(self.refuse(exchange.request, outcome))
            return
        ticket = outcome.value
        if ticket.version > (self.table.version if self.table else 0):
            self.loop.post(self.store, NewerVersionSeen(ticket.sender, ticket.version))
        requester = PeerRequester(self.loop, exchange, self.names.request_id)
        self._admit(requester, ticket, exchange.request)

    def on_disconnect(self, exchange):
        """Cancel the request of a node that has closed its connection."""
        self._withdraw(exchange)

    def on_closed(self, connection):
        """Remove a closed connection."""
        self.connections.remove(connection)

    def may_run_concurrently(self, request):
        """Return False: nodes do not pipeline requests."""
        return False

    def request_id(self, request):
        """Return the ID of a request for the log; empty if it has none."""
        return request_id_of(request, self.names) if request is not None else ""

    def refuse(self, request, refusal):
        """Return the response to a request that violates the peer protocol."""
        self.counters.add("peer_requests_refused_total", refusal.kind)
        return refuse_offer(refusal)

    # Admission.

    def _admit(self, requester, peer_ticket, request):
        now = self.loop.clock()
        if not self.late_requests.may_start(now, now + peer_ticket.left_s):
            requester.resolve(node_stopping(), self.gate.load(peer_ticket.route))
            return
        self.number += 1
        crosses_link = isinstance(requester, PeerRequester)
        fingerprint = fingerprint_of_request(request)
        ticket = make_gate_ticket(
            self.number, peer_ticket, now, crosses_link, fingerprint
        )
        request_id = request_id_of(request, self.names)
        work = Work(requester, request, request_id, ticket, peer_ticket.is_repeat)
        self.works.add(work)
        self._run(work, self._enter_gate, now)

    def _withdraw(self, source):
        """Cancel a request, whether it is queued or in flight to the upstream."""
        if work := self.works.by_source.get(source):
            self._run(work, self._cancel)
            self.counters.add("works_cancelled_total")

    def _apply_routes(self, table):
        self.table = table
        self.gate.uplink.downloads = table.downloads
        if not self.gate.has_routes:
            self.gate.on_routes_known()
            self.monitor.learn_upstream(table)

    def _carry_out(self, effects):
        for effect in effects:
            # The effects of one event may concern several requests.
            self.loop.attempt(self._carry_out_one, effect)

    def _carry_out_one(self, effect):
        if isinstance(effect, StartWork):
            self._run(self.works.by_number[effect.number], self._start, effect)
        elif isinstance(effect, RefuseWork):
            if work := self.works.by_number.get(effect.number):
                self._run(work, self._refuse, effect)
        elif isinstance(effect, Count):
            self.counters.add_effects([effect])
        elif isinstance(effect, StateChanged):
            self.log.write("state", subject=effect.subject, state=effect.state)

    # Steps of a request.

    def _run(self, work, step, *arguments):
        """Run a step of a request, which ends if the step fails."""
        if work.ticket.number not in self.works.by_number:
            return
        try:
            step(work, *arguments)
        except Exception as error:
            self.loop.report(error, id=work.request_id)
            self._fail(work)

    def _fail(self, work):
        """End a request after an unexpected error, whatever state it is in.

        Each action may fail, as the step before has, without the following ones.
        """
        refusal = failed_internally(is_passed_on=work.outgoing is not None)
        if work.outgoing is not None:
            self.loop.attempt(work.outgoing.cancel)
        self.loop.attempt(self._remove, work)
        self.loop.attempt(self._free_slot, work.ticket.number)
        if not self.loop.attempt(self._resolve, work, refusal):
            work.requester.fail(refusal)

    def _enter_gate(self, work, now):
        self._carry_out(self.gate.admit(work.ticket, now))

    def _cancel(self, work):
        """End a request without an outcome, and free its slot."""
        if work.outgoing is not None:
            work.outgoing.cancel()
        self._remove(work)
        self._free_slot(work.ticket.number)

    def _free_slot(self, number):
        self.gate.cancel(number)
        self._carry_out(self.gate.finish(number, False, self.loop.clock()))

    def _refuse(self, work, effect):
        self.counters.add("gate_refusals_total", effect.refusal.kind)
        self._resolve(work, effect.refusal)

    def _start(self, work, effect):
        self.works.start(work)
        limit = max_body_bytes(find_rule(self.table, work.request))
        if work.is_repeat:
            self._report_repeat(work, is_running=True)
        on_result = partial(self._run, work, self._finish)
        self.client.send(work, effect.heartbeat, limit, on_result)

    def _finish(self, work, result):
        self.monitor.read_statements(work.ticket.number, result)
        outcome = self.client.take_result(work, result)
        kind = getattr(outcome, "kind", None)
        if kind in (Kind.UPSTREAM_UNREACHABLE, Kind.UPSTREAM_LEFT):
            self.monitor.mark_lost("unreachable")
        is_answered = isinstance(outcome, Done)
        self.monitor.note_result(work.ticket, kind, is_answered)
        if is_answered:
            size = len(outcome.value.body)
            self.gate.uplink.update_size(work.ticket.route, size)
            outcome = work.mark_if_final(outcome)
        now = self.loop.clock()
        is_shed = kind == Kind.UPSTREAM_OVERLOADED
        effects = self.gate.finish(work.ticket.number, is_answered, now, is_shed)
        self._resolve(work, outcome)
        self._carry_out(effects)

    def _end_works(self):
        """End the requests that are unanswered or unread at the end of a shutdown."""
        for work in list(self.works.by_number.values()):
            self._run(work, self._end)
        self.connections.refuse_unread(node_stopping())

    def _end(self, work):
        if work.outgoing is not None:
            work.outgoing.cancel()
        self._resolve(work, not_finished())

    def _resolve(self, work, outcome):
        self._remove(work)
        work.requester.resolve(outcome, self.gate.load(work.ticket.route))

    def _report_repeat(self, work, is_running):
        self.loop.post(self.outbound, RepeatedRunChanged(work.request_id, is_running))

    def _remove(self, work):
        self.works.remove(work)
        if work.is_repeat:
            self._report_repeat(work, is_running=False)

    def _tick(self):
        self.loop.attempt(self._check_gate)
        self.loop.attempt(self._end_lost)
        self.timer = self.loop.call_after(self._pause(), self._tick)

    def _pause(self):
        """Return the time to the next check, in seconds."""
        if not self.gate.waiting:
            return TICK_S
        delay = self.gate.rate_limit.delay(0, self.loop.clock())
        return min(TICK_WITH_QUEUE_S, max(MIN_TICK_S, delay or TICK_WITH_QUEUE_S))

    def _end_lost(self):
        """End requests that an unexpected error has left without a next step."""
        for work in self.works.overdue(self.loop.clock()):
            self._fail(work)
        for number in self.works.find_lost(self.gate):
            self._free_slot(number)

    def _check_gate(self):
        if self.gate.state == "open":
            self.monitor.check_silence()
            self._carry_out(self.gate.tick(self.loop.clock()))

"""The task that owns the connections to the upstream beside this node."""

from time import time

from cyclamentally.effects import Count, StateChanged
from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.gate_messages import (
    Heartbeat,
    RefuseWork,
    StartWork,
    Ticket,
    UpstreamEnded,
)
from cyclamentally.publication import Publication
from cyclamentally.routes import CallerLimits
from cyclamentally_calls.call_events import (
    DrainBegun,
    IdleAsked,
    IdleFound,
    NewerKnown,
    Offer,
    OfferWithdrawn,
    RoutesReplaced,
    ServiceChanged,
    StateAsked,
    StateFound,
    UpstreamChanged,
    UpstreamReported,
)
from cyclamentally_calls.client_connection import ConnectionPool, Sending
from cyclamentally_calls.http_codec import Answer, encode_request
from cyclamentally_calls.loop import Task
from cyclamentally_calls.origins import LocalOrigin, PeerOrigin
from cyclamentally_calls.outcomes import Answered
from cyclamentally_calls.pacer import Pacer
from cyclamentally_calls.peer_codec import (
    TICKET_HEADER,
    decode_ticket,
    encode_refusal,
)
from cyclamentally_calls.peer_state import STATE_TARGET
from cyclamentally_calls.server_connection import (
    RequestHandler,
    ServerConnection,
)
from cyclamentally_calls.stream import Listener
from cyclamentally_calls.upstream_codec import encode_work, judge_answer
from cyclamentally_calls.work import Work

MS = 1_000
# Longest idle time of a connection, in seconds, where the upstream states none;
# both deployments close them after 10 s.
IDLE_S = 8.0
# Longest time to connect, in seconds; the upstream is on the same host.
CONNECT_S = 0.5
# Longest time of the liveness check at the start, in seconds; a heartbeat tells
# the same later.
PROBE_S = 0.5
# Periods without a heartbeat after which the upstream counts as unreachable;
# single heartbeats may be lost or late.
MISSED_HEARTBEATS = 3.5
# Seconds between checks. While requests wait they are checked often, so that
# refusals come early.
BUSY_TICK_S = 0.05
CALM_TICK_S = 0.25
# Bounds of what other nodes send: heads carry a ticket besides the caller's.
PEER_LIMITS = CallerLimits(128 * 1024, 256 * 1024 * 1024, 5.0, 60.0)
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class GateTask(Task, RequestHandler):
    """Hand requests to the upstream beside this node as its gate decides.

    Parameters
    ----------
    loop : Loop
        Event loop.
    address : str
        ``IP:port`` for other nodes.
    gate : Gate
        Decisions.
    local_upstream : LocalUpstream
        The upstream.
    names : HeaderNames
        Headers shared with upstreams.
    store : Task
        Receiver of `UpstreamChanged`.
    counters : Counters
        Counts.
    log : DecisionLog
        Log.
    """

    __slots__ = (
        "by_exchange",
        "by_offer",
        "connections",
        "counters",
        "gate",
        "listener",
        "log",
        "loop",
        "names",
        "local_upstream",
        "number",
        "pacer",
        "pool",
        "publication",
        "store",
        "timer",
        "version",
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
        self.listener = Listener(loop, address, self._accept, log.listener_failed)
        self.pool = ConnectionPool(loop, IDLE_S, CONNECT_S, 0.0)
        self.pacer = Pacer(loop, gate.uplink)
        self.connections = set()
        self.works = {}
        self.by_exchange = {}
        self.by_offer = {}
        self.number = 0
        self.publication = Publication()
        self.version = 0
        self.timer = None

    def start(self):
        """Take requests of other nodes."""
        self.listener.start()
        self.timer = self.loop.call_after(CALM_TICK_S, self._tick)

    def close(self):
        """Close all sockets."""
        self.timer.cancel()
        self.listener.close()
        for connection in list(self.connections):
            connection.fire("ended")
        self.pacer.close()
        self.pool.close()

    def receive(self, message):
        """Handle the messages of the other tasks."""
        if isinstance(message, Offer):
            origin = LocalOrigin(self.loop, message.sender, message.number)
            work = self._admit(origin, message.ticket, message.request)
            if work is not None:
                self.by_offer[message.number] = work
        elif isinstance(message, OfferWithdrawn):
            self._withdraw(self.by_offer.pop(message.number, None))
        elif isinstance(message, UpstreamReported):
            self._hear(message.report)
        elif isinstance(message, RoutesReplaced):
            self._learn_routes(message.table)
        elif isinstance(message, StateFound):
            status = HTTP_OK if message.body else HTTP_UNAVAILABLE
            message.exchange.answer(Answer(status, [], message.body))
        elif isinstance(message, ServiceChanged):
            self.local_upstream.service = message.service
        elif isinstance(message, IdleAsked):
            unsent = any(c.has_unsent() for c in self.connections)
            self.loop.post(message.sender, IdleFound(not self.works and not unsent))
        elif isinstance(message, DrainBegun):
            self._carry_out(self.gate.stop())

    # Requests of other nodes.

    def on_request(self, exchange):
        """Admit a request of another node, or tell it what this one knows."""
        if exchange.request.target == STATE_TARGET:
            self.loop.post(self.store, StateAsked(self, exchange))
            return
        ticket = decode_ticket(exchange.request.find(TICKET_HEADER.lower()))
        if ticket is None:
            refusal = Refused(Kind.MESSAGE_MALFORMED, "no ticket")
            exchange.answer(self.refuse(exchange.request, refusal))
            return
        if ticket.version > self.version:
            self.loop.post(self.store, NewerKnown(ticket.sender, ticket.version))
        origin = PeerOrigin(exchange, self.names.request_id)
        work = self._admit(origin, ticket, exchange.request)
        if work is not None:
            self.by_exchange[exchange] = work

    def on_gone(self, exchange):
        """Stop the work of a sender that has left."""
        self._withdraw(self.by_exchange.pop(exchange, None))

    def on_closed(self, connection):
        """Forget a connection."""
        self.connections.discard(connection)

    def may_overtake(self, request):
        """Nodes do not send requests ahead."""
        return False

    def refuse(self, request, refusal):
        """Return the answer to a request that breaks the protocol."""
        self.counters.add("peer_requests_refused_total", refusal.kind)
        return Answer(refusal.answer.status, [encode_refusal(refusal)], b"")

    def _accept(self, accepted):
        connection = ServerConnection(
            self.loop, accepted, self, PEER_LIMITS, self.pacer
        )
        self.connections.add(connection)

    # The gate.

    def _admit(self, origin, peer_ticket, request):
        now = self.loop.clock()
        self.number += 1
        ticket = Ticket(
            self.number,
            peer_ticket.upstream,
            peer_ticket.service,
            peer_ticket.route,
            peer_ticket.priority,
            now + peer_ticket.target_s,
            now + peer_ticket.left_s,
            isinstance(origin, PeerOrigin),
        )
        work = Work(origin, request, ticket)
        self.works[ticket.number] = work
        self._carry_out(self.gate.admit(ticket, now))
        return work if ticket.number in self.works else None

    def _withdraw(self, work):
        if work is None or work.ticket.number not in self.works:
            return
        self._forget(work)
        self.gate.cancel(work.ticket.number)
        if work.sending is not None:
            work.sending.cancel()
        self.counters.add("works_cancelled_total")
        effects = self.gate.finish(work.ticket.number, False, self.loop.clock())
        self._carry_out(effects)

    def _learn_routes(self, table):
        self.version = table.version
        if not self.gate.has_routes:
            self.gate.on_routes_known()
            self._check_liveness(table.services.get(self.local_upstream.service))

    def _check_liveness(self, rule):
        """Ask the upstream who it is, once, rather than await its heartbeat.

        A node that was restarted is of use a heartbeat earlier. An upstream
        that is draining does not answer with a success.
        """
        if rule is None:
            return
        address = self.local_upstream.address
        path = rule.health_path.encode()
        headers = [(b"Host", address.encode())]
        data = encode_request(b"GET", path, headers, b"", False)
        sending = Sending(data, None, self._take_identity)
        self.counters.add("probes_total")
        self.pool.send(address, sending, self.loop.clock() + PROBE_S)

    def _take_identity(self, result):
        if not isinstance(result, Answered) or result.answer.status != HTTP_OK:
            detail = getattr(result, "detail", "not a success")
            self.log.write("liveness_check_failed", detail=detail)
            return
        name = result.answer.find(self.names.upstream_name.lower).decode("latin-1")
        load = result.answer.find(self.names.upstream_load.lower).split(b",")
        if not name or not load[-1].strip().isdigit():
            self.log.write("liveness_check_failed", detail="no identity or load")
            return
        slots = max(1, int(load[-1]))
        local = self.local_upstream
        found = Heartbeat(name, local.service, local.address, 0, 0, slots, False)
        self._carry_out(self.gate.on_liveness_check(found, self.loop.clock()))
        self._publish()

    def _hear(self, report):
        before = self.gate.heartbeat
        now = self.loop.clock()
        if isinstance(report, UpstreamEnded):
            wall_ms = int(time() * MS)
            self._carry_out(self.gate.on_upstream_ended(report.upstream, wall_ms, now))
        else:
            self._carry_out(self.gate.on_heartbeat(report, now))
        known = self.gate.heartbeat
        if before is not None and before.upstream != known.upstream:
            self.pool.close_idle(before.address)
        self._publish()

    def _publish(self):
        """Tell the other nodes what this upstream is, if that changed."""
        entry = self.publication.update(self.gate)
        if entry is not None:
            self.loop.post(self.store, UpstreamChanged(entry))

    def _carry_out(self, effects):
        for effect in effects:
            if isinstance(effect, StartWork):
                self._start_work(effect)
            elif isinstance(effect, RefuseWork):
                self._refuse_work(effect)
            elif isinstance(effect, Count):
                self.counters.take([effect])
            elif isinstance(effect, StateChanged):
                self.log.write("state", subject=effect.subject, state=effect.state)

    def _refuse_work(self, effect):
        work = self.works.get(effect.number)
        if work is not None:
            self.counters.add("gate_refusals_total", effect.refusal.kind)
            self._resolve(work, effect.refusal)

    def _start_work(self, effect):
        work = self.works[effect.number]
        left_s = work.ticket.expires - self.loop.clock()
        heartbeat = effect.heartbeat
        names = self.names
        request = work.request
        data = encode_work(request, heartbeat.upstream, left_s, names)
        request_id = request.find(names.request_id.lower)
        echo = (names.request_id.lower, request_id) if request_id else None
        work.sending = Sending(
            data,
            echo,
            lambda result: self._finish_work(work, result),
            request.method == b"HEAD",
        )
        self.pool.send(heartbeat.address, work.sending, work.ticket.expires)

    def _finish_work(self, work, result):
        outcome = judge_answer(result, self.names)
        if isinstance(outcome, Refused):
            if outcome.kind in (Kind.UPSTREAM_UNREACHABLE, Kind.UPSTREAM_LEFT):
                self._lose("unreachable")
            self.counters.add("upstream_failures_total", outcome.kind)
            self.log.write(
                "upstream_failure",
                id=work.request.find(self.names.request_id.lower).decode("latin-1"),
                upstream=work.ticket.upstream,
                kind=outcome.kind,
                detail=outcome.detail,
            )
        is_answered = isinstance(outcome, Done)
        if is_answered:
            size = len(outcome.value.body)
            self.gate.uplink.update_size(work.ticket.route, size)
        now = self.loop.clock()
        effects = self.gate.finish(work.ticket.number, is_answered, now)
        self._resolve(work, outcome)
        self._carry_out(effects)

    def _lose(self, event):
        self._carry_out(self.gate.on_upstream_lost(event))
        self._publish()

    def _resolve(self, work, outcome):
        self._forget(work)
        work.origin.resolve(outcome, self.gate.load(work.ticket.route))

    def _forget(self, work):
        self.works.pop(work.ticket.number, None)
        origin = work.origin
        if isinstance(origin, PeerOrigin):
            self.by_exchange.pop(origin.exchange, None)
        else:
            self.by_offer.pop(origin.number, None)

    def _tick(self):
        now = self.loop.clock()
        silence = now - self.gate.last_heartbeat_at
        if self.gate.state == "open":
            if silence > MISSED_HEARTBEATS * self.local_upstream.heartbeat_s:
                self._lose("silent")
            self._carry_out(self.gate.tick(now))
        pause = BUSY_TICK_S if self.gate.waiting else CALM_TICK_S
        self.timer = self.loop.call_after(pause, self._tick)

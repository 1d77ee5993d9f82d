"""The task that owns callers' connections and offers their requests to gates."""

from functools import partial

from cyclamentally.budgets import ServiceRetryBudget
from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.forwarding import (
    Forwarding,
    OfferResult,
    no_upstream,
    time_over,
)
from cyclamentally.placing import pause_for_refusal
from cyclamentally.routes import DEFAULT_LIMITS
from cyclamentally_calls.call_events import (
    CallersLeft,
    HostFailed,
    HostsReplaced,
    IdleAsked,
    IdleFound,
    Offer,
    OfferDone,
    OfferWithdrawn,
    RoutesReplaced,
    ServiceChanged,
)
from cyclamentally_calls.caller_codec import (
    allowed_time,
    find_rule,
    forwarded_headers,
    refusal_answer,
)
from cyclamentally_calls.calls import (
    Call,
    call_facts,
    count_answer,
    refusal_facts,
    request_id_of,
)
from cyclamentally_calls.client_connection import ConnectionPool, Sending
from cyclamentally_calls.http_codec import Answer, forwarded
from cyclamentally_calls.loop import Task
from cyclamentally_calls.offer_codec import (
    decode_offer_result,
    encode_offer,
    with_headers,
)
from cyclamentally_calls.outcomes import Answered
from cyclamentally_calls.peer_codec import (
    PEER_HEADERS,
    PeerTicket,
)
from cyclamentally_calls.server_connection import (
    RequestHandler,
    ServerConnection,
)
from cyclamentally_calls.stream import Listener

# Longest round trip between regions (17 ms) with one lost opening packet.
CONNECT_S = 0.25
# A host that acknowledges nothing for this long is cut off or has no power.
SILENCE_S = 0.8
# Half of the time after which nodes close idle connections of other nodes.
PEER_IDLE_S = 30.0
FAILURE_STATUS = 500


class OutboundTask(Task, RequestHandler):
    """Answer callers on this host by way of the gates of all hosts.

    Parameters
    ----------
    loop : Loop
        Event loop.
    address : str
        ``IP:port`` for callers.
    place : Place
        This host, whose own gate is reached by message.
    service : str
        Service beside this node, named to upstreams as the caller.
    names : HeaderNames
        Headers shared with callers and upstreams.
    upstreams : UpstreamViews
        Choice of upstreams.
    round_robin : WeightedRoundRobin
        Choice of services.
    budget_rule : BudgetRule
        Bound of repeats.
    counters : Counters
        Counts.
    log : DecisionLog
        Log.
    """

    __slots__ = (
        "budget_rule",
        "budgets",
        "by_exchange",
        "calls",
        "connections",
        "counters",
        "gate",
        "host",
        "hosts",
        "limits",
        "listener",
        "log",
        "loop",
        "names",
        "number",
        "peer_address",
        "upstreams",
        "pool",
        "service",
        "store",
        "table",
        "round_robin",
    )

    def __init__(
        self,
        loop,
        address,
        place,
        service,
        names,
        upstreams,
        round_robin,
        budget_rule,
        counters,
        log,
    ):
        self.loop = loop
        self.host = place.name
        self.peer_address = place.address
        self.service = service
        self.names = names
        self.upstreams = upstreams
        self.round_robin = round_robin
        self.budget_rule = budget_rule
        self.counters = counters
        self.log = log
        self.listener = Listener(loop, address, self._accept, log.listener_failed)
        self.pool = ConnectionPool(loop, PEER_IDLE_S, CONNECT_S, SILENCE_S)
        self.connections = set()
        self.limits = DEFAULT_LIMITS
        self.table = None
        self.hosts = {}
        self.budgets = {}
        self.calls = {}
        self.by_exchange = {}
        self.number = 0
        self.gate = None
        self.store = None

    def start(self):
        """Take requests of callers."""
        self.listener.start()

    def close(self):
        """Close all sockets."""
        self.listener.close()
        for connection in list(self.connections):
            connection.fire("ended")
        self.pool.close()

    def receive(self, message):
        """Handle the messages of the other tasks."""
        if isinstance(message, OfferDone):
            if call := self.calls.get(message.number):
                self._take_outcome(call, message.outcome, message.load)
        elif isinstance(message, HostsReplaced):
            self.hosts = message.by_service
            self.upstreams.update(e for group in self.hosts.values() for e in group)
        elif isinstance(message, RoutesReplaced):
            self._replace_routes(message.table)
        elif isinstance(message, ServiceChanged):
            self.service = message.service
        elif isinstance(message, CallersLeft):
            self.listener.close()
            for connection in list(self.connections):
                connection.drain()
        elif isinstance(message, IdleAsked):
            unsent = any(c.has_unsent() for c in self.connections)
            self.loop.post(message.sender, IdleFound(not self.calls and not unsent))

    # Requests of callers.

    def on_request(self, exchange):
        """Place a caller's request."""
        request = exchange.request
        if self.table is None:
            detail = "no configuration has been read yet"
            self._refuse(exchange, Refused(Kind.NOT_READY, detail, None))
            return
        rule = find_rule(self.table, request)
        if rule is None:
            self._refuse(exchange, Refused(Kind.NO_ROUTE, "no route"))
            return
        service = self.round_robin.choose(rule)
        expires = exchange.arrived + allowed_time(request, rule, self.names)
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = ServiceRetryBudget(self.budget_rule)
        budget.note_first_send(self.loop.clock())
        self.number += 1
        life = Forwarding(self.number, rule, service, exchange.arrived, expires, budget)
        call = Call(
            exchange, life, forwarded_headers(request, self.service, self.names)
        )
        self.calls[life.number] = call
        self.by_exchange[exchange] = call
        call.timer = self.loop.call_at(expires, lambda: self._time_out(call))
        self._place(call)

    def on_gone(self, exchange):
        """Give up a request whose caller has left."""
        call = self.by_exchange.get(exchange)
        if call is None:
            return
        call.life.fire("caller_gone")
        self.counters.add("calls_abandoned_total")
        self.log.success("caller_gone", **self._facts(call))
        self._withdraw(call)
        self._forget(call)

    def on_closed(self, connection):
        """Forget a connection."""
        self.connections.discard(connection)

    def may_overtake(self, request):
        """Return whether a request may run twice, and so need not wait."""
        if self.table is None:
            return True
        rule = find_rule(self.table, request)
        return rule is None or rule.kind.may_repeat

    def refuse(self, request, refusal):
        """Return the answer to a refused request, and count it."""
        self.counters.add("requests_refused_total", refusal.kind)
        return refusal_answer(request, refusal, self.names)

    def _accept(self, accepted):
        connection = ServerConnection(self.loop, accepted, self, self.limits)
        self.connections.add(connection)

    def _replace_routes(self, table):
        self.table = table
        self.round_robin.reset()
        self.limits = table.limits
        for connection in self.connections:
            connection.limits = self.limits

    def _place(self, call):
        """Offer a request to the upstream that should answer first."""
        life = call.life
        now = self.loop.clock()
        if now >= life.expires:
            self._finish(call, "time_over", time_over(life.service))
            return
        entries = self.hosts.get(life.service, ())
        view = self.upstreams.choose(entries, life.rule, life.tried, now)
        if view is None:
            refusal = life.refusal or no_upstream(life.service)
            self._finish(call, "no_place", refusal)
            return
        life.fire("offered", view)
        view.in_flight += 1
        view.sent_since_load += 1
        call.offered_at = now
        self._offer(call, view, now)

    def _offer(self, call, view, now):
        life = call.life
        request = call.exchange.request
        upstream = view.entry.upstream
        ticket = PeerTicket(
            upstream.name,
            upstream.service,
            life.rule.name,
            life.rule.priority,
            life.arrived + life.rule.target_s - now,
            life.expires - now,
            self.peer_address,
            self.table.version,
        )
        if view.entry.name == self.host:
            offered = with_headers(request, call.headers)
            self.loop.post(self.gate, Offer(life.number, self, ticket, offered))
            return
        data = encode_offer(with_headers(request, call.headers), ticket)
        name = self.names.request_id.lower
        echo = (name, request.find(name)) if request.find(name) else None
        on_outcome = partial(self._take_peer_result, call)
        call.sending = Sending(data, echo, on_outcome, request.method == b"HEAD")
        self.pool.send(view.entry.address, call.sending, life.expires)

    def _take_peer_result(self, call, result):
        """Take in what another node's gate has answered, if it has."""
        call.sending = None
        if not isinstance(result, Answered):
            self._suspect_host(call.life.view)
        outcome, load = decode_offer_result(result)
        self._take_outcome(call, outcome, load)

    def _suspect_host(self, view):
        """Leave out a host that has not answered, and forget it if it is unlisted."""
        view.fail(self.loop.clock())
        self.loop.post(self.store, HostFailed(view.entry.name))

    def _take_outcome(self, call, outcome, load):
        life = call.life
        view = life.view
        now = self.loop.clock()
        view.in_flight -= 1
        if load is not None:
            view.update_load(load, life.rule.name, now)
        nodes = len(self.upstreams.views)
        if isinstance(outcome, Done):
            view.succeed()
            answer = outcome.value
            is_failure = answer.status >= FAILURE_STATUS
            event = "failure_answer" if is_failure else "answer"
            effects = life.fire(event, OfferResult(answer, None, now, nodes))
        else:
            pause_for_refusal(view, outcome, now)
            effects = life.fail(OfferResult(None, outcome, now, nodes))
        self.counters.take(effects)
        self._go_on(call)

    def _go_on(self, call):
        """Do what the state of the request asks for."""
        life = call.life
        if life.state == "placing":
            self._place(call)
        elif life.state == "answered":
            self._answer(call, life.answer)
        elif life.state == "refused":
            refusal = life.final_refusal()
            known = len(self.hosts.get(life.service, ()))
            self.log.write(
                "refused", **self._facts(call), **refusal_facts(refusal, known)
            )
            self._answer(call, self.refuse(call.exchange.request, refusal))

    def _finish(self, call, event, refusal):
        nodes = len(self.upstreams.views)
        call.life.fire(event, OfferResult(None, refusal, self.loop.clock(), nodes))
        self._go_on(call)

    def _time_out(self, call):
        """Answer a request whose time is over."""
        life = call.life
        refusal = time_over(life.service)
        if life.state == "offered":
            detail = f"{life.view.entry.upstream.name}: no answer in time"
            refusal = Refused(Kind.UPSTREAM_TIMEOUT, detail)
            self._withdraw(call)
            if life.view.is_silent_since(call.offered_at):
                self._suspect_host(life.view)
        self._finish(call, "time_over", refusal)

    def _answer(self, call, answer):
        headers = forwarded(answer.headers, PEER_HEADERS)
        self._forget(call)
        count_answer(self.counters, call, answer.status, self.loop.clock())
        self.log.success("answered", status=answer.status, **self._facts(call))
        length = answer.length
        call.exchange.answer(Answer(answer.status, headers, answer.body, length=length))

    def _refuse(self, exchange, refusal):
        self.log.write(
            "refused",
            id=request_id_of(exchange.request, self.names),
            kind=refusal.kind,
            detail=refusal.detail,
            version=self.table.version if self.table else None,
        )
        exchange.answer(self.refuse(exchange.request, refusal))

    def _facts(self, call):
        """Return what every line on a request says."""
        now = self.loop.clock()
        return call_facts(call, self.table.version, now, self.names)

    def _withdraw(self, call):
        """Stop what is out for a request."""
        life = call.life
        if life.view is not None:
            life.view.in_flight -= 1
        if call.sending is not None:
            call.sending.cancel()
            call.sending = None
        else:
            self.loop.post(self.gate, OfferWithdrawn(life.number))

    def _forget(self, call):
        call.timer.cancel()
        self.calls.pop(call.life.number, None)
        self.by_exchange.pop(call.exchange, None)

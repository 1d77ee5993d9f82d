"""The task that owns callers' connections and forwards their requests to gates."""

from functools import partial

from cyclamentally.errors import Done, Kind, Refused, failed_internally
from cyclamentally.forwarding import OfferResult, no_upstream, time_over
from cyclamentally.intake import Intake
from cyclamentally.placing import pause_for_refusal
from cyclamentally.routes import DEFAULT_LIMITS
from cyclamentally.shutdown import node_stopping, not_finished
from cyclamentally_calls.accepted_connections import AcceptedConnections
from cyclamentally_calls.call_events import (
    CallNotRetried,
    DrainConnections,
    EndRequests,
    HostsReplaced,
    IdleQuery,
    IdleReply,
    OfferDone,
    RepeatedRunChanged,
    RetireConnections,
    RoutesReplaced,
    ServiceChanged,
    ShutdownStarted,
)
from cyclamentally_calls.caller_codec import (
    find_rule,
    forwarded_headers,
    refusal_response,
    retry_after_s,
    time_left_of,
)
from cyclamentally_calls.calls import (
    Call,
    call_fields,
    count_response,
    refusal_fields,
    request_id_of,
)
from cyclamentally_calls.exchange import RequestHandler
from cyclamentally_calls.http_codec import Response, end_to_end_headers
from cyclamentally_calls.loop import Task
from cyclamentally_calls.offers import OfferSender
from cyclamentally_calls.peer_codec import PEER_HEADERS, is_final
from cyclamentally_calls.upstream_codec import says_leaving

FIRST_SERVER_ERROR = 500


class OutboundTask(Task, RequestHandler):
    """Accept requests of callers on this host and offer them to gates of all hosts.

    Parameters
    ----------
    loop : Loop
        Event loop.
    address : str
        ``IP:port`` to listen on for callers.
    place : Place
        This host; its own gate is reached by message.
    service : str
        Service on this host, sent to upstreams as the calling service.
    names : HeaderNames
        Headers shared with callers and upstreams.
    upstreams : UpstreamViews
        Load balancing over upstreams.
    round_robin : WeightedRoundRobin
        Choice among the services of a route.
    budget_rule : RetryBudgetRule
        Retry budget of each service.
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    """

    __slots__ = (
        "by_exchange",
        "calls",
        "connections",
        "counters",
        "hosts",
        "intake",
        "log",
        "loop",
        "names",
        "offers",
        "upstreams",
        "service",
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
        self.service = service
        self.names = names
        self.upstreams = upstreams
        self.round_robin = round_robin
        self.intake = Intake(budget_rule)
        self.counters = counters
        self.log = log
        self.connections = AcceptedConnections(
            loop, address, self, DEFAULT_LIMITS, counters, log
        )
        self.offers = OfferSender(loop, place, names, self)
        self.table = None
        self.hosts = {}
        self.calls = {}
        self.by_exchange = {}

    def start(self):
        """Start to listen for callers."""
        self.connections.start()

    def close(self):
        """Close all sockets."""
        self.connections.close()
        self.offers.close()

    def receive(self, message):
        """Handle a message from another task."""
        if isinstance(message, OfferDone):
            if call := self.calls.get(message.number):
                self._run(call, self._handle_outcome, message.outcome, message.load)
        elif isinstance(message, HostsReplaced):
            self.hosts = message.by_service
            self.upstreams.update(e for group in self.hosts.values() for e in group)
        elif isinstance(message, RoutesReplaced):
            self._replace_routes(message.table)
        elif isinstance(message, RepeatedRunChanged):
            self.intake.repeated_runs.update(message.request_id, message.is_running)
        elif isinstance(message, ServiceChanged):
            self.service = message.service
        elif isinstance(message, ShutdownStarted):
            late_requests = self.intake.late_requests
            late_requests.start_shutdown(message.accept_until, message.finish_by)
        elif isinstance(message, RetireConnections):
            self.connections.fire("retire")
            self.intake.returns.start_waiting()
        elif isinstance(message, EndRequests):
            self._end_calls()
        elif isinstance(message, DrainConnections):
            self.connections.fire("drain")
        elif isinstance(message, IdleQuery):
            self.loop.post(message.sender, IdleReply(self._is_idle()))

    # Requests from callers.

    def on_request(self, exchange):
        """Start to forward a caller's request."""
        request = exchange.request
        if self.table is None:
            detail = "no configuration has been read yet"
            self._refuse(exchange, Refused(Kind.NOT_READY, detail, None))
            return
        rule = find_rule(self.table, request)
        if rule is None:
            self._refuse(exchange, Refused(Kind.NO_ROUTE, "no matching route"))
            return
        forwarding = self.intake.start(
            rule,
            self.round_robin.choose(rule),
            request_id_of(request, self.names),
            time_left_of(request, self.names),
            exchange.arrived,
        )
        call = Call(
            exchange, forwarding, forwarded_headers(request, self.service, self.names)
        )
        time_out = partial(self._run, call, self._time_out)
        call.timer = self.loop.call_at(forwarding.expires, time_out)
        self.calls[forwarding.number] = call
        self.by_exchange[exchange] = call
        self._run(call, self._dispatch)

    def on_disconnect(self, exchange):
        """Cancel a request whose caller has disconnected."""
        if call := self.by_exchange.get(exchange):
            self._run(call, self._abandon)

    def on_closed(self, connection):
        """Remove a closed connection."""
        self.connections.remove(connection)

    def may_run_concurrently(self, request):
        """Return whether a request may run twice, or is refused without running."""
        if self.table is None:
            return True
        rule = find_rule(self.table, request)
        return rule is None or rule.kind.may_repeat

    def request_id(self, request):
        """Return the ID of a request for the log; empty if it has none."""
        return request_id_of(request, self.names) if request is not None else ""

    def refuse(self, request, refusal):
        """Count a refused request and return its response."""
        self.counters.add("requests_refused_total", refusal.kind)
        wait = retry_after_s(refusal)
        if wait is not None:
            self.intake.returns.note(wait, self.loop.clock())
        return refusal_response(request, refusal, self.names)

    def _replace_routes(self, table):
        self.table = table
        self.round_robin.reset()
        self.connections.replace_limits(table.limits)

    # Steps of a request.

    def _run(self, call, step, *arguments):
        """Run a step of a request, which ends if the step fails."""
        if call.forwarding.number not in self.calls:
            return
        try:
            step(call, *arguments)
        except Exception as error:
            self.loop.report(error, id=self.request_id(call.exchange.request))
            self._fail(call)

    def _fail(self, call):
        """End a request after an unexpected error, whatever state it is in.

        Each action may fail, as the step before has, without the following ones.
        """
        refusal = failed_internally(is_passed_on=call.forwarding.offers > 0)
        self.loop.attempt(self.offers.withdraw, call)
        self.loop.attempt(self.offers.uncount, call)
        self.loop.attempt(self._remove, call)
        if call.exchange.response is None:
            self.loop.attempt(self._finish, call, "failed_internally", refusal)
        call.exchange.fail(refusal.kind)

    def _abandon(self, call):
        """Cancel a request whose caller has disconnected."""
        call.forwarding.fire("caller_gone")
        self.counters.add("calls_abandoned_total")
        self.log.success("caller_gone", **self._log_fields(call))
        self.offers.withdraw(call)
        self._remove(call)

    def _dispatch(self, call):
        """Offer a request to the upstream that load balancing chooses."""
        forwarding = call.forwarding
        now = self.loop.clock()
        if now >= forwarding.expires:
            self._finish(call, "time_over", time_over(forwarding.service))
            return
        if not self.intake.late_requests.may_start(now, forwarding.expires):
            self._finish(call, "no_place", node_stopping())
            return
        entries = self.hosts.get(forwarding.service, ())
        view = self.upstreams.choose(entries, forwarding.rule, forwarding.tried, now)
        if view is None:
            refusal = forwarding.refusal or no_upstream(forwarding.service)
            self._finish(call, "no_place", refusal)
            return
        forwarding.fire("offered", view)
        on_result = partial(self._run, call, self._handle_result)
        self.offers.send(call, self.table.version, now, on_result)

    def _handle_result(self, call, result):
        """Handle the response of another node's gate, or its failure."""
        outcome, load = self.offers.take_result(call, result)
        self._handle_outcome(call, outcome, load)

    def _handle_outcome(self, call, outcome, load):
        forwarding = call.forwarding
        view = forwarding.view
        now = self.loop.clock()
        self.offers.uncount(call)
        if load is not None:
            is_answered = isinstance(outcome, Done)
            view.update_load(load, forwarding.rule.name, now, is_answered)
        nodes = len(self.upstreams.views)
        if isinstance(outcome, Done):
            view.succeed()
            response = outcome.value
            if says_leaving(response, self.names):
                view.note_leaving(now)
            is_failure = response.status >= FIRST_SERVER_ERROR
            event = "failure_answer" if is_failure else "answer"
            result = OfferResult(response, None, now, nodes, is_final(response))
            effects = forwarding.fire(event, result)
        else:
            pause_for_refusal(view, outcome, now)
            effects = forwarding.fail(OfferResult(None, outcome, now, nodes))
        self.counters.add_effects(effects)
        self._advance(call)

    def _advance(self, call):
        """Take the next step that the state of a request requires."""
        forwarding = call.forwarding
        if forwarding.state == "placing":
            self._dispatch(call)
        elif forwarding.state == "answered":
            self._respond(call, forwarding.answer)
        elif forwarding.state == "refused":
            refusal = forwarding.final_refusal()
            known = len(self.hosts.get(forwarding.service, ()))
            self.log.write(
                "refused", **self._log_fields(call), **refusal_fields(refusal, known)
            )
            self._respond(call, self.refuse(call.exchange.request, refusal))

    def _finish(self, call, event, refusal):
        nodes = len(self.upstreams.views)
        result = OfferResult(None, refusal, self.loop.clock(), nodes)
        call.forwarding.fire(event, result)
        self._advance(call)

    def _time_out(self, call):
        """Refuse a request whose deadline has passed."""
        forwarding = call.forwarding
        refusal = time_over(forwarding.service)
        if forwarding.state == "offered":
            detail = f"{forwarding.view.entry.upstream.name}: deadline exceeded"
            refusal = Refused(Kind.UPSTREAM_TIMEOUT, detail)
            self.offers.withdraw(call)
            if forwarding.view.is_silent_since(call.offered_at):
                self.offers.suspect_host(forwarding.view)
        self._finish(call, "time_over", refusal)
        if call.exchange.response is None:
            self._fail(call)

    def _is_idle(self):
        if self.calls or not self.connections.is_idle():
            return False
        is_draining = self.connections.state == "draining"
        return is_draining or not self.intake.returns.are_due(self.loop.clock())

    def _end_calls(self):
        """Answer the requests that upstreams have not answered in a shutdown."""
        for call in list(self.calls.values()):
            self._run(call, self._end_call)
        self.connections.refuse_unread(node_stopping())

    def _end_call(self, call):
        self.offers.withdraw(call)
        self._finish(call, "time_over", not_finished())

    def _respond(self, call, response):
        headers = end_to_end_headers(response.headers, PEER_HEADERS)
        self._remove(call)
        body, length = response.body, response.length
        call.exchange.respond(Response(response.status, headers, body, length=length))
        count_response(self.counters, call, response.status, self.loop.clock())
        self.log.success("answered", status=response.status, **self._log_fields(call))

    def _refuse(self, exchange, refusal):
        self.log.write(
            "refused",
            id=request_id_of(exchange.request, self.names),
            kind=refusal.kind,
            detail=refusal.detail,
            version=self.table.version if self.table else None,
        )
        exchange.respond(self.refuse(exchange.request, refusal))

    def _log_fields(self, call):
        """Return the fields common to all log lines of a request."""
        now = self.loop.clock()
        return call_fields(call, self.table.version, now, self.names)

    def _remove(self, call):
        call.timer.cancel()
        self.calls.pop(call.forwarding.number, None)
        self.by_exchange.pop(call.exchange, None)
        if call.forwarding.lacked_budget:
            call_id = request_id_of(call.exchange.request, self.names)
            self.loop.post(self.offers.gate, CallNotRetried(call_id))

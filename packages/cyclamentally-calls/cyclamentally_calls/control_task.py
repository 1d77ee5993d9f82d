"""The task that serves readiness checks, metrics and heartbeats."""

from abc import ABC, abstractmethod
from functools import partial

from cyclamentally.errors import Kind, Refused
from cyclamentally.gate_messages import Heartbeat, UpstreamEnded
from cyclamentally.readiness import Readiness
from cyclamentally.records import Record
from cyclamentally.routes import CallerLimits
from cyclamentally.shutdown import node_stopping
from cyclamentally_calls.call_events import (
    HostsReplaced,
    IdleQuery,
    IdleReply,
    RoutesReplaced,
    ServiceChanged,
    ShutdownStarted,
)
from cyclamentally_calls.exchange import RequestHandler
from cyclamentally_calls.http_codec import Response
from cyclamentally_calls.loop import Task
from cyclamentally_calls.report_events import (
    ReportReceipt,
    ReportStored,
    UpstreamReported,
)
from cyclamentally_calls.server_connection import ServerConnection
from cyclamentally_calls.stream import Listener

READINESS_EVENTS = {
    RoutesReplaced: "routes_known",
    HostsReplaced: "hosts_known",
    ShutdownStarted: "stop",
}
# Heartbeats have about 300 bytes; their senders reuse connections.
REQUEST_LIMITS = CallerLimits(16 * 1024, 64 * 1024, 5.0, 60.0)
HTTP_OK = 200
HTTP_UNAVAILABLE = 503
# Upstreams wait a second for the confirmation of their departure.
STORING_TIMEOUT_S = 0.8


class ReadinessRequest(Record):
    """A readiness check of the platform."""

    __slots__ = ()


class MetricsRequest(Record):
    """A request for the metrics."""

    __slots__ = ()


class InvalidHeartbeat(Record):
    """A heartbeat without a usable upstream; it is acknowledged and ignored.

    Parameters
    ----------
    detail : str
        What is wrong with it.
    """

    __slots__ = ("detail",)

    def __init__(self, detail):
        self.detail = detail


class ControlDialect(ABC):
    """Decoding of requests from the platform and the upstream."""

    __slots__ = ()

    @abstractmethod
    def decode(self, request):
        """Return the decoded request, or ``Refused``.

        One of `ReadinessRequest`, `MetricsRequest`, `Heartbeat`, `UpstreamEnded`,
        `InvalidHeartbeat`.
        """

    @abstractmethod
    def acknowledgement(self):
        """Return the body that acknowledges a heartbeat."""


class ControlTask(Task, RequestHandler):
    """Serve readiness checks, metrics and heartbeats.

    Parameters
    ----------
    loop : Loop
        Event loop.
    addresses : list of str
        Each ``IP:port`` to listen on.
    dialect : ControlDialect
        Decoding of requests.
    gate : GateTask
        Receiver of `UpstreamReported`.
    local_service : str
        Service on this host by the settings.
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    """

    __slots__ = (
        "connections",
        "counters",
        "dialect",
        "gate",
        "listeners",
        "local_service",
        "log",
        "loop",
        "readiness",
        "services",
        "unstored",
    )

    def __init__(self, loop, addresses, dialect, gate, local_service, counters, log):
        self.loop = loop
        self.dialect = dialect
        self.gate = gate
        self.local_service = local_service
        # Names of the services in the configuration; None until it is known.
        self.services = None
        self.counters = counters
        self.log = log
        self.listeners = [
            Listener(loop, a, self._accept, log.listener_failed) for a in addresses
        ]
        self.connections = set()
        self.readiness = Readiness()
        # Timers of the departures that are not confirmed yet, by their exchange.
        self.unstored = {}

    def start(self):
        """Start to listen on all addresses."""
        for listener in self.listeners:
            listener.start()

    def close(self):
        """Close all sockets."""
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.fire("ended")

    def receive(self, message):
        """Update readiness and services from a message of another task."""
        if isinstance(message, RoutesReplaced):
            self.services = message.table.services.keys()
        elif isinstance(message, ServiceChanged):
            self.local_service = message.service
        elif isinstance(message, ReportStored):
            self._confirm(message.exchange)
        elif isinstance(message, IdleQuery):
            self.loop.post(message.sender, IdleReply(not self.unstored))
        event = READINESS_EVENTS.get(type(message))
        if event is not None:
            self.readiness.fire(event)

    def on_request(self, exchange):
        """Respond to a request."""
        meaning = self.dialect.decode(exchange.request)
        if isinstance(meaning, Refused):
            exchange.respond(self.refuse(exchange.request, meaning))
        elif isinstance(meaning, ReadinessRequest):
            exchange.respond(self._readiness())
        elif isinstance(meaning, MetricsRequest):
            headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
            exchange.respond(Response(HTTP_OK, headers, self.counters.render()))
        else:
            self._handle_report(meaning, exchange)

    def on_disconnect(self, exchange):
        """Forget the report of an upstream that no longer waits for an answer."""
        self._forget(exchange)

    def on_closed(self, connection):
        """Remove a closed connection."""
        self.connections.discard(connection)

    def may_run_concurrently(self, request):
        """Return False: requests are answered in order."""
        return False

    def refuse(self, request, refusal):
        """Return the response to a request that cannot be decoded."""
        self.counters.add("control_refused_total", refusal.kind)
        body = f"{refusal.kind}: {refusal.detail}\n".encode()
        return Response(refusal.answer.status, [], body)

    def _accept(self, accepted):
        connection = ServerConnection(self.loop, accepted, self, REQUEST_LIMITS)
        self.connections.add(connection)

    def _readiness(self):
        status = HTTP_OK if self.readiness.is_ready else HTTP_UNAVAILABLE
        return Response(status, [], b"")

    def _is_named(self, service):
        """Whether the configuration, if known, or the settings name a service."""
        is_configured = self.services is None or service in self.services
        return is_configured or service == self.local_service

    def _handle_report(self, report, exchange):
        """Pass a report on, and confirm it; a departure only once it is stored.

        A process that restarts reads departures in the store.
        """
        if isinstance(report, Heartbeat) and not self._is_named(report.service):
            report = InvalidHeartbeat(f"no service {report.service!r:.40}")
        if isinstance(report, InvalidHeartbeat):
            self.counters.add("heartbeats_ignored_total", Kind.MESSAGE_MALFORMED)
            self.log.write("heartbeat_ignored", detail=report.detail)
        elif _is_departure(report):
            time_out = partial(self._time_out, exchange)
            timer = self.loop.call_after(STORING_TIMEOUT_S, time_out)
            self.unstored[exchange] = timer
            receipt = ReportReceipt(self, exchange)
            self.loop.post(self.gate, UpstreamReported(report, receipt))
            return
        else:
            self.loop.post(self.gate, UpstreamReported(report))
        self._acknowledge(exchange)

    def _acknowledge(self, exchange):
        headers = [(b"Content-Type", b"application/json")]
        body = self.dialect.acknowledgement()
        exchange.respond(Response(HTTP_OK, headers, body))

    def _confirm(self, exchange):
        if self._forget(exchange):
            self._acknowledge(exchange)

    def _time_out(self, exchange):
        """Answer a departure that could not be stored in time.

        A process that goes on serving knows it, and stores it later. One that stops
        does not confirm what the next process may not know.
        """
        self._forget(exchange)
        self.counters.add("departures_unstored_total", self.readiness.state)
        self.log.write(
            "departure_unstored",
            target=exchange.request.target.decode(errors="replace"),
        )
        if self.readiness.is_leaving:
            exchange.respond(self.refuse(exchange.request, node_stopping()))
        else:
            self._acknowledge(exchange)

    def _forget(self, exchange):
        """Stop waiting for a departure to be stored; returns whether it was pending."""
        timer = self.unstored.pop(exchange, None)
        if timer is None:
            return False
        timer.cancel()
        return True


def _is_departure(report):
    """Whether a report says that an upstream leaves or has left."""
    return isinstance(report, UpstreamEnded) or report.is_leaving

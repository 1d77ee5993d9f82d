"""The task that serves readiness checks, metrics and heartbeats."""

from abc import ABC, abstractmethod

from cyclamentally.errors import Kind, Refused
from cyclamentally.gate_messages import Heartbeat
from cyclamentally.readiness import Readiness
from cyclamentally.records import Record
from cyclamentally.routes import CallerLimits
from cyclamentally_calls.call_events import (
    HostsReplaced,
    RoutesReplaced,
    ServiceChanged,
    ShutdownStarted,
    UpstreamReported,
)
from cyclamentally_calls.exchange import RequestHandler
from cyclamentally_calls.http_codec import Response
from cyclamentally_calls.loop import Task
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
            self._forward_report(meaning)
            headers = [(b"Content-Type", b"application/json")]
            body = self.dialect.acknowledgement()
            exchange.respond(Response(HTTP_OK, headers, body))

    def on_disconnect(self, exchange):
        """Do nothing: no request is pending, since all are answered immediately."""

    def on_closed(self, connection):
        """Remove a closed connection."""
        self.connections.discard(connection)

    def may_run_concurrently(self, request):
        """Return False: requests are answered immediately and in order."""
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

    def _forward_report(self, report):
        if isinstance(report, Heartbeat) and not self._is_named(report.service):
            report = InvalidHeartbeat(f"no service {report.service!r:.40}")
        if isinstance(report, InvalidHeartbeat):
            self.counters.add("heartbeats_ignored_total", Kind.MESSAGE_MALFORMED)
            self.log.write("heartbeat_ignored", detail=report.detail)
            return
        self.loop.post(self.gate, UpstreamReported(report))

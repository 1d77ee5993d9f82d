"""The task that answers the platform and the upstream beside this node."""

from abc import ABC, abstractmethod

from cyclamentally.errors import Kind, Refused
from cyclamentally.records import Record
from cyclamentally.routes import CallerLimits
from cyclamentally_calls.call_events import (
    DrainBegun,
    Heard,
    HostsReplaced,
    RoutesReplaced,
)
from cyclamentally_calls.http_codec import Answer
from cyclamentally_calls.loop import Task
from cyclamentally_calls.server_connection import (
    RequestHandler,
    ServerConnection,
)
from cyclamentally_calls.stream import Listener

LIMITS = CallerLimits(16 * 1024, 64 * 1024, 5.0, 60.0)
HTTP_OK = 200
HTTP_UNAVAILABLE = 503


class ReadinessAsked(Record):
    """The platform asks whether callers may come."""

    __slots__ = ()


class MetricsAsked(Record):
    """An operator asks for the metrics."""

    __slots__ = ()


class NothingUsable(Record):
    """A heartbeat that names no upstream to use; it is only acknowledged."""

    __slots__ = ()


class ControlDialect(ABC):
    """How the platform and the upstream speak to a node."""

    __slots__ = ()

    @abstractmethod
    def decode(self, request):
        """Return what a request says, or ``Refused``.

        One of `ReadinessAsked`, `MetricsAsked`, `Heartbeat`, `UpstreamEnded`,
        `NothingUsable`.
        """

    @abstractmethod
    def acknowledgement(self):
        """Return the body that acknowledges a heartbeat."""


class ControlTask(Task, RequestHandler):
    """Answer readiness checks, heartbeats and questions for metrics.

    Parameters
    ----------
    loop : Loop
        Event loop.
    addresses : list of str
        Each ``IP:port`` to listen on.
    dialect : ControlDialect
        Decoding of requests.
    gate : GateTask
        Receiver of `Heard`; owner of the gate whose lifetimes are continued.
    counters : Counters
        Counts.
    log : DecisionLog
        Log.
    """

    __slots__ = (
        "connections",
        "counters",
        "dialect",
        "gate",
        "has_hosts",
        "has_routes",
        "is_stopping",
        "listeners",
        "log",
        "loop",
    )

    def __init__(self, loop, addresses, dialect, gate, counters, log):
        self.loop = loop
        self.dialect = dialect
        self.gate = gate
        self.counters = counters
        self.log = log
        self.listeners = [
            Listener(loop, a, self._accept, log.listener_failed) for a in addresses
        ]
        self.connections = set()
        self.has_routes = False
        self.has_hosts = False
        self.is_stopping = False

    def start(self):
        """Listen."""
        for listener in self.listeners:
            listener.start()

    def close(self):
        """Close all sockets."""
        for listener in self.listeners:
            listener.close()
        for connection in list(self.connections):
            connection.fire("ended")

    def receive(self, message):
        """Note what readiness depends on."""
        if isinstance(message, RoutesReplaced):
            self.has_routes = True
        elif isinstance(message, HostsReplaced):
            self.has_hosts = True
        elif isinstance(message, DrainBegun):
            self.is_stopping = True

    def on_request(self, exchange):
        """Answer a request."""
        said = self.dialect.decode(exchange.request)
        if isinstance(said, Refused):
            exchange.answer(self.refuse(exchange.request, said))
        elif isinstance(said, ReadinessAsked):
            exchange.answer(self._readiness())
        elif isinstance(said, MetricsAsked):
            headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
            exchange.answer(Answer(HTTP_OK, headers, self.counters.render()))
        else:
            self._hear(said)
            headers = [(b"Content-Type", b"application/json")]
            body = self.dialect.acknowledgement()
            exchange.answer(Answer(HTTP_OK, headers, body))

    def on_gone(self, exchange):
        """Ignore: every request is answered at once."""

    def on_closed(self, connection):
        """Forget a connection."""
        self.connections.discard(connection)

    def may_overtake(self, request):
        """Every request is answered at once."""
        return False

    def refuse(self, request, refusal):
        """Return the answer to a request that is not understood."""
        self.counters.add("control_refused_total", refusal.kind)
        body = f"{refusal.kind}: {refusal.detail}\n".encode()
        return Answer(refusal.answer.status, [], body)

    def _accept(self, accepted):
        connection = ServerConnection(self.loop, accepted, self, LIMITS)
        self.connections.add(connection)

    def _readiness(self):
        is_ready = self.has_routes and self.has_hosts and not self.is_stopping
        return Answer(HTTP_OK if is_ready else HTTP_UNAVAILABLE, [], b"")

    def _hear(self, said):
        if isinstance(said, NothingUsable):
            self.counters.add("heartbeats_ignored_total", Kind.MESSAGE_MALFORMED)
            return
        self.loop.post(self.gate, Heard(said))

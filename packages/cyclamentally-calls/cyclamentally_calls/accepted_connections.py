"""The listener of a task and the connections that it has accepted."""

from cyclamentally.chart import runs_chart
from cyclamentally_calls.calls import request_id_of
from cyclamentally_calls.server_connection import ServerConnection
from cyclamentally_calls.stream import Listener

# A client that has just connected, or received a response, may be sending a request;
# longer than a round trip between regions.
QUIET_S = 0.1


@runs_chart("accepted_connections", "cyclamentally_calls.charts")
class AcceptedConnections:
    """Owns the listener and the connections of a task; runs ``accepted_connections``.

    Parameters
    ----------
    loop : Loop
        Event loop.
    address : str
        ``IP:port`` to listen on.
    handler : RequestHandler
        Task that handles the requests.
    limits : CallerLimits
        Limits for the clients.
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    pacer : Pacer, optional
        Paces the responses.
    """

    __slots__ = (
        "counters",
        "handler",
        "limits",
        "listener",
        "log",
        "loop",
        "opened",
        "pacer",
        "state",
    )

    def __init__(self, loop, address, handler, limits, counters, log, pacer=None):
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.counters = counters
        self.log = log
        self.pacer = pacer
        self.opened = set()
        self.state = self.chart.initial
        self.listener = Listener(loop, address, self._accept, log.listener_failed)

    def start(self):
        """Start to listen."""
        self.listener.start()

    def close(self):
        """Close all sockets; requests without a response are logged."""
        self.listener.close()
        self.loop.attempt(self._log_unfinished)
        for connection in list(self.opened):
            connection.fire("ended")

    def replace_limits(self, limits):
        """Apply other limits to present and later connections."""
        self.limits = limits
        for connection in self.opened:
            connection.limits = limits

    def fire(self, event):
        """Fire an event of the state chart."""
        self.chart.fire(self, event)

    def retire_all(self, message):
        """Close each connection with its next response."""
        for connection in list(self.opened):
            self.loop.attempt(connection.fire, "retire")

    def stop_listening(self, message):
        """Accept no more connections than those that are established already."""
        self.loop.attempt(self.listener.close)

    def drain_all(self, message):
        """Answer what each connection has sent already, then close it.

        Those that have just been in use are given the time to send a request.
        """
        since = self.loop.clock() - QUIET_S
        for connection in list(self.opened):
            if not connection.is_in_use(since):
                self.loop.attempt(connection.drain)
        self.loop.call_after(QUIET_S, self._drain_rest)

    def refuse_unread(self, refusal):
        """Refuse the requests that are being read."""
        for connection in list(self.opened):
            self.loop.attempt(connection.refuse_unread, refusal)

    def is_idle(self):
        """Whether nothing is or will soon be read or sent; if draining, all closed."""
        if self.state == "draining":
            return not self.opened
        since = self.loop.clock() - QUIET_S
        return not any(c.is_pending() or c.is_in_use(since) for c in self.opened)

    def remove(self, connection):
        """Remove a closed connection."""
        self.opened.discard(connection)

    def _accept(self, accepted):
        connection = ServerConnection(
            self.loop, accepted, self.handler, self.limits, self.pacer
        )
        self.opened.add(connection)
        if self.state == "retiring":
            self.loop.attempt(connection.fire, "retire")

    def _drain_rest(self):
        for connection in list(self.opened):
            self.loop.attempt(connection.drain)

    def _log_unfinished(self):
        """Log what ends with the connections, for the trace of a planned stop."""
        cut = [e for c in self.opened for e in c.exchanges if e.is_unanswered()]
        for exchange in cut:
            self.counters.add("requests_cut_total", self.listener.address)
            request_id = request_id_of(exchange.request, self.handler.names)
            self.log.write("request_cut", id=request_id)
        unread = [c for c in self.opened if c.stream.has_input()]
        self.log.write(
            "connections_closed",
            address=self.listener.address,
            open=len(self.opened),
            cut=len(cut),
            reading=sum(c.parser.in_message for c in self.opened),
            unread=len(unread),
            unsent=sum(c.stream.has_unsent() for c in self.opened),
            lingering=sum(c.state == "lingering" for c in self.opened),
        )

"""The server's side of a connection: requests in, answers out in their order."""

from abc import ABC, abstractmethod
from collections import deque

from cyclamentally.chart import runs_chart
from cyclamentally.errors import Kind, Refused
from cyclamentally_calls.http_codec import CONTINUE, RequestParser, encode_answer
from cyclamentally_calls.stream import Stream, StreamOwner

# Callers that pipeline send a handful; those behind wait their turn.
MAX_PIPELINED = 16
# Beyond this the connection is ended; bounds its memory.
MAX_QUEUED = 128
# What a caller still sends is read and dropped for this long, in seconds, so
# that its unread bytes do not reset the connection under the last answer.
LINGER_S = 1.0


class RequestHandler(ABC):
    """The task that a connection hands its requests to."""

    __slots__ = ()

    @abstractmethod
    def on_request(self, exchange):
        """Handle a whole request; it is answered by ``exchange.answer``."""

    @abstractmethod
    def on_gone(self, exchange):
        """Handle that the caller left before it was answered."""

    @abstractmethod
    def refuse(self, request, refusal):
        """Return the `Answer` for a refusal."""

    @abstractmethod
    def may_overtake(self, request):
        """Whether a request may start before those ahead on its connection."""

    @abstractmethod
    def on_closed(self, connection):
        """Handle the end of a connection."""


class Exchange:
    """One request on a connection and, later, its answer.

    Parameters
    ----------
    connection : ServerConnection
        Where it was read.
    request : Request
        The request.
    arrived : float
        Time in seconds.
    """

    __slots__ = ("answered", "arrived", "closes", "connection", "is_started", "request")

    def __init__(self, connection, request, arrived):
        self.connection = connection
        self.request = request
        self.arrived = arrived
        self.answered = None
        self.closes = False
        self.is_started = False

    def answer(self, answer):
        """Send an answer when those before it have gone out."""
        if self.answered is None:
            self.answered = answer
            self.connection.flush()


@runs_chart("caller_connection", "cyclamentally_calls.charts")
class ServerConnection(StreamOwner):
    """Read requests, answer them in order; runs ``caller_connection``.

    Parameters
    ----------
    loop : Loop
        Event loop.
    accepted : socket.socket
        Accepted socket.
    handler : RequestHandler
        Task that answers.
    limits : CallerLimits
        Bounds for the caller; read anew for each request.
    pacer : Pacer, optional
        Paces the answers; without one they are written at once.
    """

    __slots__ = (
        "began",
        "exchanges",
        "handler",
        "limits",
        "lingered_at",
        "loop",
        "pacer",
        "parser",
        "state",
        "stream",
        "timer",
        "touched",
    )

    def __init__(self, loop, accepted, handler, limits, pacer=None):
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.pacer = pacer
        self.state = self.chart.initial
        self.exchanges = deque()
        self.parser = RequestParser(self)
        self.touched = loop.clock()
        self.began = None
        self.lingered_at = -1
        self.stream = Stream(loop, accepted, self)
        self.timer = loop.call_after(limits.header_s, self._check_time)

    def is_unused(self, message):
        """Whether no request is being read or answered."""
        return not self.exchanges and not self.parser.in_message

    def shut(self, message):
        """End the sending side once everything has been written."""
        self.timer.cancel()
        self.lingered_at = -1
        self.timer = self.loop.call_after(LINGER_S, self._linger)
        self.stream.shut()

    def release(self, message):
        """Close the socket and tell the handler which requests were left."""
        self.timer.cancel()
        self.stream.close()
        for exchange in self.exchanges:
            if exchange.is_started and exchange.answered is None:
                self.handler.on_gone(exchange)
        self.exchanges.clear()
        self.handler.on_closed(self)

    def fire(self, event):
        """Run an event of the chart."""
        self.chart.fire(self, event)

    def drain(self):
        """Answer what has been read, then end the connection."""
        self.fire("drain")

    def has_unsent(self):
        """Whether a part of an answer still has to go out."""
        return self.stream.is_open and self.stream.has_unsent()

    def on_connected(self):
        """Ignore: accepted sockets are connected."""

    def on_bytes(self, data):
        """Parse what has arrived."""
        if self.state == "lingering":
            return
        # What follows the last request counts as not read, but the rest of a
        # request that was begun before belongs to it.
        if self.state == "finishing" and not self.parser.in_message:
            return
        self.touched = self.loop.clock()
        if self.began is None:
            self.began = self.touched
        is_sound = self.parser.feed(data)
        if not is_sound:
            self._end_unreadable()
        elif self.parser.head_bytes > self.limits.header_bytes:
            self._break_off(Kind.HEADERS_TOO_LARGE, "the head is too large")
        elif self.parser.body_bytes > self.limits.body_bytes:
            self._break_off(Kind.BODY_TOO_LARGE, "the body is too large")

    def on_end(self, reason):
        """Handle the caller's end."""
        self.fire("ended")

    def on_head(self, length, expects_continue):
        """Check the announced length of a body before it is read."""
        self.touched = self.loop.clock()
        if self.parser.head_bytes > self.limits.header_bytes:
            self._break_off(Kind.HEADERS_TOO_LARGE, "the head is too large")
        elif length is not None and length > self.limits.body_bytes:
            self._break_off(Kind.BODY_TOO_LARGE, f"body of {length} bytes")
        elif expects_continue and not self.exchanges:
            self.stream.write(CONTINUE)

    def on_request(self, request):
        """Queue a whole request; start it unless it has to wait its turn."""
        self.began = None
        if self.state not in ("open", "finishing") or self.parser.error:
            return
        if len(self.exchanges) >= MAX_QUEUED:
            self._break_off(Kind.QUEUE_FULL, "too many requests on a connection")
            return
        exchange = Exchange(self, request, self.loop.clock())
        self.exchanges.append(exchange)
        if not request.keeps_open:
            self.fire("last_request")
        self._start_exchanges()

    def flush(self):
        """Send the answers whose turn has come."""
        while self.exchanges and self.exchanges[0].answered is not None:
            exchange = self.exchanges.popleft()
            is_last = self.state == "finishing" and not self.exchanges
            self._send(exchange, is_last or exchange.closes)
            if exchange.closes:
                self._drop_rest()
        self._start_exchanges()
        if not self.exchanges and not self.parser.in_message:
            self.fire("all_answered")
        self.touched = self.loop.clock()

    def _send(self, exchange, closes):
        answer = exchange.answered
        is_head = exchange.request is not None and exchange.request.method == b"HEAD"
        idle_s = max(1, int(self.limits.idle_s))
        data = encode_answer(answer, closes, is_head, idle_s)
        if self.pacer is None:
            self.stream.write(data)
        else:
            self.pacer.write(self.stream, data)

    def _drop_rest(self):
        """Leave out the requests behind an answer that ends the connection."""
        for exchange in self.exchanges:
            if exchange.is_started and exchange.answered is None:
                self.handler.on_gone(exchange)
        self.exchanges.clear()
        self.fire("drain")

    def _start_exchanges(self):
        """Start the first request, and those behind it that may overtake."""
        for position, exchange in enumerate(list(self.exchanges)):
            if position >= MAX_PIPELINED:
                return
            may_overtake = self.handler.may_overtake(exchange.request)
            if not exchange.is_started:
                if position and not may_overtake:
                    return
                exchange.is_started = True
                self.handler.on_request(exchange)
            if not may_overtake:
                return

    def _break_off(self, kind, detail):
        """Answer a request that cannot be read, and end the connection."""
        if self.state in ("lingering", "closed"):
            return
        exchange = Exchange(self, None, self.loop.clock())
        exchange.is_started = True
        exchange.closes = True
        self.parser.error = self.parser.error or detail
        self.parser.in_message = False
        self.exchanges.append(exchange)
        self.fire("broken_request")
        exchange.answer(self.handler.refuse(None, Refused(kind, detail)))

    def _end_unreadable(self):
        """Refuse bytes that are no request; drop them behind the last one."""
        if self.state == "open":
            self._break_off(Kind.BAD_REQUEST, self.parser.error)
        elif self.parser.in_message:
            self.parser.in_message = False
            if not self.exchanges:
                self.fire("all_answered")

    def _linger(self):
        """Close once the caller took its last answer or stopped taking it."""
        if self.state != "lingering":
            return
        if self.stream.has_unsent() and self.stream.sent > self.lingered_at:
            self.lingered_at = self.stream.sent
            self.timer = self.loop.call_after(self.limits.idle_s, self._linger)
            return
        self.fire("linger_over")

    def _check_time(self):
        """End a connection that is idle or sends its request too slowly."""
        if self.state == "closed":
            return
        now = self.loop.clock()
        if self.parser.in_message and not self.parser.in_body:
            due = (self.began or self.touched) + self.limits.header_s
            if now >= due:
                self._break_off(Kind.REQUEST_TIMEOUT, "the head came too slowly")
                return
        elif self.exchanges:
            due = now + self.limits.idle_s
        else:
            due = self.touched + self.limits.idle_s
            if now >= due:
                self._end_idle()
                return
        self.timer = self.loop.call_at(due, self._check_time)

    def _end_idle(self):
        if self.parser.in_message:
            self._break_off(Kind.REQUEST_TIMEOUT, "the body stopped")
        else:
            self.drain()

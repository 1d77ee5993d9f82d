"""The server side of an HTTP/1.1 connection, with pipelining."""

from collections import deque

from cyclamentally.chart import runs_chart
from cyclamentally.errors import ANSWERS, Kind, Refused, failed_internally
from cyclamentally_calls.exchange import Exchange
from cyclamentally_calls.http_codec import (
    CONTINUE,
    RequestParser,
    Response,
    encode_response,
)
from cyclamentally_calls.stream import Stream, StreamOwner

# Concurrent requests of one connection; clients that pipeline send a handful, and
# requests beyond this wait.
MAX_CONCURRENT_REQUESTS = 16
# A connection with more pending requests is closed; bounds its memory.
MAX_PENDING_REQUESTS = 128
# Time for which incoming bytes are read and dropped after the last response; with
# unread bytes, closing the socket would reset the connection before the client has
# read that response.
LINGER_S = 1.0


@runs_chart("caller_connection", "cyclamentally_calls.charts")
class ServerConnection(StreamOwner):
    """Read requests and send responses in order; runs ``caller_connection``.

    Parameters
    ----------
    loop : Loop
        Event loop.
    accepted : socket.socket
        Accepted socket.
    handler : RequestHandler
        Task that handles the requests.
    limits : CallerLimits
        Limits for the client; may be replaced while the connection is open.
    pacer : Pacer, optional
        Paces the responses; without one they are written immediately.
    """

    __slots__ = (
        "message_started",
        "exchanges",
        "handler",
        "limits",
        "linger_sent_bytes",
        "loop",
        "pacer",
        "parser",
        "state",
        "stream",
        "timer",
        "last_activity",
    )

    def __init__(self, loop, accepted, handler, limits, pacer=None):
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.pacer = pacer
        self.state = self.chart.initial
        self.exchanges = deque()
        self.parser = RequestParser(self)
        self.last_activity = loop.clock()
        self.message_started = None
        self.linger_sent_bytes = -1
        self.stream = Stream(loop, accepted, self)
        self.timer = loop.call_after(limits.header_s, self._check_timeouts)

    def is_unused(self, message):
        """Whether no request is being read or is pending."""
        return not self.exchanges and not self.parser.in_message

    def half_close(self, message):
        """Half-close the connection once all bytes have been written."""
        self.timer.cancel()
        self.linger_sent_bytes = -1
        self.timer = self.loop.call_after(LINGER_S, self._check_linger)
        self.stream.half_close()

    def release(self, message):
        """Close the socket and tell the handler which requests are abandoned."""
        self.timer.cancel()
        self.stream.close()
        self._abandon_exchanges()
        self.handler.on_closed(self)

    def fire(self, event):
        """Fire an event of the state chart."""
        self.chart.fire(self, event)

    def drain(self):
        """Answer the requests that have arrived, then close the connection."""
        self.stream.read_pending()
        self.fire("drain")

    def is_pending(self):
        """Whether a request is being read or answered, or a response being sent."""
        return not self.is_unused(None) or self.stream.has_unsent()

    def is_in_use(self, since):
        """Whether requests are accepted and the last activity was after a time."""
        is_accepting = self.state in ("open", "retiring")
        return is_accepting and self.last_activity > since

    def refuse_unread(self, refusal):
        """Refuse the request that is being read, if there is one."""
        if self.parser.in_message:
            self._reject(refusal.kind, refusal.detail)

    def on_connected(self):
        """Do nothing: accepted sockets are connected."""

    def on_bytes(self, data):
        """Parse received bytes and enforce the size limits."""
        if self.state == "lingering":
            return
        # Requests after the last one are not read, but the rest of a request that
        # began before is.
        if self.state == "finishing" and not self.parser.in_message:
            return
        self.last_activity = self.loop.clock()
        if self.message_started is None:
            self.message_started = self.last_activity
        is_valid = self.parser.feed(data)
        if not is_valid:
            self._handle_parse_error()
        elif self._is_head_too_large():
            self._reject(
                Kind.HEADERS_TOO_LARGE,
                f"request head exceeds {self.limits.header_bytes} bytes",
            )
        elif self.parser.body.size > self.limits.body_bytes:
            self._reject(
                Kind.BODY_TOO_LARGE,
                f"request body exceeds {self.limits.body_bytes} bytes",
            )

    def _is_head_too_large(self):
        """Whether complete headers, or bytes that belong to no body, exceed the limit.

        The separators of header lines do not count towards the limit, so the bytes
        may be twice as many.
        """
        limit = self.limits.header_bytes
        if self.parser.head_bytes > limit:
            return True
        return self.parser.in_message and self.parser.unparsed_bytes() > 2 * limit

    def on_end(self, reason):
        """Handle that the client closed the connection or that it failed."""
        self.fire("ended")

    def on_head(self, length, expects_continue):
        """Check the size limits before the body is read."""
        self.last_activity = self.loop.clock()
        if self.parser.head_bytes > self.limits.header_bytes:
            self._reject(
                Kind.HEADERS_TOO_LARGE,
                f"request head exceeds {self.limits.header_bytes} bytes",
            )
        elif length is not None and length > self.limits.body_bytes:
            self._reject(
                Kind.BODY_TOO_LARGE,
                f"request body of {length} bytes exceeds {self.limits.body_bytes}",
            )
        elif expects_continue and not self.exchanges:
            self.stream.write(CONTINUE)

    def on_request(self, request):
        """Queue a complete request and start those that may run."""
        self.message_started = None
        if self.state in ("lingering", "closed") or self.parser.error:
            return
        if len(self.exchanges) >= MAX_PENDING_REQUESTS:
            self._reject(
                Kind.QUEUE_FULL,
                f"more than {MAX_PENDING_REQUESTS} pending requests on this connection",
            )
            return
        exchange = Exchange(self, request, self.loop.clock())
        self.exchanges.append(exchange)
        if not request.keep_alive:
            self.fire("last_request")
        self._start_exchanges()

    def flush(self):
        """Send the responses that are ready, in the order of the requests."""
        while self.exchanges and self.exchanges[0].response is not None:
            exchange = self.exchanges.popleft()
            is_last = self._is_last_response()
            if not self.loop.attempt(self._send, exchange, is_last or exchange.closes):
                # A part of the response may have been written.
                self.stream.abort()
                return
            if exchange.closes:
                self._discard_pending()
        self._start_exchanges()
        if not self.exchanges and not self.parser.in_message:
            self.fire("all_answered")
        self.last_activity = self.loop.clock()

    def _is_last_response(self):
        """Whether no response follows the one that is being sent."""
        if self.state == "retiring":
            return self.is_unused(None)
        return self.state == "finishing" and not self.exchanges

    def _send(self, exchange, closes):
        is_head = exchange.request is not None and exchange.request.method == b"HEAD"
        idle_s = max(1, int(self.limits.idle_s))
        try:
            data = encode_response(exchange.response, closes, is_head, idle_s)
        except Exception as error:
            self._report(error, exchange)
            exchange.closes = True
            status = ANSWERS[Kind.INTERNAL_ERROR].status
            data = encode_response(Response(status, [], b""), closes=True)
        if self.pacer is None:
            self.stream.write(data)
        else:
            self.pacer.write(self.stream, data)

    def _discard_pending(self):
        """Drop the requests after a response that closes the connection."""
        self._abandon_exchanges()
        self.fire("drain")

    def _abandon_exchanges(self):
        """Drop all requests and tell the handler of those that it is handling."""
        abandoned = [e for e in self.exchanges if e.is_started and e.response is None]
        self.exchanges.clear()
        for exchange in abandoned:
            self.loop.attempt(self.handler.on_disconnect, exchange)

    def _start_exchanges(self):
        """Start the first request and the following ones that may run concurrently."""
        for position, exchange in enumerate(list(self.exchanges)):
            # A request that was refused unread is the last one and never starts.
            is_unread = exchange.request is None
            if is_unread or position >= MAX_CONCURRENT_REQUESTS:
                return
            # A response may have ended the connection, which drops the others.
            if not self.exchanges:
                return
            may_run_concurrently = self._may_run_concurrently(exchange)
            if not exchange.is_started:
                if position and not may_run_concurrently:
                    return
                exchange.is_started = True
                self._start(exchange)
            if not may_run_concurrently:
                return

    def _may_run_concurrently(self, exchange):
        try:
            return self.handler.may_run_concurrently(exchange.request)
        except Exception as error:
            self._report(error, exchange)
            return False

    def _start(self, exchange):
        """Pass a request to the handler; refuse it if the handler fails."""
        try:
            self.handler.on_request(exchange)
        except Exception as error:
            self._report(error, exchange)
            self._refuse(exchange, failed_internally(is_passed_on=False))

    def _refuse(self, exchange, refusal):
        """Send the handler's response to a refused request, or a plain one."""
        self.loop.attempt(self._respond_refusal, exchange, refusal)
        exchange.fail(refusal.kind)

    def _respond_refusal(self, exchange, refusal):
        exchange.respond(self.handler.refuse(exchange.request, refusal))

    def _report(self, error, exchange):
        self.loop.report(error, id=self.handler.request_id(exchange.request))

    def _reject(self, kind, detail):
        """Refuse a request that cannot be read completely and close the connection."""
        if self.state in ("lingering", "closed"):
            return
        exchange = Exchange(self, None, self.loop.clock())
        exchange.is_started = True
        exchange.closes = True
        self.parser.error = self.parser.error or detail
        self.parser.in_message = False
        self.exchanges.append(exchange)
        self.fire("broken_request")
        self._refuse(exchange, Refused(kind, detail))

    def _handle_parse_error(self):
        """Refuse malformed bytes; ignore them after the last request."""
        if self.state in ("open", "retiring"):
            self._reject(Kind.BAD_REQUEST, self.parser.error)
        elif self.parser.in_message:
            self.parser.in_message = False
            if not self.exchanges:
                self.fire("all_answered")

    def _check_linger(self):
        """Close once the client has received all responses or stopped reading."""
        if self.state != "lingering":
            return
        if self.stream.has_unsent() and self.stream.sent_bytes > self.linger_sent_bytes:
            self.linger_sent_bytes = self.stream.sent_bytes
            self.timer = self.loop.call_after(self.limits.idle_s, self._check_linger)
            return
        self.fire("linger_over")

    def _check_timeouts(self):
        """Close a connection that is idle or whose request arrives too slowly."""
        if self.state == "closed":
            return
        now = self.loop.clock()
        if self.parser.in_message and not self.parser.in_body:
            due = (self.message_started or self.last_activity) + self.limits.header_s
            if now >= due:
                self._reject(
                    Kind.REQUEST_TIMEOUT,
                    f"request head incomplete after {self.limits.header_s:g} s",
                )
                return
        elif self.exchanges:
            due = now + self.limits.idle_s
        else:
            due = self.last_activity + self.limits.idle_s
            if now >= due:
                self._end_idle()
                return
        self.timer = self.loop.call_at(due, self._check_timeouts)

    def _end_idle(self):
        if self.parser.in_message:
            self._reject(
                Kind.REQUEST_TIMEOUT,
                f"no bytes of the request body for {self.limits.idle_s:g} s",
            )
        else:
            self.drain()

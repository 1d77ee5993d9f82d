"""The client side of HTTP/1.1 connections, and a pool with keep-alive."""

from cyclamentally.chart import runs_chart
from cyclamentally_calls.http_codec import ResponseParser
from cyclamentally_calls.outcomes import Answered, Lost, NotSent
from cyclamentally_calls.stream import StreamOwner, connect

# Pooled connections expire this long before the server's idle timeout, which its
# Keep-Alive header states in whole seconds.
IDLE_MARGIN_S = 1.0
# Bounds the memory of one response; downloads have up to 0.6 MB.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# A connection that delivers more responses to other requests than this is closed.
MAX_IGNORED_RESPONSES = 3


class Sending:
    """One outgoing request and the callback for its outcome.

    Parameters
    ----------
    data : bytes
        The encoded request.
    echo : tuple or None
        Lower-case name and value of the header that the response must repeat.
    on_outcome : callable
        Takes `Answered`, `NotSent` or `Lost`; called once unless cancelled.
    is_head : bool
        Whether it is a HEAD request, whose response never has a body.
    """

    __slots__ = (
        "response",
        "connection",
        "data",
        "echo",
        "is_head",
        "on_outcome",
        "timer",
    )

    def __init__(self, data, echo, on_outcome, is_head=False):
        self.data = data
        self.echo = echo
        self.on_outcome = on_outcome
        self.is_head = is_head
        self.connection = None
        self.response = None
        self.timer = None

    def cancel(self):
        """Cancel the request; its connection is closed to tell the server."""
        if self.timer is not None:
            self.timer.cancel()
        self.on_outcome = None
        if self.connection is not None:
            self.connection.fire("cancelled")

    def finish(self, outcome):
        """Report the outcome unless the request was cancelled."""
        if self.timer is not None:
            self.timer.cancel()
        report, self.on_outcome = self.on_outcome, None
        if report is not None:
            report(outcome)


@runs_chart("upstream_connection", "cyclamentally_calls.charts")
class ClientConnection(StreamOwner):
    """One connection with at most one request; runs ``upstream_connection``.

    Parameters
    ----------
    pool : ConnectionPool
        Owner.
    address : str
        ``IP:port`` of the server.
    sending : Sending
        First request.
    """

    __slots__ = (
        "address",
        "idle_limit",
        "ignored_responses",
        "is_last",
        "parser",
        "pool",
        "sending",
        "since",
        "state",
        "stream",
    )

    def __init__(self, pool, address, sending):
        self.pool = pool
        self.address = address
        self.sending = sending
        self.state = self.chart.initial
        self.parser = ResponseParser(self)
        self.since = pool.loop.clock()
        self.idle_limit = pool.idle_s
        self.ignored_responses = 0
        self.is_last = False
        sending.connection = self
        self.stream = connect(pool.loop, address, self)
        if pool.silence_s:
            self.stream.bound_silence(pool.silence_s)

    def send(self, sending):
        """Send a request on this idle connection."""
        self.sending = sending
        sending.connection = self
        self.fire("sent")
        self.stream.write(sending.data)

    def send_first(self, message):
        """Send the request that the connection was opened for."""
        self.stream.write(self.sending.data)

    def may_be_kept(self, response):
        """Whether the connection may be reused for another request."""
        is_whole = not self.stream.unsent and not self.ignored_responses
        return is_whole and response.keep_alive and not self.is_last

    def is_end_of_response(self, reason):
        """Whether an orderly close completes a response without a length."""
        return (
            reason == ""
            and self.parser.finish_at_close()
            and self.sending.response is not None
        )

    def keep(self, message):
        """Return the connection to the pool."""
        self.since = self.pool.loop.clock()
        self.idle_limit = idle_limit(self.sending.response, self.pool.idle_s)
        self.pool.put_back(self)

    def report_response(self, message):
        """Report the complete response."""
        sending, self.sending = self.sending, None
        sending.connection = None
        sending.finish(Answered(sending.response))

    def release(self, message):
        """Close the socket and leave the pool."""
        self.stream.close()
        self.pool.forget(self)

    def fail_unsent(self, reason):
        """Report that the request was not sent."""
        self._fail(NotSent(f"{self.address}: {reason}"))

    def fail_sent(self, reason):
        """Report a failure; the request may have run if any byte of it was sent."""
        detail = (
            f"{self.address}: {reason or 'closed before the response was complete'}"
        )
        if self.stream.sent == 0:
            self._fail(NotSent(detail))
        else:
            is_partial = self.parser.in_message and not self.parser.error
            self._fail(Lost(detail, is_partial=is_partial))

    def fire(self, event, message=None):
        """Fire an event of the state chart."""
        self.chart.fire(self, event, message)

    def on_connected(self):
        """Send the request that was waiting for the connection."""
        self.pool.note_opened()
        self.fire("connected")

    def on_bytes(self, data):
        """Parse a response; unsolicited bytes close the connection."""
        if self.state == "idle":
            self.fire("spoiled", "received bytes while no request was in flight")
            return
        is_sound = self.parser.feed(data)
        if self.sending is not None and self.sending.is_head:
            self.parser.finish_head_response()
        if self.state == "busy":
            self._judge(is_sound)

    def on_end(self, reason):
        """Handle that the server closed the connection or that it failed."""
        self.fire("ended", reason)

    def on_response(self, response):
        """Accept the response with the header that must be repeated; ignore others."""
        sending = self.sending
        if sending is None or sending.response is not None:
            self.ignored_responses += 1
            return
        if sending.echo is not None:
            name, value = sending.echo
            if response.find(name) != value:
                self.ignored_responses += 1
                return
        sending.response = response

    def _judge(self, is_sound):
        """Fire the event for the bytes parsed so far."""
        if self.sending.response is not None:
            self.is_last = not is_sound or self.parser.in_message
            self.fire("whole_answer", self.sending.response)
        elif not is_sound:
            self.fire("spoiled", f"malformed HTTP response: {self.parser.error}")
        elif self.ignored_responses > MAX_IGNORED_RESPONSES:
            self.fire(
                "spoiled", f"{self.ignored_responses} responses to other requests"
            )
        elif self.parser.body_bytes > MAX_RESPONSE_BYTES:
            self.fire("spoiled", f"response body exceeds {MAX_RESPONSE_BYTES} bytes")

    def _fail(self, outcome):
        self.release(None)
        sending, self.sending = self.sending, None
        if sending is not None:
            sending.connection = None
            sending.finish(outcome)


class ConnectionPool:
    """Pool of connections by address, owned by one task.

    Parameters
    ----------
    loop : Loop
        Event loop.
    idle_s : float
        Idle timeout of connections in seconds; servers may state a shorter one.
    connect_s : float
        Connect timeout, in seconds.
    silence_s : float
        Time without acknowledgements after which a connection is broken, in
        seconds; 0 keeps the system's default.
    """

    __slots__ = ("all", "connect_s", "idle", "idle_s", "loop", "opened", "silence_s")

    def __init__(self, loop, idle_s, connect_s, silence_s):
        self.loop = loop
        self.idle_s = idle_s
        self.connect_s = connect_s
        self.silence_s = silence_s
        self.idle = {}
        self.all = {}
        self.opened = 0

    def send(self, address, sending, deadline):
        """Send a request, on an idle connection if there is one.

        Parameters
        ----------
        address : str
            ``IP:port`` of the server.
        sending : Sending
            The request.
        deadline : float
            Time after which the request has failed, in seconds.
        """
        connection = self._take(address)
        if connection is not None:
            connection.send(sending)
        else:
            connection = ClientConnection(self, address, sending)
            self.all.setdefault(address, set()).add(connection)
            limit = self.loop.clock() + self.connect_s
            self.loop.call_at(limit, lambda: self._check_connected(connection))
        if sending.on_outcome is not None:
            sending.timer = self.loop.call_at(deadline, lambda: _time_out(sending))

    def put_back(self, connection):
        """Return an idle connection to the pool."""
        self.idle.setdefault(connection.address, []).append(connection)

    def forget(self, connection):
        """Remove a closed connection."""
        kept = self.idle.get(connection.address)
        if kept is not None and connection in kept:
            kept.remove(connection)
        known = self.all.get(connection.address)
        if known is not None:
            known.discard(connection)
            if not known:
                del self.all[connection.address]
                self.idle.pop(connection.address, None)

    def note_opened(self):
        """Count an opened connection."""
        self.opened += 1

    def close_idle(self, address):
        """Close the idle connections to an address."""
        for connection in list(self.idle.get(address, ())):
            connection.fire("cancelled")

    def close(self):
        """Close all connections; requests in flight are cancelled."""
        for connections in list(self.all.values()):
            for connection in list(connections):
                connection.fire("cancelled")

    def _take(self, address):
        kept = self.idle.get(address, [])
        now = self.loop.clock()
        while kept:
            connection = kept.pop()
            is_young = now - connection.since < connection.idle_limit
            # A close by the server may have arrived but not been handled yet.
            if is_young and not connection.stream.has_input():
                return connection
            connection.fire("cancelled")
        return None

    def _check_connected(self, connection):
        if connection.state == "connecting":
            connection.fire("ended", f"connect timed out after {self.connect_s:g} s")


def _time_out(sending):
    """Fail a request whose deadline has passed."""
    connection, report = sending.connection, sending.on_outcome
    is_sent = connection is not None and connection.state == "busy"
    sending.cancel()
    if report is not None:
        detail = "no complete response before the deadline"
        report(Lost(detail, is_timeout=True) if is_sent else NotSent(detail))


def idle_limit(response, default_s):
    """Return the idle timeout of a connection by the response's ``Keep-Alive``.

    Parameters
    ----------
    response : Answer
        Last response on the connection.
    default_s : float
        Upper bound, in seconds.
    """
    for part in response.find(b"keep-alive").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit():
            return max(0.0, min(default_s, int(value) - IDLE_MARGIN_S))
    return default_s

"""The client side of HTTP/1.1 connections, and a pool with keep-alive."""

from cyclamentally.body_budget import BodyBudget
from cyclamentally.chart import runs_chart
from cyclamentally_calls.decoding import parse_digits
from cyclamentally_calls.outcomes import Answered, Lost, NotSent
from cyclamentally_calls.response_parser import ResponseParser
from cyclamentally_calls.stream import StreamOwner, connect

# Pooled connections expire this long before the server's idle timeout, which its
# Keep-Alive header states in whole seconds.
IDLE_MARGIN_S = 1.0
# Requests that one connection to an upstream carries; bounds the memory for their IDs.
MAX_IDENTIFIED_REQUESTS = 1_000
# A connection that delivers more responses to other requests than this is closed.
MAX_IGNORED_RESPONSES = 3


@runs_chart("upstream_connection", "cyclamentally_calls.charts")
class ClientConnection(StreamOwner):
    """One connection with at most one request; runs ``upstream_connection``.

    Parameters
    ----------
    pool : ConnectionPool
        Owner.
    address : str
        ``IP:port`` of the server.
    outgoing : OutgoingRequest
        First request.
    """

    __slots__ = (
        "address",
        "connect_timer",
        "counted_bytes",
        "idle_timeout_s",
        "ignored_responses",
        "must_close",
        "parser",
        "pool",
        "outgoing",
        "idle_since",
        "sent_echoes",
        "state",
        "stream",
    )

    def __init__(self, pool, address, outgoing):
        self.pool = pool
        self.address = address
        self.outgoing = outgoing
        self.state = self.chart.initial
        self.parser = ResponseParser(self)
        self.idle_since = pool.loop.clock()
        self.idle_timeout_s = pool.idle_timeout_s
        self.ignored_responses = 0
        self.must_close = False
        self.sent_echoes = {outgoing.echo}
        # Cost of the present body that the pool's budget knows of, in bytes.
        self.counted_bytes = 0
        outgoing.connection = self
        self.connect_timer = None
        self.stream = None

    def open(self):
        """Start to connect; the first request follows."""
        loop = self.pool.loop
        self.connect_timer = loop.call_after(
            self.pool.connect_timeout_s, self.time_out_connect
        )
        self.stream = connect(loop, self.address, self)
        if self.pool.ack_timeout_s:
            self.stream.set_ack_timeout(self.pool.ack_timeout_s)

    def send(self, outgoing):
        """Send a request on this idle connection."""
        self.outgoing = outgoing
        outgoing.connection = self
        if self.pool.is_guarded:
            self.sent_echoes.add(outgoing.echo)
        self.fire("sent")
        outgoing.is_sent = True
        self.stream.write(outgoing.data)

    def send_first(self, message):
        """Send the request that the connection was opened for."""
        self._cancel_connect_timer()
        self.outgoing.is_sent = True
        self.stream.write(self.outgoing.data)

    def is_fresh_for(self, outgoing):
        """Whether no second copy of an earlier response could answer a request.

        A copy is recognized by the header that a response must repeat, so requests
        with the same one, or without one, do not follow one another.
        """
        if not self.pool.is_guarded:
            return True
        return outgoing.echo is not None and outgoing.echo not in self.sent_echoes

    def may_be_kept(self, response):
        """Whether the connection may be reused for another request."""
        is_whole = not self.stream.unsent and not self.ignored_responses
        if self.pool.is_guarded:
            is_identified = None not in self.sent_echoes
            has_room = len(self.sent_echoes) < MAX_IDENTIFIED_REQUESTS
            is_whole = is_whole and is_identified and has_room
        return is_whole and response.keep_alive and not self.must_close

    def is_end_of_response(self, reason):
        """Whether an orderly close completes a response without a length."""
        return (
            reason == ""
            and self.parser.finish_at_close()
            and self.outgoing.response is not None
        )

    def return_to_pool(self, message):
        """Return the connection to the pool."""
        self.counted_bytes = 0
        self.pool.bodies.release(self)
        self.idle_since = self.pool.loop.clock()
        self.idle_timeout_s = keep_alive_timeout_s(
            self.outgoing.response, self.pool.idle_timeout_s
        )
        self.pool.add_idle(self)

    def report_response(self, message):
        """Report the complete response."""
        self._report(Answered(self.outgoing.response))

    def release(self, message):
        """Close the socket and leave the pool."""
        self._cancel_connect_timer()
        if self.stream is not None:
            self.stream.close()
        self.parser.discard()
        self.pool.bodies.release(self)
        self.pool.remove(self)

    def fail_unsent(self, reason):
        """Report that the request was not sent."""
        self._fail(NotSent(f"{self.address}: {reason}"))

    def fail_sent(self, reason):
        """Report a failure; the request may have run if any byte of it was sent."""
        detail = (
            f"{self.address}: {reason or 'closed before the response was complete'}"
        )
        if self.stream.sent_bytes == 0:
            self._fail(NotSent(detail))
        else:
            is_partial = self.parser.in_message and not self.parser.error
            self._fail(Lost(detail, is_partial=is_partial))

    def fire(self, event, message=None):
        """Fire an event of the state chart; the request has failed if that raises."""
        if not self.pool.loop.attempt(self.chart.fire, self, event, message):
            self.give_up()

    def give_up(self):
        """Close the connection and report the failure after an unexpected error."""
        self.pool.loop.attempt(self.chart.fire, self, "failed_internally")
        if self.outgoing is not None:
            detail = f"{self.address}: unexpected error"
            is_sent = self.outgoing.is_sent
            self._report(Lost(detail) if is_sent else NotSent(detail))

    def on_connected(self):
        """Send the request that was waiting for the connection."""
        self.pool.count_opened()
        self.fire("connected")

    def on_bytes(self, data):
        """Parse a response; unsolicited bytes close the connection."""
        if self.state == "idle":
            self.fire("spoiled", "received bytes while no request was in flight")
            return
        if self.outgoing is not None:
            self.outgoing.begin_transfer(self.pool.loop)
        is_valid = self.parser.feed(data)
        if self.outgoing is not None and self.outgoing.is_head:
            self.parser.finish_head_response()
        if self.state == "busy":
            self._handle_parsed(is_valid)

    def on_end(self, reason):
        """Handle that the server closed the connection or that it failed."""
        self.fire("ended", reason)

    def on_response(self, response):
        """Accept the response with the header that must be repeated; ignore others."""
        outgoing = self.outgoing
        if outgoing is None or outgoing.response is not None:
            self.ignored_responses += 1
            return
        if outgoing.echo is not None:
            name, value = outgoing.echo
            if response.find(name) != value:
                self.ignored_responses += 1
                return
        outgoing.response = response

    def _handle_parsed(self, is_valid):
        """Fire the event for the bytes parsed so far."""
        if self.outgoing.response is not None:
            self.must_close = not is_valid or self.parser.in_message
            self.fire("whole_answer", self.outgoing.response)
        elif not is_valid:
            self.fire("spoiled", f"malformed HTTP response: {self.parser.error}")
        elif self.ignored_responses > MAX_IGNORED_RESPONSES:
            self.fire(
                "spoiled", f"{self.ignored_responses} responses to other requests"
            )
        else:
            self._check_body()

    def _check_body(self):
        """Give up a body that exceeds its limit, or the largest one if memory is short.

        A connection that is given up has failed: its request may have run.
        """
        limit = self.outgoing.max_body_bytes
        length = self.parser.declared_length
        if max(self.parser.body.size, length or 0) > limit:
            self.fire("spoiled", f"response body exceeds {limit} bytes")
            return
        added = self.parser.cost_bytes - self.counted_bytes
        if added <= 0:
            return
        self.counted_bytes += added
        largest = self.pool.bodies.grow(self, added, length is not None)
        if largest is not None:
            largest.fire("spoiled", "response body exceeds the memory for bodies")

    def time_out_connect(self):
        """Give up a connection that has not been established in time."""
        limit_s = self.pool.connect_timeout_s
        self.fire("ended", f"connect timed out after {limit_s:g} s")

    def _cancel_connect_timer(self):
        if self.connect_timer is not None:
            self.connect_timer.cancel()
            self.connect_timer = None

    def _fail(self, outcome):
        self.release(None)
        if self.outgoing is not None:
            self._report(outcome)

    def _report(self, outcome):
        """Report the outcome; an error of the receiver is none of the connection."""
        outgoing, self.outgoing = self.outgoing, None
        outgoing.connection = None
        self.pool.loop.attempt(outgoing.finish, outcome)


class ConnectionPool:
    """Pool of connections by address, owned by one task.

    Parameters
    ----------
    loop : Loop
        Event loop.
    idle_timeout_s : float
        Idle timeout of connections in seconds; servers may state a shorter one.
    connect_timeout_s : float
        Connect timeout, in seconds.
    ack_timeout_s : float
        Time without acknowledgements after which a connection is broken, in
        seconds; 0 keeps the system's default.
    is_guarded : bool
        Whether servers may repeat responses, so that a connection carries only
        requests that their responses identify.
    bodies : BodyBudget, optional
        Memory for unfinished bodies, shared by the pools of a process.
    """

    __slots__ = (
        "bodies",
        "connections",
        "connect_timeout_s",
        "idle",
        "idle_timeout_s",
        "is_guarded",
        "loop",
        "opened",
        "ack_timeout_s",
    )

    def __init__(
        self,
        loop,
        idle_timeout_s,
        connect_timeout_s,
        ack_timeout_s,
        is_guarded=False,
        bodies=None,
    ):
        self.loop = loop
        self.is_guarded = is_guarded
        self.bodies = bodies or BodyBudget()
        self.idle_timeout_s = idle_timeout_s
        self.connect_timeout_s = connect_timeout_s
        self.ack_timeout_s = ack_timeout_s
        self.idle = {}
        self.connections = {}
        self.opened = 0

    def send(self, address, outgoing, deadline):
        """Send a request, on an idle connection if there is one.

        Parameters
        ----------
        address : str
            ``IP:port`` of the server.
        outgoing : OutgoingRequest
            The request.
        deadline : float
            Time after which the request has failed, in seconds.
        """
        outgoing.timer = self.loop.call_at(deadline, outgoing.time_out)
        if self.loop.attempt(self._send, address, outgoing):
            return
        if outgoing.connection is not None:
            outgoing.connection.give_up()
        else:
            outgoing.finish(NotSent(f"{address}: unexpected error"))

    def _send(self, address, outgoing):
        connection = self._take_idle(address, outgoing)
        if connection is not None:
            connection.send(outgoing)
            return
        connection = ClientConnection(self, address, outgoing)
        self.connections.setdefault(address, set()).add(connection)
        connection.open()

    def add_idle(self, connection):
        """Return an idle connection to the pool."""
        self.idle.setdefault(connection.address, []).append(connection)

    def remove(self, connection):
        """Remove a closed connection."""
        kept = self.idle.get(connection.address)
        if kept is not None and connection in kept:
            kept.remove(connection)
        known = self.connections.get(connection.address)
        if known is not None:
            known.discard(connection)
            if not known:
                del self.connections[connection.address]
                self.idle.pop(connection.address, None)

    def count_opened(self):
        """Count an opened connection."""
        self.opened += 1

    def close_idle(self, address):
        """Close the idle connections to an address."""
        for connection in list(self.idle.get(address, ())):
            connection.fire("cancelled")

    def close(self):
        """Close all connections; requests in flight are cancelled."""
        for connections in list(self.connections.values()):
            for connection in list(connections):
                connection.fire("cancelled")

    def _take_idle(self, address, outgoing):
        kept = self.idle.get(address, [])
        now = self.loop.clock()
        for connection in reversed(kept.copy()):
            is_young = now - connection.idle_since < connection.idle_timeout_s
            # A close by the server may have arrived but not been handled yet.
            if not is_young or connection.stream.has_input():
                connection.fire("cancelled")
            elif connection.is_fresh_for(outgoing):
                kept.remove(connection)
                return connection
        return None


def keep_alive_timeout_s(response, default_s):
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
        stated_s = parse_digits(value) if name.lower() == b"timeout" else None
        if stated_s is not None:
            return max(0.0, min(default_s, stated_s - IDLE_MARGIN_S))
    return default_s

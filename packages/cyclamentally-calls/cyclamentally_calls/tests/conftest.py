from socket import create_connection, socket
from time import monotonic

import pytest

from cyclamentally.routes import CallerLimits
from cyclamentally_calls.client_connection import ConnectionPool
from cyclamentally_calls.exchange import RequestHandler
from cyclamentally_calls.http_codec import Response
from cyclamentally_calls.loop import Loop
from cyclamentally_calls.outgoing_request import OutgoingRequest
from cyclamentally_calls.server_connection import ServerConnection
from cyclamentally_calls.stream import Listener

WAIT_S = 5.0


class Pump:
    """Runs an event loop until a condition holds or for a time."""

    def __init__(self, loop):
        self.loop = loop

    def until(self, condition, seconds=WAIT_S):
        end = monotonic() + seconds
        while not condition():
            assert monotonic() < end, f"condition not met within {seconds} s"
            self.loop.run_once(0.01)

    def for_s(self, seconds):
        end = monotonic() + seconds
        while monotonic() < end:
            self.loop.run_once(0.01)


class Handler(RequestHandler):
    """Records the exchanges; the test answers them."""

    def __init__(self):
        self.exchanges = []
        self.gone = []
        self.connections = []
        self.closed = 0

    def on_request(self, exchange):
        self.exchanges.append(exchange)

    def on_disconnect(self, exchange):
        self.gone.append(exchange)

    def on_closed(self, connection):
        self.closed += 1

    def refuse(self, request, refusal):
        return Response(refusal.answer.status, [], str(refusal.kind).encode())

    def may_run_concurrently(self, request):
        return request.method == b"GET"

    def targets(self):
        return [e.request.target for e in self.exchanges]


@pytest.fixture
def loop():
    loop = Loop()
    yield loop
    loop.close()


@pytest.fixture
def pump(loop):
    return Pump(loop)


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def limits():
    return CallerLimits(1_000, 2_000, 0.3, 0.6)


@pytest.fixture
def caller(loop, handler, limits):
    """A client socket connected to a `ServerConnection`."""
    accepted = handler.connections
    listener = Listener(
        loop,
        "127.0.0.1:0",
        lambda s: accepted.append(ServerConnection(loop, s, handler, limits)),
        lambda address, reason: None,
    )
    listener.start()
    client = create_connection(("127.0.0.1", listener.port), timeout=WAIT_S)
    loop.run_once(1.0)
    client.setblocking(False)
    yield client
    client.close()
    for connection in accepted:
        connection.fire("ended")
    listener.close()


@pytest.fixture
def upstream():
    """A listening socket; the test writes the responses."""
    listener = socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    listener.settimeout(WAIT_S)
    yield listener
    listener.close()


@pytest.fixture
def pool(loop):
    pool = ConnectionPool(loop, 5.0, 0.5, 0.0)
    yield pool
    pool.close()


class Sent:
    """A sent request and its outcomes."""

    def __init__(self, loop, pool, address, request_id, seconds, is_head=False):
        self.outcomes = []
        self.outgoing = OutgoingRequest(
            b"GET / HTTP/1.1\r\nId: " + request_id + b"\r\n\r\n",
            (b"id", request_id),
            self.outcomes.append,
            is_head,
        )
        pool.send(address, self.outgoing, loop.clock() + seconds)


@pytest.fixture
def send(loop, pool, upstream):
    def make(request_id=b"a1", seconds=3.0, is_head=False):
        address = ":".join(map(str, upstream.getsockname()))
        return Sent(loop, pool, address, request_id, seconds, is_head)

    return make

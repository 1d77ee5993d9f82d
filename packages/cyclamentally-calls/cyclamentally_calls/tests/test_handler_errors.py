"""Unexpected errors of the task that handles the requests of a connection."""

import pytest

from cyclamentally_calls import server_connection
from cyclamentally_calls.http_codec import Response
from cyclamentally_calls.loop import Loop

GET = b"GET %s HTTP/1.1\r\nHost: h\r\n\r\n"
WHOLE = Response(200, [], b"whole")


@pytest.fixture
def errors():
    return []


@pytest.fixture
def loop(errors):
    loop = Loop(on_error=lambda error, **fields: errors.append(error))
    yield loop
    loop.close()


class Raising:
    """Raises at its first call, or at each; then calls the function it replaces."""

    def __init__(self, function, calls=1):
        self.function = function
        self.calls = calls

    def __call__(self, *arguments, **options):
        self.calls -= 1
        if self.calls >= 0:
            raise RuntimeError("unexpected")
        return self.function(*arguments, **options)


@pytest.fixture
def received(caller, pump):
    """Return a function that waits for bytes with an ending, or for the close."""
    data = bytearray()

    def read(ending=None):
        def is_there():
            try:
                part = caller.recv(65_536)
            except BlockingIOError:
                return ending is not None and ending in data
            data.extend(part)
            return not part or (ending is not None and ending in data)

        pump.until(is_there)
        return bytes(data)

    return read


def test_request_whose_handler_raises_is_refused_as_not_run(
    caller, handler, received, errors
):
    handler.on_request = Raising(handler.on_request)
    caller.send(GET % b"/1")
    assert received(b"internal_error_not_run").startswith(b"HTTP/1.1 503")
    assert len(errors) == 1


def test_request_is_served_after_one_whose_handler_raised(
    caller, handler, received, pump
):
    handler.on_request = Raising(handler.on_request)
    caller.send(GET % b"/1" + GET % b"/2")
    pump.until(lambda: handler.targets() == [b"/2"])
    handler.exchanges[0].respond(WHOLE)
    data = received(b"whole")
    assert data.index(b"internal_error_not_run") < data.index(b"HTTP/1.1 200")


def test_response_that_cannot_be_encoded_is_not_replaced_by_the_next_requests(
    caller, handler, received, pump, monkeypatch
):
    caller.send(GET % b"/1" + GET % b"/2")
    pump.until(lambda: len(handler.exchanges) == 2)
    failing = Raising(server_connection.encode_response)
    monkeypatch.setattr(server_connection, "encode_response", failing)
    handler.exchanges[1].respond(WHOLE)
    handler.exchanges[0].respond(Response(200, [], b"first"))
    data = received()
    assert data.startswith(b"HTTP/1.1 502") and data.count(b"HTTP/1.1") == 1
    assert b"Connection: close" in data and b"whole" not in data


def test_connection_is_closed_if_writing_a_response_raises(
    caller, handler, received, pump, monkeypatch
):
    caller.send(GET % b"/1" + GET % b"/2")
    pump.until(lambda: len(handler.exchanges) == 2)
    first, second = handler.exchanges
    connection = first.connection
    failing = Raising(connection.stream.write)
    monkeypatch.setattr(type(connection.stream), "write", failing)
    first.respond(WHOLE)
    assert received() == b""
    assert handler.gone == [second] and handler.closed == 1


def test_request_is_answered_if_its_refusal_cannot_be_built(
    caller, handler, received, errors
):
    handler.refuse = Raising(handler.refuse)
    caller.send(b"GET /1 HTTP/1.1\r\nContent-Length : 3\r\n\r\nabc")
    assert received().startswith(b"HTTP/1.1 400")
    assert len(errors) == 1


def test_every_request_is_abandoned_if_the_handler_raises_for_one(
    caller, handler, pump
):
    gone = handler.on_disconnect
    handler.on_disconnect = Raising(gone)
    caller.send(GET % b"/1" + GET % b"/2" + GET % b"/3")
    pump.until(lambda: len(handler.exchanges) == 3)
    caller.close()
    pump.until(lambda: handler.closed == 1)
    assert handler.gone == handler.exchanges[1:]


def test_draining_connections_are_closed_if_the_handler_of_one_raises(
    caller, handler, received
):
    handler.may_run_concurrently = Raising(handler.may_run_concurrently)
    caller.setblocking(True)
    caller.sendall(GET % b"/1")
    caller.setblocking(False)
    handler.connections[0].drain()
    handler.exchanges[0].respond(WHOLE)
    assert received().endswith(b"whole")


@pytest.mark.parametrize("calls", [1, 1_000], ids=["once", "always"])
def test_loop_goes_on_if_the_report_of_an_error_raises(calls):
    ran = []
    loop = Loop(on_error=Raising(lambda error: None, calls))
    loop.call_after(0.0, Raising(ran.append))
    loop.call_after(0.0, lambda: ran.append(1))
    loop.run_once(0.0)
    loop.close()
    assert ran == [1]

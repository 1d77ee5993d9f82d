from socket import create_connection

import pytest

from cyclamentally_calls.http_codec import Response
from cyclamentally_calls.stream import Listener


def received(caller):
    try:
        return caller.recv(65_536)
    except BlockingIOError:
        return b""


def get(path, extra=b""):
    return b"GET " + path + b" HTTP/1.1\r\nHost: h\r\n" + extra + b"\r\n"


def response(body):
    return Response(200, [], body)


def read_until(pump, caller, ending):
    data = bytearray()

    def has_ending():
        data.extend(received(caller))
        return ending in data

    pump.until(has_ending)
    return bytes(data)


def test_pipelined_requests_run_concurrently_and_are_answered_in_order(
    caller, handler, pump
):
    caller.send(get(b"/1") + get(b"/2") + get(b"/3"))
    pump.until(lambda: len(handler.exchanges) == 3)
    handler.exchanges[2].respond(response(b"three"))
    handler.exchanges[1].respond(response(b"two"))
    pump.for_s(0.05)
    assert received(caller) == b""
    handler.exchanges[0].respond(response(b"one"))
    data = read_until(pump, caller, b"three")
    assert data.index(b"one") < data.index(b"two") < data.index(b"three")


def test_non_repeatable_request_waits_for_earlier_responses(caller, handler, pump):
    post = b"POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
    caller.send(get(b"/1") + post + get(b"/3"))
    pump.until(lambda: handler.exchanges)
    pump.for_s(0.05)
    assert handler.targets() == [b"/1"]
    handler.exchanges[0].respond(response(b"one"))
    pump.for_s(0.05)
    assert handler.targets() == [b"/1", b"/2"]


def test_client_disconnect_abandons_pending_requests(caller, handler, pump):
    caller.send(get(b"/1") + get(b"/2"))
    pump.until(lambda: len(handler.exchanges) == 2)
    caller.close()
    pump.until(lambda: len(handler.gone) == 2)
    assert handler.closed == 1


def test_requests_after_connection_close_header_are_not_read(caller, handler, pump):
    caller.send(get(b"/1", b"Connection: close\r\n") + get(b"/2"))
    pump.until(lambda: handler.exchanges)
    handler.exchanges[0].respond(response(b"one"))
    data = read_until(pump, caller, b"one")
    assert b"Connection: close" in data
    assert handler.targets() == [b"/1"]


SMUGGLED = [
    b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
    b"Content-Length : 3\r\n\r\nabc",
    b"Transfer-Encoding: xchunked\r\n\r\nabc",
    b"Content-Length: +3\r\n\r\nabc",
    b"X: y\r\n Content-Length: 3\r\n\r\nabc",
]


@pytest.mark.parametrize("rest", SMUGGLED)
def test_ambiguous_framing_is_refused_and_closes_connection(
    caller, handler, pump, rest
):
    caller.send(b"POST /1 HTTP/1.1\r\nHost: h\r\n" + rest + get(b"/2"))
    data = read_until(pump, caller, b"bad_request")
    assert data.startswith(b"HTTP/1.1 400")
    assert handler.exchanges == []


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (get(b"/1", b"X: " + b"a" * 2_000 + b"\r\n"), b"431"),
        (b"POST /1 HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", b"413"),
        (
            b"POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n9c4\r\n"
            + b"a" * 2_500,
            b"413",
        ),
    ],
    ids=["head", "sized body", "chunked body"],
)
def test_oversized_head_or_body_is_refused(caller, handler, pump, sent, status):
    caller.send(sent)
    assert b"HTTP/1.1 " + status in read_until(pump, caller, b"too_large")
    assert handler.exchanges == []


@pytest.mark.parametrize(
    ("unread", "status"),
    [
        (b"GET /2 HT", b"408"),
        (get(b"/2", b"X: " + b"a" * 2_000 + b"\r\n"), b"431"),
        (b"POST /2 HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", b"413"),
        (b"G\x00T /2 HTTP/1.1\r\n\r\n", b"400"),
    ],
    ids=["slow head", "long head", "long body", "malformed"],
)
def test_request_refused_unread_does_not_cut_the_pending_one(
    caller, handler, pump, unread, status
):
    caller.send(get(b"/1") + unread)
    pump.until(lambda: handler.exchanges)
    pump.for_s(0.4)
    handler.exchanges[0].respond(response(b"one"))
    data = read_until(pump, caller, b"HTTP/1.1 " + status)
    assert data.startswith(b"HTTP/1.1 200")
    assert handler.gone == []


def test_slow_request_head_is_refused(caller, handler, pump):
    caller.send(b"GET /1 HT")
    assert b"HTTP/1.1 408" in read_until(pump, caller, b"request_timeout")


def test_idle_connection_is_closed_after_idle_timeout(caller, handler, pump, limits):
    pump.until(lambda: handler.closed == 1, limits.idle_s + 2.0)


def test_draining_connection_answers_pending_requests(caller, handler, pump):
    caller.send(get(b"/1"))
    pump.until(lambda: handler.exchanges)
    handler.exchanges[0].connection.drain()
    caller.send(get(b"/2"))
    pump.for_s(0.05)
    handler.exchanges[0].respond(response(b"one"))
    assert b"Connection: close" in read_until(pump, caller, b"one")
    assert handler.targets() == [b"/1"]


def test_pipelined_requests_on_a_retiring_connection_are_all_answered(
    caller, handler, pump
):
    caller.send(get(b"/1"))
    pump.until(lambda: handler.exchanges)
    connection = handler.exchanges[0].connection
    connection.fire("retire")
    caller.send(get(b"/2"))
    pump.until(lambda: len(handler.exchanges) == 2)
    handler.exchanges[0].respond(response(b"one"))
    assert b"Connection: close" not in read_until(pump, caller, b"one")
    handler.exchanges[1].respond(response(b"two"))
    assert b"Connection: close" in read_until(pump, caller, b"two")
    assert connection.state == "lingering"


def test_chunked_body_is_reassembled(caller, handler, pump):
    caller.send(
        b"POST /1?q=%2F HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\nTrail: x\r\n\r\n"
    )
    pump.until(lambda: handler.exchanges)
    request = handler.exchanges[0].request
    assert (request.body, request.target) == (b"abcde", b"/1?q=%2F")
    assert request.find(b"trail") == b""


def test_large_response_to_slow_client_is_not_truncated(caller, handler, pump):
    caller.send(get(b"/1", b"Connection: close\r\n"))
    pump.until(lambda: handler.exchanges)
    body = b"z" * 6_000_000
    handler.exchanges[0].respond(response(body))
    pump.for_s(1.3)
    data = read_until(pump, caller, b"\r\n\r\n")
    length = len(data)

    def is_whole():
        nonlocal length
        length += len(received(caller))
        return length >= len(body)

    pump.until(is_whole)


def test_header_line_without_end_is_refused_before_memory_grows(caller, handler, pump):
    """The limit of complete header lines never sees a line that does not end."""
    caller.setblocking(True)
    caller.sendall(b"GET /1 HTTP/1.1\r\nX: " + b"a" * 3_000)
    pump.for_s(0.05)
    assert caller.recv(1_000).startswith(b"HTTP/1.1 431 ")
    assert handler.exchanges == []


def test_chunk_extension_without_end_is_refused(caller, handler, pump):
    caller.setblocking(True)
    head = b"POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    caller.sendall(head + b"1;x=" + b"y" * 3_000)
    pump.for_s(0.05)
    assert caller.recv(1_000).startswith(b"HTTP/1.1 431 ")
    assert handler.exchanges == []


def test_request_that_is_unread_when_the_connection_drains_is_answered(
    caller, handler, pump
):
    """During a planned stop, bytes may have arrived that no poll has reported yet."""
    caller.setblocking(True)
    caller.sendall(b"GET /1 HTTP/1.1\r\n\r\n")
    handler.connections[0].drain()
    assert handler.targets() == [b"/1"]
    handler.exchanges[0].respond(Response(200, [], b"done"))
    pump.for_s(0.02)
    assert caller.recv(1_000).endswith(b"done")


def test_connection_in_the_backlog_is_accepted_when_the_listener_closes(loop):
    accepted = []
    listener = Listener(loop, "127.0.0.1:0", accepted.append, lambda *reason: None)
    listener.start()
    with create_connection(("127.0.0.1", listener.port), timeout=5.0) as client:
        client.sendall(b"GET /1 HTTP/1.1\r\n\r\n")
        listener.close()
        assert len(accepted) == 1
        accepted[0].close()


def test_request_is_answered_if_malformed_bytes_follow_it(caller, handler, pump):
    caller.send(get(b"/1") + b"malformed\r\n\r\n")
    pump.until(lambda: handler.exchanges)
    pump.for_s(0.05)
    handler.exchanges[0].respond(response(b"one"))
    data = read_until(pump, caller, b"bad_request")
    assert data.index(b"one") < data.index(b"HTTP/1.1 400")

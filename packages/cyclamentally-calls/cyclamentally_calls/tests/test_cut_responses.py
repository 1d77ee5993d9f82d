"""Responses that a server cuts off at any byte before it closes the connection."""

import pytest

from cyclamentally.errors import ANSWERS, Kind, Ran, Refused
from cyclamentally_calls.offer_codec import decode_offer_result
from cyclamentally_calls.outcomes import Answered, Lost, NotSent
from cyclamentally_calls.peer_codec import encode_refusal
from cyclamentally_calls.response_parser import ResponseParser
from cyclamentally_calls.tests.test_client_connection import accept, outcome

HEAD = b"HTTP/1.1 200 OK\r\nId: a1\r\nX-Server-Signature: 3e1b.07\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
REFUSAL = b"%s: %s\r\n" % encode_refusal(Refused(Kind.QUEUE_FULL, "full", 0.25))
WHOLE = {
    "length": HEAD + b"Content-Length: 12\r\n\r\nHTTP/1.1 200",
    "empty": HEAD + b"Content-Length: 0\r\n\r\n",
    "length first": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: a1\r\n\r\nabc",
    "chunked": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
    "trailers": HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nA: b\r\n\r\n",
    "no body": b"HTTP/1.1 204 No\r\nId: a1\r\n\r\n",
    "not modified": b"HTTP/1.1 304 No\r\nId: a1\r\nContent-Length: 9\r\n\r\n",
    "after interim": b"HTTP/1.1 100 Go\r\n\r\n" + HEAD + b"Content-Length: 1\r\n\r\na",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nId: a1\r\nContent-Length: 3\r\n\r\nabc",
    "refusal": b"HTTP/1.1 503 No\r\nId: a1\r\n"
    + REFUSAL
    + b"Content-Length: 0\r\n\r\n",
}
UNTIL_CLOSE = {
    "until close": HEAD + b"\r\nabc",
    "until close, said": HEAD + b"Connection: close\r\n\r\nabc",
    "HTTP/1.0 until close": b"HTTP/1.0 200 OK\r\nId: a1\r\n\r\nabc",
}
# Cuts after a line end that is not the one of HTTP.
OTHER_LINE_ENDS = [
    HEAD + end
    for end in (b"\n", b"\r", b"\n\n", b"\r\r", b"\n\r", b"Content-Length: 3\n\nab")
]


class Responses:
    """Keeps the responses of a parser."""

    def __init__(self):
        self.responses = []

    def on_response(self, response):
        self.responses.append(response)


def parse_until_close(data, parts, is_head=False):
    """Return the responses in bytes that arrive in parts before a close."""
    sink = Responses()
    parser = ResponseParser(sink)
    size = max(1, -(-len(data) // parts))
    for start in range(0, len(data), size):
        parser.feed(data[start : start + size])
        if is_head:
            parser.finish_head_response()
    parser.finish_at_close()
    return sink.responses


@pytest.mark.parametrize("parts", [1, 3, 10_000])
@pytest.mark.parametrize("data", WHOLE.values(), ids=WHOLE)
def test_response_that_is_cut_at_any_byte_is_no_response(data, parts):
    for cut in range(len(data)):
        assert parse_until_close(data[:cut], parts) == [], data[:cut]
    assert len(parse_until_close(data, parts)) == 1


@pytest.mark.parametrize("is_head", [True, False])
@pytest.mark.parametrize("data", UNTIL_CLOSE.values(), ids=UNTIL_CLOSE)
def test_head_that_is_cut_at_any_byte_is_no_response(data, is_head):
    for cut in range(data.index(b"\r\n\r\n") + 4):
        assert parse_until_close(data[:cut], 1, is_head) == [], data[:cut]
    assert len(parse_until_close(data, 1)) == 1


@pytest.mark.parametrize("data", OTHER_LINE_ENDS)
def test_head_that_ends_with_another_line_end_is_no_response(data):
    assert parse_until_close(data, 1) == []


@pytest.mark.parametrize("closes", ["orderly", "reset"])
@pytest.mark.parametrize("name", ["length", "chunked", "refusal", "until close"])
def test_request_whose_response_is_cut_may_have_run(send, upstream, pump, name, closes):
    data = {**WHOLE, **UNTIL_CLOSE}[name]
    end = data.index(b"\r\n\r\n") + 4
    for cut in (0, 9, 17, 20, end - 4, end - 3, end - 2, end - 1):
        sent = send()
        connection = accept(upstream, pump)
        pump.until(lambda sent=sent: sent.outgoing.connection.state == "busy")
        pump.for_s(0.01)
        connection.recv(1_000)
        connection.sendall(data[:cut])
        if closes == "reset":
            pump.for_s(0.01)
            connection.setsockopt(1, 13, b"\x01\0\0\0\0\0\0\0")  # SO_LINGER
        connection.close()
        found = outcome(sent, pump)
        assert isinstance(found, Lost), data[:cut]
        refused, load = decode_offer_result(found)
        assert ANSWERS[refused.kind].ran == Ran.UNKNOWN
        assert load is None


def test_whole_refusal_says_that_the_request_has_not_run():
    (response,) = parse_until_close(WHOLE["refusal"], 1)
    refused, _ = decode_offer_result(Answered(response))
    assert refused == Refused(Kind.QUEUE_FULL, "full", 0.25)
    assert decode_offer_result(NotSent("x"))[0].kind == Kind.UPSTREAM_UNREACHABLE

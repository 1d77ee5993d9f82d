from errno import EMFILE
from socket import create_connection
from unittest.mock import patch

import pytest

from cyclamentally_calls.outcomes import NotSent
from cyclamentally_calls.stream import Listener
from cyclamentally_calls.tests.conftest import Sent
from cyclamentally_testing.odd_values import INVALID_ADDRESSES


class FullSocket:
    """A listening socket whose accept fails for lack of a file descriptor."""

    def __init__(self, inner):
        self.inner = inner
        self.accepts = 0

    def accept(self):
        self.accepts += 1
        raise OSError(EMFILE, "too many open files")

    def __getattr__(self, name):
        return getattr(self.inner, name)


def test_listener_backs_off_and_reports_when_accept_fails(loop, pump):
    reported = []
    listener = Listener(
        loop, "127.0.0.1:0", lambda s: s.close(), lambda a, d: reported.append(d)
    )
    listener.start()
    listener.socket = FullSocket(listener.socket)
    with create_connection(("127.0.0.1", listener.port)):
        pump.for_s(0.35)
    assert 1 <= listener.socket.accepts <= 6
    assert len(reported) == listener.socket.accepts
    assert "too many open files" in reported[0]
    listener.close()


@pytest.mark.parametrize("address", [*INVALID_ADDRESSES, "255.255.255.255:80"])
def test_request_to_an_address_that_cannot_be_connected_to_is_not_sent(
    loop, pool, pump, address
):
    with patch("socket.getaddrinfo", side_effect=AssertionError("name look-up")):
        sent = Sent(loop, pool, address, b"a1", 3.0)
        assert sent.outcomes == []
        pump.until(lambda: sent.outcomes)
    assert [type(found) for found in sent.outcomes] == [NotSent]
    assert (pool.connections, pool.opened) == ({}, 0)


def test_request_without_a_free_descriptor_is_not_sent(loop, pool, pump):
    failure = OSError(EMFILE, "too many open files")
    with patch("cyclamentally_calls.stream.socket", side_effect=failure):
        sent = Sent(loop, pool, "127.0.0.1:80", b"a1", 3.0)
    pump.until(lambda: sent.outcomes)
    assert [type(found) for found in sent.outcomes] == [NotSent]
    assert "too many open files" in sent.outcomes[0].detail


def test_cancelled_request_to_an_invalid_address_has_no_outcome(loop, pool, pump):
    sent = Sent(loop, pool, "127.0.0.1:65536", b"a1", 0.05)
    sent.outgoing.cancel()
    pump.for_s(0.1)
    assert (sent.outcomes, pool.connections) == ([], {})

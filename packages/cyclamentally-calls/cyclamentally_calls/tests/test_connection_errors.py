"""Unexpected errors on the connections that a node opens."""

import pytest

from cyclamentally.body_budget import BodyBudget
from cyclamentally.chart import Chart
from cyclamentally_calls import client_connection
from cyclamentally_calls.client_connection import ConnectionPool
from cyclamentally_calls.loop import Loop
from cyclamentally_calls.outcomes import Answered, Lost, NotSent
from cyclamentally_calls.stream import Stream
from cyclamentally_calls.tests.test_client_connection import accept, whole


@pytest.fixture
def errors():
    return []


@pytest.fixture
def loop(errors):
    loop = Loop(on_error=lambda error, **fields: errors.append(error))
    yield loop
    loop.close()


@pytest.fixture
def break_method(monkeypatch):
    """Return a function that makes a method raise at its next call."""

    def replace(owner, name):
        method = getattr(owner, name)

        def fail_once(*arguments):
            monkeypatch.setattr(owner, name, method)
            raise RuntimeError("unexpected")

        monkeypatch.setattr(owner, name, fail_once)

    return replace


def answer(sent, connection, pump, request_id):
    pump.until(lambda: sent.outcomes or sent.outgoing.connection.state == "busy")
    pump.for_s(0.02)
    assert connection.recv(1_000)
    connection.sendall(whole(request_id))
    pump.until(lambda: sent.outcomes)


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (client_connection, "keep_alive_timeout_s"),
        (ConnectionPool, "add_idle"),
        (BodyBudget, "release"),
        (Chart, "fire"),
    ],
)
def test_request_that_ran_is_lost_if_its_response_cannot_be_handled(
    send, upstream, pump, break_method, owner, name
):
    """It must not count as not sent, since it would be run again."""
    sent = send(seconds=0.5)
    connection = accept(upstream, pump)
    pump.until(lambda: sent.outgoing.connection.state == "busy")
    break_method(owner, name)
    answer(sent, connection, pump, b"a1")
    assert [type(outcome) for outcome in sent.outcomes] == [Lost]
    assert not sent.outcomes[0].is_timeout


def test_error_of_a_receiver_leaves_its_connection_to_the_next_request(
    send, upstream, pump, pool, errors
):
    sent = send()
    sent.outgoing.on_outcome = lambda outcome: sent.outcomes.append(1) or 1 / 0
    connection = accept(upstream, pump)
    answer(sent, connection, pump, b"a1")
    second = send(b"a2")
    answer(second, connection, pump, b"a2")
    assert [type(outcome) for outcome in second.outcomes] == [Answered]
    assert (pool.opened, sent.outcomes, len(errors)) == (1, [1], 1)


def test_request_that_its_receiver_sends_next_survives_an_error_of_the_receiver(
    send, upstream, pump
):
    first, following = send(), []

    def send_next(outcome):
        first.outcomes.append(outcome)
        following.append(send(b"a2"))
        raise RuntimeError("unexpected")

    first.outgoing.on_outcome = send_next
    connection = accept(upstream, pump)
    answer(first, connection, pump, b"a1")
    answer(following[0], connection, pump, b"a2")
    assert [type(outcome) for outcome in following[0].outcomes] == [Answered]


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (client_connection, "connect"),
        (client_connection, "ResponseParser"),
        (ConnectionPool, "_take_idle"),
    ],
)
def test_request_counts_as_not_sent_if_its_connection_cannot_be_opened(
    send, upstream, pump, pool, break_method, owner, name
):
    break_method(owner, name)
    sent = send()
    pump.until(lambda: sent.outcomes)
    assert [type(outcome) for outcome in sent.outcomes] == [NotSent]
    assert not pool.connections
    second = send(b"a2")
    answer(second, accept(upstream, pump), pump, b"a2")
    assert [type(outcome) for outcome in second.outcomes] == [Answered]


def test_request_is_not_sent_after_it_has_counted_as_not_sent(
    send, upstream, pump, pool, break_method
):
    pool.ack_timeout_s = 1.0
    break_method(Stream, "set_ack_timeout")
    sent = send()
    pump.for_s(0.1)
    assert [type(outcome) for outcome in sent.outcomes] == [NotSent]
    assert accept(upstream, pump).recv(1_000) == b""


def test_request_is_lost_if_writing_it_raises(send, upstream, pump, break_method):
    first = send()
    answer(first, accept(upstream, pump), pump, b"a1")
    break_method(Stream, "write")
    sent = send(b"a2")
    pump.until(lambda: sent.outcomes)
    assert [type(outcome) for outcome in sent.outcomes] == [Lost]


def test_request_times_out_if_the_end_of_its_connection_raises(
    send, upstream, pump, break_method
):
    sent = send(seconds=0.1)
    connection = accept(upstream, pump)
    break_method(Stream, "close")
    pump.until(lambda: sent.outcomes)
    connection.close()
    assert sent.outcomes == [Lost("no complete response before the deadline", True)]

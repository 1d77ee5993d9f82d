"""Faults of callers and upstreams, and what callers are told about them."""

from socket import create_connection
from threading import Event, Thread

import pytest

from cyclamentally_node.task_messages import (
    CrashObserved,
    DrainCalls,
    ReadinessChanged,
    SuspectsReplaced,
)
from cyclamentally_node.tests.support import COMPLETE_ANSWER, answer, make_key

SHORT = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ngood"
SHORT_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n"
CHUNKED = SHORT_CHUNKED + b"0\r\n\r\n"
SHED = answer(b"", "503 Service Unavailable", "Cyclamentally-Ran: no\r\n")
SHED_FINAL = answer(
    b"",
    "503 Service Unavailable",
    "Cyclamentally-Ran: no\r\nCyclamentally-Retried: 1\r\n",
)
TRUNCATED = (502, "upstream_truncated", "unknown")
BUSY = answer(b"busy", "503 Service Unavailable")
LARGE = b"x" * 1_000_000


def test_complete_answer_is_forwarded_to_its_caller(stack, make_upstream):
    upstream = make_upstream([answer(b"good", headers="X-Round: 3\r\n")])
    stack.route_to(upstream.address)
    response = stack.request()
    assert (response.status, response.data) == (200, b"good")
    assert response.headers["X-Round"] == "3"


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        ([SHORT, None], TRUNCATED),
        ([SHORT_CHUNKED, None], TRUNCATED),
        ([None], (502, "upstream_failed", "unknown")),
        ([b"rubbish\r\n\r\n", None], (502, "upstream_failed", "unknown")),
        ([b"HTTP/1.1 200 OK\r\nContent-Le", None], TRUNCATED),
        ([b"HTTP/1.1 200 OK\r\n\r\nno length", None], TRUNCATED),
        ([SHED], (503, "upstream_overloaded", "no")),
        ([SHED_FINAL], (503, "upstream_overloaded", "no")),
        ([BUSY], (503, None, None)),
    ],
)
def test_failed_post_is_refused_and_sent_only_once(
    stack, make_upstream, script, expected
):
    upstream = make_upstream(script)
    stack.route_to(upstream.address, max_attempts=1)
    response = stack.request("POST", body=b"result")
    assert stack.reason(response) == expected
    assert len(upstream.requests) == 1


@pytest.mark.parametrize(
    "script", [[SHORT, None], [SHORT_CHUNKED, None], [None], [b"rubbish", None]]
)
def test_failed_get_is_retried_at_another_upstream(stack, make_upstream, script):
    bad, good = make_upstream(script), make_upstream()
    stack.route_to(bad.address, good.address)
    for _ in range(6):
        assert stack.request().data == b"good"
    assert len(good.requests) >= 6


@pytest.mark.parametrize("script", [[SHORT, None], [None]])
def test_post_that_may_have_run_is_not_retried(stack, make_upstream, script):
    bad, good = make_upstream(script), make_upstream()
    stack.route_to(bad.address, good.address)
    statuses = [stack.request("POST", body=b"r").status for _ in range(8)]
    refused = statuses.count(502)
    assert refused == len(bad.requests) > 0
    assert len(good.requests) == 8 - refused


def test_post_that_was_shed_is_retried(stack, make_upstream):
    bad, good = make_upstream([SHED]), make_upstream()
    stack.route_to(bad.address, good.address)
    assert [stack.request("POST").status for _ in range(4)] == [200] * 4


def test_post_is_retried_if_an_upstream_refuses_connections(stack, make_upstream):
    dead, good = make_upstream(), make_upstream()
    dead.close()
    stack.route_to(dead.address, good.address)
    assert [stack.request("POST").status for _ in range(4)] == [200] * 4


def test_503_without_the_ran_header_is_forwarded_without_retry(stack, make_upstream):
    upstream = make_upstream([BUSY])
    stack.route_to(upstream.address)
    assert stack.request().data == b"busy"
    assert len(upstream.requests) == 1


def test_late_answer_is_not_given_to_the_next_request(stack, make_upstream):
    release = Event()
    upstream = make_upstream([release, answer(b"late")], [COMPLETE_ANSWER])
    stack.route_to(upstream.address, timeout_ms=200, max_attempts=1)
    refused = stack.request("POST")
    assert stack.reason(refused) == (504, "upstream_timeout", "unknown")
    release.set()
    assert stack.request().data == b"good"


def test_surplus_answer_is_not_given_to_the_next_request(stack, make_upstream):
    upstream = make_upstream([COMPLETE_ANSWER + answer(b"surplus")], [COMPLETE_ANSWER])
    stack.route_to(upstream.address)
    assert stack.request().data == b"good"
    assert stack.request().data == b"good"
    assert len(upstream.requests) == 2


def test_idle_connection_closed_by_the_upstream_is_not_reused(stack, make_upstream):
    upstream = make_upstream([COMPLETE_ANSWER, None])
    stack.route_to(upstream.address)
    for _ in range(3):
        assert stack.request("POST").status == 200
        # A request sent while the upstream closes may have run and is refused as
        # such, so the next one waits for the close.
        assert upstream.closed.wait(5)
        upstream.closed.clear()


def test_large_answer_is_forwarded_completely(stack, make_upstream):
    upstream = make_upstream([answer(LARGE)])
    stack.route_to(upstream.address)
    assert stack.request().data == LARGE


@pytest.mark.parametrize("size", [300_000, 900_000])
def test_truncated_large_answer_is_refused(stack, make_upstream, size):
    upstream = make_upstream([answer(LARGE)[:size], None])
    stack.route_to(upstream.address, max_attempts=1)
    # Answers are buffered until complete, so the caller gets a refusal and not a
    # truncated answer.
    assert stack.reason(stack.request()) == TRUNCATED


def test_chunked_answer_is_forwarded_completely(stack, make_upstream):
    upstream = make_upstream([CHUNKED])
    stack.route_to(upstream.address)
    assert stack.request().data == b"good"


def test_answer_to_head_keeps_its_content_length(stack, make_upstream):
    upstream = make_upstream([b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"])
    stack.route_to(upstream.address)
    response = stack.request("HEAD")
    assert (response.status, response.headers["Content-Length"]) == (200, "4")


def test_disconnect_of_the_caller_closes_the_upstream_connection(stack, make_upstream):
    upstream = make_upstream(["await disconnect"])
    stack.route_to(upstream.address)
    with create_connection(("127.0.0.1", stack.port)) as caller:
        caller.sendall(b"GET /standings HTTP/1.1\r\nHost: x\r\n\r\n")
        assert upstream.received.wait(5)
    assert upstream.disconnected.wait(5)


def test_deadline_is_forwarded_to_the_upstream(stack, make_upstream):
    upstream = make_upstream()
    stack.route_to(upstream.address)
    stack.request(headers={"Cyclamentally-Deadline-Ms": "700"})
    (head,) = upstream.requests
    (line,) = [x for x in head.split("\r\n") if "Deadline-Ms" in x]
    assert 0 < int(line.split(": ")[1]) <= 700


def test_request_that_expires_in_the_queue_is_refused_as_not_run(stack, make_upstream):
    release = Event()
    upstream = make_upstream([release, COMPLETE_ANSWER])
    stack.route_to(upstream.address, max_attempts=1)
    first = Thread(target=stack.request)
    first.start()
    assert upstream.received.wait(5)
    headers = {"Cyclamentally-Deadline-Ms": "100"}
    refused = stack.request("POST", headers=headers)
    assert refused.headers["Cyclamentally-Ran"] == "no"
    assert refused.status in (503, 504)
    release.set()
    first.join()
    assert len(upstream.requests) == 1


@pytest.mark.parametrize(
    ("method", "path", "options", "expected"),
    [
        ("GET", "/other", {}, (404, "no_route", "no")),
        (
            "POST",
            "/standings",
            {"body": b"x" * 1_000_001},
            (413, "body_too_large", "no"),
        ),
        (
            "GET",
            "/standings",
            {"headers": {"Cyclamentally-Deadline-Ms": "soon"}},
            (400, "bad_request", "no"),
        ),
        (
            "POST",
            "/standings",
            {"headers": {"Idempotency-Key": "once"}},
            (400, "bad_key", "no"),
        ),
    ],
)
def test_bad_request_is_refused_as_not_run(
    stack, make_upstream, method, path, options, expected
):
    upstream = make_upstream()
    stack.route_to(upstream.address)
    assert stack.reason(stack.request(method, path, **options)) == expected
    assert upstream.requests == []


@pytest.mark.parametrize(
    ("message", "reason"),
    [(ReadinessChanged(False), "not_ready"), (DrainCalls(), "stopping")],
)
def test_unready_or_stopping_node_refuses_as_not_run(stack, message, reason):
    stack.tell(message)
    assert stack.reason(stack.request()) == (503, reason, "no")


def test_quarantined_request_is_refused(stack, make_upstream):
    upstream = make_upstream([None])
    stack.route_to(upstream.address, max_attempts=1)
    stack.request()
    (seen,) = stack.control.ask("messages")
    assert isinstance(seen, CrashObserved)
    marks = frozenset([seen.mark.fingerprint])
    stack.tell(SuspectsReplaced(frozenset(), marks))
    assert stack.reason(stack.request()) == (422, "request_quarantined", "no")
    assert len(upstream.requests) == 1


def test_crash_counts_as_repeat_only_after_an_earlier_crash(stack, make_upstream):
    first, second = make_upstream([None]), make_upstream([None])
    stack.route_to(first.address, second.address)
    stack.request()
    seen = [m for m in stack.control.ask("messages") if isinstance(m, CrashObserved)]
    assert [entry.mark.is_repeat for entry in seen] == [False, True]
    marked = frozenset([seen[0].mark.fingerprint])
    stack.tell(SuspectsReplaced(marked, frozenset()))
    stack.request("GET")
    seen = [m for m in stack.control.ask("messages") if isinstance(m, CrashObserved)]
    assert seen[2].mark.is_repeat


def post_with_key(stack, key, body=b"result"):
    return stack.request("POST", body=body, headers={"Idempotency-Key": key})


def test_keyed_post_runs_once_and_its_answer_is_repeated(stack, make_upstream):
    upstream = make_upstream()
    stack.route_to(upstream.address)
    key = make_key()
    first, second = post_with_key(stack, key), post_with_key(stack, key)
    assert (first.data, second.data) == (b"good", b"good")
    assert second.headers["Cyclamentally-Repeated"] == "1"
    assert len(upstream.requests) == 1


def test_keyed_post_with_a_lost_answer_never_runs_again(stack, make_upstream):
    upstream = make_upstream([None], [COMPLETE_ANSWER])
    stack.route_to(upstream.address)
    key = make_key()
    assert stack.reason(post_with_key(stack, key))[1:] == ("upstream_failed", "unknown")
    assert stack.reason(post_with_key(stack, key)) == (
        409,
        "outcome_unknown",
        "unknown",
    )
    assert len(upstream.requests) == 1


def test_keyed_post_that_did_not_run_may_be_sent_again(stack, make_upstream):
    upstream = make_upstream([SHED], [COMPLETE_ANSWER])
    stack.route_to(upstream.address, max_attempts=1)
    key = make_key()
    assert stack.reason(post_with_key(stack, key)) == (503, "upstream_overloaded", "no")
    assert post_with_key(stack, key).data == b"good"


def test_key_of_another_request_is_refused(stack, make_upstream):
    upstream = make_upstream()
    stack.route_to(upstream.address)
    key = make_key()
    post_with_key(stack, key)
    assert stack.reason(post_with_key(stack, key, b"other")) == (
        422,
        "key_reused",
        "no",
    )


def test_resend_while_running_is_refused(stack, make_upstream):
    release = Event()
    upstream = make_upstream([release, COMPLETE_ANSWER])
    stack.route_to(upstream.address)
    key = make_key()
    first = Thread(target=post_with_key, args=[stack, key])
    first.start()
    assert upstream.received.wait(5)
    assert stack.reason(post_with_key(stack, key)) == (
        409,
        "key_in_progress",
        "unknown",
    )
    release.set()
    first.join()
    assert len(upstream.requests) == 1


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xff\r\n\r\n",
        b"GET\r\n\r\n",
        b"GET /standings HTTP/9.9\r\nContent-Length: -1\r\n\r\n",
        b"POST /standings HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"POST /s HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET /" + b"a" * 300_000 + b" HTTP/1.1\r\n\r\n",
    ],
)
def test_malformed_http_does_not_affect_other_callers(stack, make_upstream, data):
    upstream = make_upstream()
    stack.route_to(upstream.address)
    with create_connection(("127.0.0.1", stack.port)) as caller:
        caller.settimeout(5)
        caller.sendall(data)
        try:
            head = caller.recv(100)
        except ConnectionResetError:
            head = b""
    assert b" 200 " not in head
    assert stack.request().data == b"good"
    assert len(upstream.requests) == 1

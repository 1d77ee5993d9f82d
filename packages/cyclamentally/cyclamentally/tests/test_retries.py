import pytest

from cyclamentally.errors import ANSWERS, Kind, Ran, Refused
from cyclamentally.profiles import ServicePolicy
from cyclamentally.retries import Failure, RequestAttempts
from cyclamentally.snapshot import Route
from cyclamentally.tests.support import location_of

NOW = 100.0
NOT_RUN = [Kind.UPSTREAM_UNREACHABLE, Kind.UPSTREAM_OVERLOADED]
UNKNOWN = [Kind.UPSTREAM_FAILED, Kind.UPSTREAM_TRUNCATED]


@pytest.fixture
def make_attempts():
    def make(is_idempotent, deadline=NOW + 1, **numbers):
        route = Route("/s", "standings", "lookup")
        policy = ServicePolicy("standings", numbers)
        attempts = RequestAttempts(1, route, policy, is_idempotent, deadline)
        attempts.grant(location_of(1))
        return attempts

    return make


def fail(attempts, kind, now=NOW, **fields):
    return attempts.fail(Failure(Refused(kind, "x", **fields), now))


@pytest.mark.parametrize("kind", NOT_RUN)
@pytest.mark.parametrize("is_idempotent", [True, False])
def test_request_that_did_not_run_is_retried_elsewhere(
    make_attempts, kind, is_idempotent
):
    attempts = make_attempts(is_idempotent)
    fail(attempts, kind)
    assert attempts.state == "waiting"
    assert attempts.call().avoid == ["10.0.0.1:80"]
    assert attempts.call().attempt == 2


@pytest.mark.parametrize("kind", UNKNOWN)
def test_request_that_may_have_run_is_repeated_only_if_idempotent(make_attempts, kind):
    for is_idempotent, state in [(True, "waiting"), (False, "refused")]:
        attempts = make_attempts(is_idempotent)
        fail(attempts, kind)
        assert attempts.state == state


def test_attempts_are_limited(make_attempts):
    attempts = make_attempts(True, max_attempts=2)
    fail(attempts, Kind.UPSTREAM_OVERLOADED)
    attempts.grant(location_of(2))
    fail(attempts, Kind.UPSTREAM_OVERLOADED)
    assert attempts.state == "refused"


def test_deadline_ends_retries(make_attempts):
    attempts = make_attempts(True)
    fail(attempts, Kind.UPSTREAM_UNREACHABLE, now=NOW + 2)
    assert attempts.state == "refused"


def test_final_refusal_of_another_node_is_not_retried(make_attempts):
    attempts = make_attempts(True)
    fail(attempts, Kind.UPSTREAM_OVERLOADED, is_final=True)
    assert attempts.state == "refused"


def test_request_is_sent_to_two_lost_upstreams_at_most(make_attempts):
    attempts = make_attempts(True, max_attempts=5)
    fail(attempts, Kind.UPSTREAM_FAILED)
    attempts.grant(location_of(2))
    fail(attempts, Kind.UPSTREAM_FAILED)
    assert attempts.state == "refused"


def test_retry_without_a_slot_does_not_say_not_run_after_unknown(make_attempts):
    attempts = make_attempts(True)
    fail(attempts, Kind.UPSTREAM_FAILED)
    attempts.deny(Refused(Kind.QUEUE_FULL, "x"), NOW)
    assert ANSWERS[attempts.refusal.kind].ran == Ran.UNKNOWN


def test_retry_refused_as_not_run_does_not_hide_an_unknown_attempt(make_attempts):
    attempts = make_attempts(True, max_attempts=2)
    fail(attempts, Kind.UPSTREAM_FAILED)
    attempts.grant(location_of(2))
    fail(attempts, Kind.UPSTREAM_OVERLOADED)
    assert attempts.state == "refused"
    assert ANSWERS[attempts.refusal.kind].ran == Ran.UNKNOWN


def test_every_kind_has_an_answer():
    assert ANSWERS.keys() == set(Kind)

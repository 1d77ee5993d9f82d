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
def make_life():
    def make(is_idempotent, deadline=NOW + 1, **numbers):
        route = Route("/s", "standings", "lookup")
        policy = ServicePolicy("standings", numbers)
        life = RequestAttempts(1, route, policy, is_idempotent, deadline)
        life.grant(location_of(1))
        return life

    return make


def fail(life, kind, now=NOW, **fields):
    return life.fail(Failure(Refused(kind, "x", **fields), now))


@pytest.mark.parametrize("kind", NOT_RUN)
@pytest.mark.parametrize("is_idempotent", [True, False])
def test_request_that_did_not_run_is_retried_elsewhere(make_life, kind, is_idempotent):
    life = make_life(is_idempotent)
    fail(life, kind)
    assert life.state == "waiting"
    assert life.call().avoid == ["10.0.0.1:80"]
    assert life.call().attempt == 2


@pytest.mark.parametrize("kind", UNKNOWN)
def test_request_that_may_have_run_is_repeated_only_if_idempotent(make_life, kind):
    for is_idempotent, state in [(True, "waiting"), (False, "refused")]:
        life = make_life(is_idempotent)
        fail(life, kind)
        assert life.state == state


def test_attempts_are_limited(make_life):
    life = make_life(True, max_attempts=2)
    fail(life, Kind.UPSTREAM_OVERLOADED)
    life.grant(location_of(2))
    fail(life, Kind.UPSTREAM_OVERLOADED)
    assert life.state == "refused"


def test_deadline_ends_retries(make_life):
    life = make_life(True)
    fail(life, Kind.UPSTREAM_UNREACHABLE, now=NOW + 2)
    assert life.state == "refused"


def test_retries_of_a_node_further_on_are_not_repeated(make_life):
    life = make_life(True)
    fail(life, Kind.UPSTREAM_OVERLOADED, is_final=True)
    assert life.state == "refused"


def test_request_is_sent_to_two_lost_upstreams_at_most(make_life):
    life = make_life(True, max_attempts=5)
    fail(life, Kind.UPSTREAM_FAILED)
    life.grant(location_of(2))
    fail(life, Kind.UPSTREAM_FAILED)
    assert life.state == "refused"


def test_retry_without_a_slot_does_not_say_not_run_after_unknown(make_life):
    life = make_life(True)
    fail(life, Kind.UPSTREAM_FAILED)
    life.deny(Refused(Kind.QUEUE_FULL, "x"), NOW)
    assert ANSWERS[life.refusal.kind].ran == Ran.UNKNOWN


def test_retry_refused_as_not_run_does_not_hide_an_unknown_attempt(make_life):
    life = make_life(True, max_attempts=2)
    fail(life, Kind.UPSTREAM_FAILED)
    life.grant(location_of(2))
    fail(life, Kind.UPSTREAM_OVERLOADED)
    assert life.state == "refused"
    assert ANSWERS[life.refusal.kind].ran == Ran.UNKNOWN


def test_every_kind_has_an_answer():
    assert ANSWERS.keys() == set(Kind)

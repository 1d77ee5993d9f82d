from random import Random

import pytest

from cyclamentally.budgets import RetryBudgetRule, ServiceRetryBudget
from cyclamentally.errors import ANSWERS, Kind, Ran, Refused
from cyclamentally.forwarding import MAX_OFFERS, Forwarding, OfferResult
from cyclamentally.hosts import HostEntry, UpstreamEntry
from cyclamentally.placing import UpstreamView
from cyclamentally.routes import Destination, RequestKind, RouteRule

NODES = 3


def make_rule(kind=RequestKind.IDEMPOTENT, attempts=2):
    parts = (Destination("shop", 1),)
    return RouteRule("r", "h", "/a/", parts, kind, 1.0, 0.3, attempts, 1)


def view(name):
    upstream = UpstreamEntry(name, "shop", 4, False)
    return UpstreamView(
        HostEntry(f"host-{name}", "d", "r", "10.0.0.1:1", upstream), 0.0
    )


@pytest.fixture
def budget():
    return ServiceRetryBudget(RetryBudgetRule(0.2, 10.0, 60.0))


@pytest.fixture
def start(budget):
    def make(kind=RequestKind.IDEMPOTENT, attempts=2):
        life = Forwarding(1, make_rule(kind, attempts), "shop", 0.0, 1.0, budget)
        life.fire("offered", view("u1"))
        return life

    return make


def failed(kind, now=0.1, wait=None):
    return OfferResult(None, Refused(kind, "", wait), now, NODES)


def test_a_refusal_of_a_gate_is_offered_elsewhere_even_if_it_may_run_once(start):
    life = start(RequestKind.ONCE)
    life.fail(failed(Kind.QUEUE_FULL))
    assert life.state == "placing"


@pytest.mark.parametrize("kind", [k for k in Kind if ANSWERS[k].ran == Ran.UNKNOWN])
def test_what_may_have_run_once_is_never_sent_again(start, kind):
    life = start(RequestKind.ONCE)
    life.fail(failed(kind))
    assert life.state == "refused"
    assert ANSWERS[life.final_refusal().kind].ran == Ran.UNKNOWN


@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD])
def test_a_lost_request_is_repeated_if_it_may_be(start, kind):
    life = start(kind)
    life.fail(failed(Kind.UPSTREAM_FAILED))
    assert life.state == "placing"


def test_a_loss_is_not_hidden_by_a_later_refusal(start):
    life = start()
    life.fail(failed(Kind.UPSTREAM_FAILED))
    life.fire("no_place", failed(Kind.NO_UPSTREAM))
    assert life.final_refusal().kind == Kind.UPSTREAM_FAILED


def test_attempts_at_upstreams_are_bounded_by_the_route(start):
    life = start(attempts=2)
    life.fail(failed(Kind.UPSTREAM_OVERLOADED))
    life.fire("offered", view("u2"))
    life.fail(failed(Kind.UPSTREAM_OVERLOADED))
    assert life.state == "refused"


def test_offers_to_gates_are_bounded(start):
    life = start()
    for number in range(MAX_OFFERS):
        assert life.state == "offered"
        life.fail(failed(Kind.QUEUE_FULL))
        if life.state == "placing":
            life.fire("offered", view(f"v{number}"))
    assert life.state == "refused"


def test_a_failure_answer_is_kept_for_when_nothing_better_comes(start):
    life = start()
    life.fire("failure_answer", OfferResult("error 500", None, 0.1, NODES))
    assert life.state == "placing"
    life.fire("no_place", failed(Kind.NO_UPSTREAM))
    assert life.state == "answered"
    assert life.answer == "error 500"


def test_a_failure_answer_to_what_may_run_once_is_given(start):
    life = start(RequestKind.ONCE)
    life.fire("failure_answer", OfferResult("error 500", None, 0.1, NODES))
    assert life.state == "answered"


def test_the_shortest_wait_is_named_to_the_caller(start):
    life = start(RequestKind.ONCE)
    life.fail(failed(Kind.QUEUE_FULL, wait=0.4))
    life.fire("offered", view("u2"))
    life.fail(failed(Kind.QUEUE_FULL, wait=0.2))
    life.fire("no_place", failed(Kind.NO_UPSTREAM))
    assert life.final_refusal().wait == 0.2


def test_the_budget_bounds_repeats_over_a_window(budget):
    for step in range(100):
        budget.note_first_send(step * 0.01)
    allowed = sum(budget.take(1.0, NODES) for _ in range(100))
    assert allowed <= 0.2 * 100 + 60 / NODES
    assert budget.take(1.0, NODES) is False
    assert budget.take(20.0, NODES) is True


def test_no_mix_of_results_runs_a_request_twice_that_may_run_once(budget):
    random = Random(4)
    for seed in range(2_000):
        random.seed(seed)
        life = Forwarding(1, make_rule(RequestKind.ONCE, 5), "shop", 0, 1, budget)
        may_have_run = False
        while life.state in ("placing", "offered"):
            if life.state == "placing":
                assert not may_have_run
                life.fire("offered", view(f"u{life.offers}"))
                continue
            kind = random.choice(list(Kind))
            may_have_run |= ANSWERS[kind].ran == Ran.UNKNOWN
            life.fail(failed(kind, random.random()))
        refusal = life.final_refusal()
        if may_have_run:
            assert ANSWERS[refusal.kind].ran == Ran.UNKNOWN

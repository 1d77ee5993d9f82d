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
        forwarding = Forwarding(1, make_rule(kind, attempts), "shop", 0.0, 1.0, budget)
        forwarding.fire("offered", view("u1"))
        return forwarding

    return make


def failed(kind, now=0.1, wait=None):
    return OfferResult(None, Refused(kind, "", wait), now, NODES)


def test_request_refused_by_a_gate_is_offered_elsewhere_even_if_not_idempotent(start):
    forwarding = start(RequestKind.ONCE)
    forwarding.fail(failed(Kind.QUEUE_FULL))
    assert forwarding.state == "placing"


@pytest.mark.parametrize("kind", [k for k in Kind if ANSWERS[k].ran == Ran.UNKNOWN])
def test_non_idempotent_request_that_may_have_run_is_not_retried(start, kind):
    forwarding = start(RequestKind.ONCE)
    forwarding.fail(failed(kind))
    assert forwarding.state == "refused"
    assert ANSWERS[forwarding.final_refusal().kind].ran == Ran.UNKNOWN


@pytest.mark.parametrize("kind", [RequestKind.IDEMPOTENT, RequestKind.DOWNLOAD])
def test_idempotent_request_is_retried_after_an_upstream_failure(start, kind):
    forwarding = start(kind)
    forwarding.fail(failed(Kind.UPSTREAM_FAILED))
    assert forwarding.state == "placing"


def test_a_loss_is_not_hidden_by_a_later_refusal(start):
    forwarding = start()
    forwarding.fail(failed(Kind.UPSTREAM_FAILED))
    forwarding.fire("no_place", failed(Kind.NO_UPSTREAM))
    assert forwarding.final_refusal().kind == Kind.UPSTREAM_FAILED


def test_attempts_at_upstreams_are_bounded_by_the_route(start):
    forwarding = start(attempts=2)
    forwarding.fail(failed(Kind.UPSTREAM_OVERLOADED))
    forwarding.fire("offered", view("u2"))
    forwarding.fail(failed(Kind.UPSTREAM_OVERLOADED))
    assert forwarding.state == "refused"


def test_offers_to_gates_are_bounded(start):
    forwarding = start()
    for number in range(MAX_OFFERS):
        assert forwarding.state == "offered"
        forwarding.fail(failed(Kind.QUEUE_FULL))
        if forwarding.state == "placing":
            forwarding.fire("offered", view(f"v{number}"))
    assert forwarding.state == "refused"


def test_failure_answer_is_returned_if_no_retry_succeeds(start):
    forwarding = start()
    forwarding.fire("failure_answer", OfferResult("error 500", None, 0.1, NODES))
    assert forwarding.state == "placing"
    forwarding.fire("no_place", failed(Kind.NO_UPSTREAM))
    assert forwarding.state == "answered"
    assert forwarding.answer == "error 500"


def test_failure_answer_to_a_non_idempotent_request_is_returned_without_retry(start):
    forwarding = start(RequestKind.ONCE)
    forwarding.fire("failure_answer", OfferResult("error 500", None, 0.1, NODES))
    assert forwarding.state == "answered"


def test_the_shortest_wait_is_named_to_the_caller(start):
    forwarding = start(RequestKind.ONCE)
    forwarding.fail(failed(Kind.QUEUE_FULL, wait=0.4))
    forwarding.fire("offered", view("u2"))
    forwarding.fail(failed(Kind.QUEUE_FULL, wait=0.2))
    forwarding.fire("no_place", failed(Kind.NO_UPSTREAM))
    assert forwarding.final_refusal().wait == 0.2


def test_the_budget_bounds_repeats_over_a_window(budget):
    for step in range(100):
        budget.note_first_send(step * 0.01)
    allowed = sum(budget.take(1.0, NODES) for _ in range(100))
    assert allowed <= 0.2 * 100 + 60 / NODES
    assert budget.take(1.0, NODES) is False
    assert budget.take(20.0, NODES) is True


def test_random_results_never_run_a_non_idempotent_request_twice(budget):
    random = Random(4)
    for seed in range(2_000):
        random.seed(seed)
        forwarding = Forwarding(1, make_rule(RequestKind.ONCE, 5), "shop", 0, 1, budget)
        may_have_run = False
        while forwarding.state in ("placing", "offered"):
            if forwarding.state == "placing":
                assert not may_have_run
                forwarding.fire("offered", view(f"u{forwarding.offers}"))
                continue
            kind = random.choice(list(Kind))
            may_have_run |= ANSWERS[kind].ran == Ran.UNKNOWN
            forwarding.fail(failed(kind, random.random()))
        refusal = forwarding.final_refusal()
        if may_have_run:
            assert ANSWERS[refusal.kind].ran == Ran.UNKNOWN


def test_final_failure_answer_is_returned_without_a_retry(start, budget):
    """Its run would make the calls again that lack the retry budget."""
    forwarding = start()
    result = OfferResult("error 500", None, 0.1, NODES, is_final=True)
    forwarding.fire("failure_answer", result)
    assert forwarding.state == "answered"
    assert forwarding.lacked_budget
    assert not budget.repeats


def test_request_without_retry_budget_is_marked(start, budget):
    for _ in range(100):
        budget.note_repeat(0.0)
    forwarding = start()
    forwarding.fail(failed(Kind.UPSTREAM_OVERLOADED))
    assert forwarding.state == "refused"
    assert forwarding.lacked_budget

"""Plays callers that come back to upstreams which all shed, and counts the served."""

from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from cyclamentally.budgets import RetryBudgetRule
from cyclamentally.errors import Kind, Refused
from cyclamentally.forwarding import OfferResult
from cyclamentally.hosts import HostEntry, UpstreamEntry
from cyclamentally.intake import Intake
from cyclamentally.placing import UpstreamView
from cyclamentally.returning_callers import (
    MAX_KNOWN_ROUTES,
    CallerDeadlines,
    ExpectedReturns,
)
from cyclamentally.routes import Destination, RequestKind, RouteRule

NODES = 24
RATE_PER_S = 120.0
DURATION_S = 30.0
SHED_CHANCE = 0.45
TRIES = 3
DEADLINE_S = 6.0
HOP_S = 0.01
WAIT_S = 0.1
PARTS = (Destination("shop", 1),)
ROUTE = RouteRule("r", "h", "/a/", PARTS, RequestKind.IDEMPOTENT, 6.0, 1.0, 3, 1)


class Play:
    """Callers of 24 nodes; every upstream sheds; a caller comes back twice."""

    def __init__(self, seed, tells_deadline):
        self.random = Random(seed)
        self.tells_deadline = tells_deadline
        self.nodes = [Intake(RetryBudgetRule(0.2, 10.0, 56.0)) for _ in range(NODES)]
        self.events = []
        self.numbers = count()
        self.requests = []
        self.repeats = []
        self.outcomes = {"served": 0, "refused": 0}

    def run(self):
        now = 0.0
        while now < DURATION_S:
            now += self.random.expovariate(RATE_PER_S)
            node = self.random.choice(self.nodes)
            heappush(self.events, (now, next(self.numbers), node, 1, now))
        while self.events:
            now, _, node, tries, began = heappop(self.events)
            self.arrive(node, tries, began, now)

    def arrive(self, node, tries, began, now):
        left_s = DEADLINE_S - (now - began) if self.tells_deadline else None
        forwarding = node.start(ROUTE, "shop", f"{next(self.numbers)}", left_s, now)
        self.requests.append(now)
        while forwarding.state == "placing":
            upstream = UpstreamEntry(f"u{forwarding.offers}", "shop", 9, False)
            entry = HostEntry("h", "d", "r", "a:1", upstream)
            forwarding.fire("offered", UpstreamView(entry, 0.0))
            if forwarding.offers > 1:
                self.repeats.append(now)
            if self.random.random() >= SHED_CHANCE:
                forwarding.fire("answer", OfferResult("200", None, now, NODES))
                continue
            refusal = Refused(Kind.UPSTREAM_OVERLOADED, "shed")
            forwarding.fail(OfferResult(None, refusal, now + HOP_S, NODES))
        if forwarding.state == "answered":
            self.outcomes["served"] += 1
        elif tries == TRIES:
            self.outcomes["refused"] += 1
        else:
            again = (now + WAIT_S, next(self.numbers), node, tries + 1, began)
            heappush(self.events, again)

    def refused_share(self):
        return self.outcomes["refused"] / sum(self.outcomes.values())


@pytest.fixture(params=[1, 2, 3])
def play(request):
    def make(tells_deadline=True):
        play = Play(request.param, tells_deadline)
        play.run()
        return play

    return make


@pytest.fixture
def deadlines():
    return CallerDeadlines()


def test_callers_that_come_back_get_the_retries_that_are_left(play):
    """Without the order, first tries use up the budget that last tries need."""
    assert play().refused_share() <= 0.75 * play(tells_deadline=False).refused_share()


def test_repeats_keep_to_the_rule(play):
    played = play()
    for start in played.repeats[::10]:
        repeats = sum(start <= t < start + 10.0 for t in played.repeats)
        requests = sum(start <= t < start + 10.0 for t in played.requests)
        assert repeats <= 0.2 * requests + 56.0


def test_a_caller_with_less_time_than_others_is_returning(deadlines):
    assert not deadlines.is_returning("r", 5.0)
    assert not deadlines.is_returning("r", 4.99)
    assert deadlines.is_returning("r", 4.9)
    assert not deadlines.is_returning("other", 4.9)
    assert deadlines.is_returning("r", None)


def test_known_routes_are_bounded(deadlines):
    for number in range(MAX_KNOWN_ROUTES + 10):
        deadlines.is_returning(f"r{number}", 5.0)
    assert len(deadlines.longest) == MAX_KNOWN_ROUTES


def test_refused_callers_are_expected_until_their_wait_is_over():
    returns = ExpectedReturns()
    assert not returns.are_due(1.0)
    returns.note(0.3, 1.0)
    returns.note(0.1, 1.1)
    assert returns.are_due(1.3)
    assert not returns.are_due(1.5)


def test_callers_with_a_long_wait_do_not_hold_up_a_shutdown():
    returns = ExpectedReturns()
    returns.note(5.0, 1.0)
    assert not returns.are_due(1.0)


def test_refusals_during_the_wait_do_not_prolong_a_shutdown():
    returns = ExpectedReturns()
    returns.note(0.3, 1.0)
    returns.start_waiting()
    returns.note(0.3, 1.3)
    assert not returns.are_due(1.5)

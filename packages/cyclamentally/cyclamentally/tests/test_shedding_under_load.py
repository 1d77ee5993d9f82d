"""Plays upstreams that shed, with calls behind them, and counts arrivals per service.

The operator's rule: in any window, a service gets at most a share of its requests,
plus a slack, as arrivals beyond the first of each request. The calls of a repeated
run count as such arrivals.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

import pytest

from cyclamentally.budgets import RetryBudgetRule, RetryBudgets
from cyclamentally.errors import Kind, Refused
from cyclamentally.forwarding import Forwarding, OfferResult
from cyclamentally.gate_messages import Load
from cyclamentally.hosts import HostEntry, UpstreamEntry
from cyclamentally.placing import NearestWithCapacity, UpstreamViews, pause_for_refusal
from cyclamentally.repeated_runs import RepeatedRuns
from cyclamentally.routes import Destination, RequestKind, RouteRule
from cyclamentally.shedding import ShedShare

HOSTS = 24
RULE = RetryBudgetRule(0.2, 10.0, 56.0)
RATE_PER_S = 180.0
DURATION_S = 12.0
SHED_CHANCE = 0.45
WORK_S = {"front": 0.2, "back": 0.05}
HOP_S = 0.005


def rule_of(service):
    parts = (Destination(service, 1),)
    return RouteRule(service, "h", "/", parts, RequestKind.IDEMPOTENT, 2.0, 0.6, 3, 1)


class Request:
    """A request at its sender; ``parent`` is the run that has made it."""

    def __init__(self, sender, service, request_id, parent, forwarding):
        self.sender = sender
        self.service = service
        self.request_id = request_id
        self.parent = parent
        self.forwarding = forwarding

    def is_repeat(self):
        """Whether the rule counts its present offer as a repeat."""
        is_first = self.forwarding.offers == 1
        return not is_first or (self.parent is not None and self.parent.is_repeat)


class Run:
    """A run at an upstream of the front service, which waits for its calls."""

    def __init__(self, request, host, calls):
        self.request = request
        self.host = host
        self.is_repeat = request.is_repeat()
        self.open_calls = calls
        self.has_failed = False
        self.call_lacked_budget = False


class Fleet:
    """24 hosts; half run each service; some upstreams of the back service shed."""

    def __init__(self, seed, shedding, calls_per_run=2):
        self.random = Random(seed)
        self.calls_per_run = calls_per_run
        self.numbers = count(1)
        self.events = []
        self.entries = {"front": [], "back": []}
        for number in range(HOSTS):
            service = ("front", "back")[number % 2]
            upstream = UpstreamEntry(f"u{number}", service, 9, False)
            domain = f"d{number // 2 % 6}"
            entry = HostEntry(f"h{number}", domain, "r", f"a{number}:1", upstream)
            self.entries[service].append(entry)
        self.shedding = {e.name for e in self.entries["back"][:shedding]}
        self.shares = {e.name: ShedShare() for e in sum(self.entries.values(), [])}
        self.views, self.budgets, self.repeated = {}, {}, {}
        for number, name in enumerate(self.shares):
            placement = NearestWithCapacity(Random(number))
            self.views[name] = UpstreamViews(f"d{number // 2 % 6}", "r", placement)
            self.views[name].update(sum(self.entries.values(), []))
            self.budgets[name] = RetryBudgets(RULE)
            self.repeated[name] = RepeatedRuns()
        self.requests = {"front": [], "back": []}
        self.repeats = {"front": [], "back": []}
        self.outcomes = {"served": 0, "failed": 0}
        self.back_calls = {"answered": 0, "refused": 0}

    def play(self):
        now = 0.0
        while now < DURATION_S:
            now += self.random.expovariate(RATE_PER_S)
            self.at(now, self.arrive, now)
        while self.events:
            now, _, action, arguments = heappop(self.events)
            action(*arguments)

    def at(self, when, action, *arguments):
        heappush(self.events, (when, next(self.numbers), action, arguments))

    def arrive(self, now):
        sender = f"h{self.random.randrange(HOSTS)}"
        self.start(sender, "front", f"{next(self.numbers)}", None, now)

    def start(self, sender, service, request_id, parent, now):
        is_repeat = self.repeated[sender].has_made(request_id)
        budget = self.budgets[sender].note_request(service, is_repeat, now)
        self.requests[service].append(now)
        forwarding = Forwarding(
            1, rule_of(service), service, now, now + 2.0, budget, is_repeat
        )
        self.offer(Request(sender, service, request_id, parent, forwarding), now)

    def offer(self, request, now):
        forwarding = request.forwarding
        entries = self.entries[request.service]
        views = self.views[request.sender]
        view = views.choose(entries, forwarding.rule, forwarding.tried, now)
        if view is None:
            self.end(request, False, now)
            return
        forwarding.fire("offered", view)
        view.in_flight += 1
        if request.is_repeat():
            self.repeats[request.service].append(now)
        host = view.entry.name
        if host in self.shedding and self.random.random() < SHED_CHANCE:
            self.at(now + 2 * HOP_S, self.reply, request, host, "shed", now + 2 * HOP_S)
            return
        work = self.random.uniform(0.7, 1.3) * WORK_S[request.service]
        if request.service == "back":
            self.at(now + work, self.reply, request, host, "good", now + work)
            return
        run = Run(request, host, self.calls_per_run)
        if forwarding.is_repeat:
            self.repeated[host].update(request.request_id, True)
        for _ in range(self.calls_per_run):
            call_id = f"{request.request_id}.{next(self.numbers)}"
            self.at(now + work, self.start, host, "back", call_id, run, now + work)

    def reply(self, request, host, outcome, now, is_final=False):
        forwarding = request.forwarding
        view = forwarding.view
        view.in_flight -= 1
        self.shares[host].note(outcome == "shed")
        view.update_load(Load(1, 0, 9, 0.1, self.shares[host].share), "r", now)
        if outcome == "good":
            forwarding.fire("answer", OfferResult("200", None, now, HOSTS))
        elif outcome == "bad":
            result = OfferResult("500", None, now, HOSTS, is_final)
            forwarding.fire("failure_answer", result)
        else:
            refusal = Refused(Kind.UPSTREAM_OVERLOADED, "shed")
            pause_for_refusal(view, refusal, now)
            forwarding.fail(OfferResult(None, refusal, now, HOSTS))
        if forwarding.state == "placing":
            self.offer(request, now)
        else:
            self.end(request, forwarding.answer == "200", now)

    def end(self, request, is_served, now):
        run = request.parent
        if run is None:
            self.outcomes["served" if is_served else "failed"] += 1
            return
        self.back_calls["answered" if is_served else "refused"] += 1
        run.has_failed |= not is_served
        run.call_lacked_budget |= request.forwarding.lacked_budget
        run.open_calls -= 1
        if run.open_calls == 0:
            self.repeated[run.host].update(run.request.request_id, False)
            outcome = "bad" if run.has_failed else "good"
            is_final = run.has_failed and run.call_lacked_budget
            self.reply(run.request, run.host, outcome, now, is_final)

    def excess(self, service):
        """Return the largest excess of repeats over the rule in any window."""
        repeats = self.repeats[service]
        worst = float("-inf")
        for start in repeats:
            end = start + RULE.window_s
            found = sum(start <= t < end for t in repeats)
            sent = sum(start <= t < end for t in self.requests[service])
            worst = max(worst, found - RULE.ratio * sent - RULE.slack)
        return worst


@pytest.fixture(params=[1, 2, 3])
def play(request):
    def make(shedding, calls_per_run=2):
        fleet = Fleet(request.param, shedding, calls_per_run)
        fleet.play()
        return fleet

    return make


@pytest.mark.parametrize("service", ["front", "back"])
@pytest.mark.parametrize("calls_per_run", [1, 2, 4])
def test_repeats_keep_to_the_rule_while_all_upstreams_of_a_service_shed(
    play, service, calls_per_run
):
    """A repeated run makes all its calls again, which no retry budget can prevent."""
    assert play(12, calls_per_run).excess(service) <= 0


def test_retries_go_to_calls_rather_than_to_the_runs_that_made_them(play):
    """A repeated run costs as many repeats as it makes calls; a call costs one."""
    fleet = play(12)
    assert fleet.outcomes["served"] >= 0.38 * sum(fleet.outcomes.values())


def test_one_upstream_that_sheds_is_avoided_by_all_senders(play):
    fleet = play(shedding=1)
    assert fleet.excess("back") <= 0
    assert fleet.outcomes["served"] >= 0.99 * sum(fleet.outcomes.values())
    assert len(fleet.repeats["back"]) <= 0.03 * len(fleet.requests["back"])

"""Plays a sender with upstreams of unequal speed, and counts its late requests."""

from random import Random

import pytest

from cyclamentally.gate_messages import Load
from cyclamentally.hosts import HostEntry, UpstreamEntry
from cyclamentally.placing import NearestWithCapacity, UpstreamViews
from cyclamentally.routes import Destination, RequestKind, RouteRule
from cyclamentally.typical_times import MAX_KNOWN_ROUTES, TypicalTimes

# Speeds of the users' servers, a failure domain's worth of them.
SPEEDS = [0.4, 0.5, 0.5, 0.7, 0.7, 1.0, 1.0, 1.0, 1.4, 1.4, 1.7, 2.1]
WORK_S = [0.33, 0.33, 0.43, 0.08]
TARGET_S = 0.6
REQUESTS = 190
PARTS = (Destination("shop", 1),)


def rule(number):
    kind = RequestKind.IDEMPOTENT
    return RouteRule(f"r{number}", "h", f"/{number}/", PARTS, kind, 5.0, TARGET_S, 3, 1)


@pytest.fixture
def entries():
    upstreams = [UpstreamEntry(f"u{n}", "shop", 4, False) for n in range(len(SPEEDS))]
    return [HostEntry(u.name, "d", "r", f"{u.name}:1", u) for u in upstreams]


@pytest.fixture
def typical():
    return TypicalTimes()


def late_share(entries, seed):
    """One node sends a request every 0.2 s: it meets each upstream a few times."""
    random = Random(seed)
    views = UpstreamViews("d", "r", NearestWithCapacity(random))
    views.update(entries)
    late = 0
    for number in range(REQUESTS):
        now = 0.2 * number
        route = random.randrange(len(WORK_S))
        view = views.choose(entries, rule(route), set(), now)
        usual = WORK_S[route] / SPEEDS[entries.index(view.entry)]
        late += usual * random.uniform(0.7, 1.3) > TARGET_S
        view.update_load(Load(0, 0, 4, usual), f"r{route}", now)
    return late / REQUESTS


def test_slow_upstreams_are_not_tried_on_each_route(entries):
    """Each try of a slow upstream is a late request; there are 12 times 4 to make."""
    shares = [late_share(entries, seed) for seed in range(8)]
    assert sum(shares) / len(shares) <= 0.025


def test_slowness_on_one_route_applies_to_others(entries):
    views = UpstreamViews("d", "r", NearestWithCapacity(Random(1)))
    views.update(entries)
    slow, usual = views.views["u0"], views.views["u1"]
    for now in range(10):
        usual.update_load(Load(0, 0, 4, 0.1), "a", now)
        usual.update_load(Load(0, 0, 4, 0.3), "b", now)
        slow.update_load(Load(0, 0, 4, 0.2), "a", now)
    assert slow.finish_time("b", 10.0) > 1.3 * usual.finish_time("b", 10.0)


def test_refusal_says_nothing_about_the_service_time(entries):
    views = UpstreamViews("d", "r", NearestWithCapacity(Random(1)))
    views.update(entries)
    view = views.views["u0"]
    view.update_load(Load(4, 1, 4, 0.05), "a", 0.0, is_answered=False)
    assert view.service_times == {}
    assert view.load.busy == 4


def test_known_routes_are_bounded(typical):
    for number in range(MAX_KNOWN_ROUTES + 10):
        typical.update(f"r{number}", 0.1)
    assert len(typical.means) == MAX_KNOWN_ROUTES

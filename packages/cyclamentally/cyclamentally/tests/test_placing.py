from random import Random

import pytest

from cyclamentally.errors import Kind, Refused
from cyclamentally.gate_messages import Load
from cyclamentally.hosts import HostEntry, UpstreamEntry
from cyclamentally.placing import (
    LEFT_MEMORY_S,
    LEFT_PAUSE_S,
    OVERLOAD_PAUSE_S,
    QUEUE_FULL_PAUSE_S,
    RESTART_PAUSE_S,
    NearestWithCapacity,
    UpstreamViews,
    pause_for_refusal,
)
from cyclamentally.routes import Destination, RequestKind, RouteRule

# Interval of the heartbeats of the users' upstreams.
HEARTBEAT_S = 1.5


def make_rule(kind=RequestKind.IDEMPOTENT):
    parts = (Destination("shop", 1),)
    return RouteRule("r", "h", "/a/", parts, kind, 1.0, 0.3, 2, 1)


def entry(name, domain="d1", region="r1", slots=4):
    upstream = UpstreamEntry(f"u-{name}", "shop", slots, False)
    return HostEntry(name, domain, region, "10.0.0.1:1", upstream)


@pytest.fixture
def entries():
    return [entry("near"), entry("aside", "d2"), entry("far", "d3", "r2")]


@pytest.fixture
def views(entries):
    views = UpstreamViews("d1", "r1", NearestWithCapacity(Random(1)))
    views.update(entries)
    return views


def choose(views, entries, tried=(), now=0.0, kind=RequestKind.IDEMPOTENT):
    view = views.choose(entries, make_rule(kind), set(tried), now)
    return view and view.entry.name


def test_the_nearest_with_room_is_chosen(views, entries):
    assert choose(views, entries) == "near"


def test_a_full_upstream_is_passed_over(views, entries):
    views.views["near"].update_load(Load(4, 2, 4, 0.1), "r", 0.0)
    assert choose(views, entries) == "aside"


def test_a_slow_upstream_near_by_is_passed_over(views, entries):
    views.views["near"].update_load(Load(0, 0, 4, 0.25), "r", 0.0)
    assert choose(views, entries) == "aside"


def test_an_upstream_that_had_the_request_gets_it_no_more(views, entries):
    assert choose(views, entries, tried=["u-near"]) == "aside"


@pytest.mark.parametrize(
    ("kind", "pause"),
    [
        (Kind.QUEUE_FULL, QUEUE_FULL_PAUSE_S),
        (Kind.NOT_READY, RESTART_PAUSE_S),
        (Kind.UPSTREAM_LEFT, LEFT_PAUSE_S),
        (Kind.STOPPING, LEFT_PAUSE_S),
        (Kind.UPSTREAM_OVERLOADED, OVERLOAD_PAUSE_S),
    ],
)
def test_a_refusal_pauses_its_upstream_by_its_reason(views, entries, kind, pause):
    pause_for_refusal(views.views["near"], Refused(kind, "", 1.0), 0.0)
    assert choose(views, entries, now=pause - 0.01) == "aside"
    assert choose(views, entries, now=pause + 0.01) == "near"


def test_full_link_refusal_does_not_pause_the_upstream(views, entries):
    pause_for_refusal(views.views["near"], Refused(Kind.LINK_FULL, "", 1.0), 0.0)
    assert choose(views, entries, now=0.001) == "near"


def test_a_restarted_node_is_asked_again_before_its_upstreams_next_heartbeat():
    assert RESTART_PAUSE_S < HEARTBEAT_S / 2


def test_a_paused_upstream_is_offered_a_request_only_at_first(views):
    alone = [entry("near")]
    pause_for_refusal(views.views["near"], Refused(Kind.UPSTREAM_LEFT, ""), 0.0)
    assert choose(views, alone, now=0.1) == "near"
    assert choose(views, alone, tried=["u-near"], now=0.1) is None


def test_a_host_that_does_not_answer_is_paused_longer_each_time(views, entries):
    near = views.views["near"]
    pauses = []
    for _ in range(3):
        near.fail(0.0)
        pauses.append(near.paused_until)
    assert pauses == sorted(set(pauses))
    near.succeed()
    assert choose(views, entries) == "near"


def test_restarted_upstream_is_not_paused_for_its_former_lifetime(views, entries):
    pause_for_refusal(views.views["near"], Refused(Kind.UPSTREAM_LEFT, ""), 0.0)
    upstream = UpstreamEntry("u-next", "shop", 4, False)
    again = HostEntry("near", "d1", "r1", "10.0.0.1:1", upstream)
    views.update([again, *entries[1:]])
    assert choose(views, [again, *entries[1:]], now=0.1) == "near"


def test_upstream_that_has_left_is_not_chosen_until_its_next_lifetime(views, entries):
    views.views["near"].note_leaving(1.0)
    assert choose(views, entries, now=2.0) == "aside"
    views.update(entries)
    assert choose(views, entries, now=2.0) == "aside"
    assert choose(views, entries[:1], now=2.0) is None
    later = entry("near")
    later.upstream.started_ms = 9_000
    views.update([later, *entries[1:]])
    assert choose(views, [later, *entries[1:]], now=2.0) == "near"
    views.views["near"].note_leaving(3.0)
    views.update([later, *entries[1:]])
    assert choose(views, [later, *entries[1:]], now=4.0) == "aside"


def test_upstream_that_has_left_is_forgotten_when_it_is_gone(views, entries):
    views.views["near"].note_leaving(1.0)
    assert choose(views, entries, now=1.0 + LEFT_MEMORY_S) == "near"

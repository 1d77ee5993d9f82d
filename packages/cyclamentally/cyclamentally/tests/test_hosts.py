from random import Random

import pytest

from cyclamentally.gate_messages import Load
from cyclamentally.hosts import (
    UNLISTED_GRACE_S,
    HostDirectory,
    HostEntry,
    UpstreamEntry,
)
from cyclamentally.placing import NearestWithCapacity, UpstreamViews
from cyclamentally.revisions import Revision
from cyclamentally.routes import (
    CallerLimits,
    Destination,
    RequestKind,
    RouteRule,
    RouteTable,
    WeightedRoundRobin,
)

SINGLE = (Destination("shop", 1),)


def at(number, era=1):
    return Revision(era, number)


def entry(name, domain="d1", region="r1", is_leaving=False, upstream="u"):
    announced = UpstreamEntry(f"{upstream}-{name}", "shop", 2, is_leaving)
    return HostEntry(name, domain, region, "10.0.0.1:1", announced)


def rule(parts=SINGLE, kind=RequestKind.IDEMPOTENT):
    return RouteRule("r", "h", "/a/", parts, kind, 1.0, 0.3, 2, 1)


@pytest.fixture
def directory():
    directory = HostDirectory()
    directory.replace([(entry("a"), at(1)), (entry("b"), at(2))], 0.0)
    return directory


def names(directory):
    return sorted(e.name for e in directory.by_service.get("shop", ()))


def test_removed_entry_is_used_until_the_store_was_available_for_the_grace_period(
    directory,
):
    directory.remove("a", at(3), 1.0)
    directory.tick(10.0, None)
    assert names(directory) == ["a", "b"]
    directory.tick(10.0 + UNLISTED_GRACE_S, 10.0)
    assert names(directory) == ["b"]


def test_an_entry_that_comes_back_stays(directory):
    directory.remove("a", at(3), 1.0)
    directory.put(entry("a"), at(4))
    directory.tick(100.0, 0.0)
    assert names(directory) == ["a", "b"]


def test_an_unlisted_host_that_does_not_answer_is_forgotten(directory):
    directory.remove("a", at(3), 1.0)
    directory.fail("a")
    directory.fail("b")
    assert names(directory) == ["b"]


def test_a_leaving_upstream_is_dropped_at_once(directory):
    directory.put(entry("a", is_leaving=True), at(3))
    assert names(directory) == ["b"]


def test_an_older_revision_changes_nothing(directory):
    directory.put(entry("a", is_leaving=True), at(5))
    directory.put(entry("a"), at(4))
    directory.remove("b", at(1), 0.0)
    directory.tick(100.0, 0.0)
    assert names(directory) == ["b"]


def test_lower_revision_of_a_later_era_is_newer(directory):
    directory.put(entry("a", is_leaving=True), at(9))
    directory.put(entry("a", upstream="v"), at(3, 2))
    directory.remove("b", at(1, 2), 0.0)
    directory.put(entry("a", is_leaving=True), at(20))
    directory.tick(100.0, 0.0)
    assert names(directory) == ["a"]


def test_the_nearest_upstream_is_chosen_while_it_has_room():
    views = UpstreamViews("d1", "r1", NearestWithCapacity(Random(1)))
    entries = [entry("near"), entry("far", "d9", "r9"), entry("mid", "d2")]
    views.update(entries)
    chosen = views.choose(entries, rule(), set(), 0.0)
    assert chosen.entry.name == "near"
    chosen.in_flight = 40
    assert views.choose(entries, rule(), set(), 0.0).entry.name == "mid"


def test_near_upstream_is_preferred_while_it_meets_the_target():
    views = UpstreamViews("d1", "r1", NearestWithCapacity(Random(1)))
    entries = [entry("near"), entry("far", "d9", "r9")]
    views.update(entries)
    views.views["near"].service_times["r"] = 0.15
    views.views["far"].service_times["r"] = 0.03
    assert views.choose(entries, rule(), set(), 0.0).entry.name == "near"
    views.views["near"].service_times["r"] = 0.25
    assert views.choose(entries, rule(), set(), 0.0).entry.name == "far"


def test_a_paused_upstream_is_used_if_there_is_no_other():
    views = UpstreamViews("d1", "r1", NearestWithCapacity(Random(1)))
    entries = [entry("near"), entry("mid", "d2")]
    views.update(entries)
    views.views["near"].fail(0.0)
    assert views.choose(entries, rule(), set(), 0.1).entry.name == "mid"
    assert views.choose(entries[:1], rule(), set(), 0.1).entry.name == "near"


def test_paused_upstream_gets_no_further_offer_of_a_tried_request():
    views = UpstreamViews("d1", "r1", NearestWithCapacity(Random(1)))
    entries = [entry("near"), entry("mid", "d2")]
    views.update(entries)
    views.views["mid"].pause(0.0, 1.0)
    assert views.choose(entries, rule(), {"u-near"}, 0.1) is None


def test_a_host_that_answered_since_is_not_silent():
    views = UpstreamViews("d1", "r1", NearestWithCapacity(Random(1)))
    views.update([entry("near")])
    view = views.views["near"]
    assert view.is_silent_since(1.0)
    view.update_load(Load(0, 0, 2, 0.1), "r", 1.5)
    assert not view.is_silent_since(1.0)
    assert view.is_silent_since(2.0)


def test_a_tried_upstream_is_not_chosen_again():
    views = UpstreamViews("d1", "r1", NearestWithCapacity(Random(1)))
    entries = [entry("near")]
    views.update(entries)
    assert views.choose(entries, rule(), {"u-near"}, 0.0) is None


@pytest.mark.parametrize("seed", range(5))
def test_requests_are_split_by_weight(seed):
    round_robin = WeightedRoundRobin(Random(seed))
    parts = (Destination("shop", 90), Destination("bank", 10))
    chosen = [round_robin.choose(rule(parts)) for _ in range(200)]
    assert chosen.count("bank") in (19, 20, 21)


def test_the_longest_prefix_wins():
    rules = {"h": {p: p for p in ("/", "/a/", "/a/b/")}}
    table = RouteTable(1, rules, {}, CallerLimits(1, 1, 1, 1))
    found = [table.find("h", p) for p in ("/a/b/c", "/a/b", "/a/x/", "/z", "*")]
    assert found == ["/a/b/", "/a/", "/a/", "/", None]
    assert table.find("other", "/a/") is None

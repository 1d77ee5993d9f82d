from itertools import permutations

import pytest

from cyclamentally.model import MemberRecord, Upstream
from cyclamentally.profiles import check_profile
from cyclamentally.snapshot import build_snapshot
from cyclamentally.tests.support import document_of


def profile_of(name, *services):
    return check_profile(name, document_of(*services)).value


def record_of(node, *services, profile="night"):
    upstreams = [
        Upstream(service, profile, f"10.0.0.1:{8000 + n}", 10, 120, False)
        for n, service in enumerate(services)
    ]
    return MemberRecord(node, 1, "alive", "d", "r", "10.0.0.1:7100", upstreams, 1)


def assert_routes_have_clusters(snapshot):
    for route in snapshot.routes:
        assert snapshot.clusters[route.service].locations


def test_route_appears_with_its_service():
    profiles = {"night": profile_of("night", "standings", "archive")}
    snapshot = build_snapshot(1, profiles, [record_of("a", "standings")])
    assert [route.prefix for route in snapshot.routes] == ["/standings"]
    assert_routes_have_clusters(snapshot)


def test_route_needs_a_profile_that_describes_the_service():
    profiles = {"night": profile_of("night", "archive")}
    snapshot = build_snapshot(1, profiles, [record_of("a", "standings")])
    assert snapshot.routes == ()


@pytest.mark.parametrize("order", list(permutations(range(4))))
def test_routes_have_clusters_in_any_order_of_events(order):
    profiles, records = {}, {}
    events = [
        lambda: profiles.update(night=profile_of("night", "standings")),
        lambda: records.update(a=record_of("a", "standings")),
        lambda: records.pop("a", None),
        lambda: profiles.update(night=profile_of("night", "standings", "archive")),
    ]
    for number in order:
        events[number]()
        snapshot = build_snapshot(1, profiles, records.values())
        assert_routes_have_clusters(snapshot)
        assert bool(snapshot.routes) == (bool(profiles) and bool(records))


def test_most_announced_profile_applies_then_the_first_by_name():
    profiles = {n: profile_of(n, "standings") for n in ("day", "night")}
    records = [record_of("a", "standings", profile="night")]
    records.append(record_of("b", "standings", profile="day"))
    snapshot = build_snapshot(1, profiles, records)
    assert snapshot.clusters["standings"].profile == "day"
    records.append(record_of("c", "standings", profile="night"))
    snapshot = build_snapshot(2, profiles, records)
    assert snapshot.clusters["standings"].profile == "night"


def test_longest_prefix_matches_at_segment_boundaries():
    document = document_of("standings", "archive")
    document["routes"]["/standings/old"] = {"service": "archive"}
    profiles = {"night": check_profile("night", document).value}
    snapshot = build_snapshot(1, profiles, [record_of("a", "standings", "archive")])
    assert snapshot.find_route("/standings/old/1").service == "archive"
    assert snapshot.find_route("/standings/older").service == "standings"
    assert snapshot.find_route("/standingsx") is None
    assert snapshot.find_route("/standings?round=1").service == "standings"

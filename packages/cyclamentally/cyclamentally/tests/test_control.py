"""Membership and distribution of a small fleet under faults."""

import pytest

from cyclamentally.effects import Send
from cyclamentally.messages import Busy, ChangePush, VersionDigest
from cyclamentally.model import Upstream
from cyclamentally.tests.support import document_of, version_of

DOMAIN = "de-1"


def region_of(name):
    return name.rsplit("-", 2)[0]


def domain_of(name):
    return name.rsplit("-", 1)[0]


def put(fleet, number, deleted=False):
    document = document_of("standings", timeout_ms=1_000 + number)
    fleet.platform.write(version_of("night", number, document, deleted))


def upstream(draining=False):
    return Upstream("standings", "night", "10.0.1.1:8000", 10, 120, draining)


def test_change_is_in_force_everywhere_at_once(fleet):
    put(fleet, 1)
    fleet.step()
    assert fleet.all_at("night", 1)


def test_only_the_source_watches_the_platform(fleet):
    assert len(fleet.watching) == 1
    (source,) = fleet.watching
    assert region_of(source) == "gogledd"


def test_one_push_crosses_to_each_region(fleet):
    fleet.sent.clear()
    put(fleet, 1)
    fleet.step()
    crossing = [
        (sender, receiver)
        for sender, receiver, message in fleet.sent
        if isinstance(message, ChangePush) and region_of(sender) != region_of(receiver)
    ]
    assert len(crossing) == 2
    assert {region_of(receiver) for _, receiver in crossing} == {"canolbarth", "de"}


def cut_region(fleet):
    fleet.is_cut = lambda a, b: (region_of(a) == "de") != (region_of(b) == "de")
    fleet.cut_from_platform = {n for n in fleet.planes if region_of(n) == "de"}


def cut_domain(fleet):
    fleet.is_cut = lambda a, b: (domain_of(a) == DOMAIN) != (domain_of(b) == DOMAIN)
    fleet.cut_from_platform = {n for n in fleet.planes if domain_of(n) == DOMAIN}


def cut_domain_one_way(fleet):
    fleet.is_cut = lambda a, b: domain_of(b) == DOMAIN != domain_of(a)
    fleet.cut_from_platform = {n for n in fleet.planes if domain_of(n) == DOMAIN}


def cut_domain_and_platform(fleet):
    cut_domain(fleet)
    fleet.platform.is_up = False


def kill_relays(fleet):
    for plane in list(fleet.planes.values()):
        if plane.topology.is_relay() and domain_of(plane.identity.node) == DOMAIN:
            fleet.kill(plane.identity.node)


def kill_source(fleet):
    fleet.kill(next(iter(fleet.watching)))


def kill_all_relays(fleet):
    for plane in list(fleet.planes.values()):
        if plane.topology.is_relay():
            fleet.kill(plane.identity.node)


def pause_source(fleet):
    fleet.paused.add(next(iter(fleet.watching)))


def platform_down(fleet):
    fleet.platform.is_up = False


def heal(fleet):
    fleet.is_cut = lambda a, b: False
    fleet.cut_from_platform = set()
    fleet.platform.is_up = True
    fleet.paused.clear()


FAULTS = [
    cut_region,
    cut_domain,
    cut_domain_one_way,
    cut_domain_and_platform,
    kill_relays,
    kill_source,
    kill_all_relays,
    pause_source,
    platform_down,
]


@pytest.mark.parametrize("fault", FAULTS)
def test_change_under_a_fault_reaches_all_after_healing(fleet, fault):
    put(fleet, 1)
    fleet.step()
    fault(fleet)
    fleet.run(2)
    put(fleet, 2)
    seen = dict(fleet.installed("night"))
    for _ in range(40):
        fleet.run(0.4)
        for name, number in fleet.installed("night").items():
            assert number >= seen.get(name, 0)
            seen[name] = number
    heal(fleet)
    fleet.run_until(lambda: fleet.all_at("night", 2), 12)


@pytest.mark.parametrize("fault", FAULTS)
def test_members_agree_after_healing(fleet, fault):
    fault(fleet)
    fleet.run(15)
    heal(fleet)
    fleet.run(25)
    live = set(fleet.planes)
    for name in live:
        states = fleet.states(name)
        assert {n for n, state in states.items() if state == "alive"} >= live
        same_domain = [n for n in states if domain_of(n) in map(domain_of, live)]
        for node in same_domain:
            assert (states[node] == "alive") == (node in live)


@pytest.mark.parametrize("fault", [kill_source, pause_source])
def test_change_is_in_force_within_7_s_without_the_source(fleet, fault):
    put(fleet, 1)
    fleet.step()
    fault(fleet)
    put(fleet, 2)
    others = [n for n in fleet.planes if n not in fleet.paused]
    fleet.run_until(lambda: fleet.all_at("night", 2, others), 7)


def test_cut_off_domain_keeps_its_configuration_and_upstreams(fleet):
    put(fleet, 1)
    host = f"{DOMAIN}-a"
    fleet.carry_out(host, fleet.planes[host].announce([upstream()], fleet.now))
    fleet.step()
    cut_domain_and_platform(fleet)
    fleet.run(30)
    for name, plane in fleet.planes.items():
        if domain_of(name) == DOMAIN:
            assert plane.snapshot.find_route("/standings") is not None
            assert plane.lifecycle.state == "serving"


def test_resumed_node_takes_newer_versions_and_is_alive_again(fleet):
    put(fleet, 1)
    fleet.step()
    source = next(iter(fleet.watching))
    fleet.paused.add(source)
    fleet.run(10)
    assert fleet.states("de-1-a")[source] == "dead"
    put(fleet, 2)
    fleet.run(5)
    fleet.paused.clear()
    fleet.step()
    assert fleet.all_at("night", 2, [n for n in fleet.planes if n != source])
    fleet.run_until(lambda: fleet.all_at("night", 2), 5)
    fleet.run_until(lambda: fleet.states("de-1-a")[source] == "alive", 10)


def test_suspected_live_node_refutes(fleet):
    suspected = "gogledd-1-a"
    fleet.is_cut = lambda a, b: suspected in (a, b) and "gogledd-1-b" in (a, b)
    fleet.run(20)
    assert fleet.states("gogledd-1-b")[suspected] == "alive"


def test_restarted_node_gets_the_newest_version_before_it_serves(fleet):
    put(fleet, 1)
    fleet.step()
    put(fleet, 2)
    fleet.step()
    fleet.platform.is_up = False
    fleet.kill("de-1-a")
    seeds = [fleet.planes["gogledd-1-b"].identity.address]
    plane = fleet.add("de-1-a", DOMAIN, "de", seeds)
    while plane.lifecycle.state == "joining":
        assert plane.versions.newest_seen("night") in (0, 2)
        fleet.step()
    assert plane.versions.newest_seen("night") == 2


def test_replaced_node_at_another_address_is_reached(fleet):
    fleet.kill("de-2-a")
    seeds = [fleet.planes["de-2-b"].identity.address]
    plane = fleet.add("de-2-a", "de-2", "de", seeds)
    fleet.run(5)
    for other in fleet.planes.values():
        assert other.table.get("de-2-a").address == plane.identity.address
    put(fleet, 1)
    fleet.step()
    assert fleet.all_at("night", 1)


def test_mass_restart_is_rate_limited_and_completes(sim):
    for number in range(24):
        sim.add(f"d-1-{number}", "d-1")
    sim.run_until(
        lambda: all(p.lifecycle.state == "serving" for p in sim.planes.values()), 60
    )
    for number in range(30):
        sim.platform.write(version_of(f"profile-{number}", 1))
    sim.run_until(lambda: version_sums(sim) == {30}, 7)
    sim.full_reads.clear()
    seeds = [p.identity.address for p in list(sim.planes.values())[12:15]]
    for number in range(12):
        sim.kill(f"d-1-{number}")
    sim.run(1)
    sim.effects.clear()
    for number in range(12):
        sim.add(f"d-1-{number}", "d-1", seeds=seeds)
    for _ in range(35):
        sim.step()
        assert version_sums(sim) <= {30}
    assert all(p.lifecycle.state == "serving" for p in sim.planes.values())
    waits = [e.message.wait for _, e in sim.effects if is_busy(e)]
    assert waits
    assert len(sim.full_reads) <= 2
    assert all(0 <= wait <= 2 for wait in waits)


def is_busy(effect):
    return isinstance(effect, Send) and isinstance(effect.message, Busy)


def version_sums(fleet):
    planes = fleet.planes.values()
    return {p.versions.version_sum for p in planes if p.lifecycle.state == "serving"}


def test_version_grows_over_delete_and_create(fleet):
    put(fleet, 1)
    fleet.step()
    put(fleet, 2, deleted=True)
    fleet.step()
    assert all(not p.versions.profiles() for p in fleet.planes.values())
    put(fleet, 3)
    fleet.step()
    assert fleet.all_at("night", 3)


def test_reordered_and_repeated_watch_events_change_nothing(fleet):
    put(fleet, 2)
    fleet.step()
    source = next(iter(fleet.watching))
    plane = fleet.planes[source]
    for number in (1, 2, 1):
        effects = plane.on_platform_versions(
            [version_of("night", number)], False, fleet.now
        )
        fleet.carry_out(source, effects)
    fleet.run(2)
    assert fleet.all_at("night", 2)


def test_missed_push_is_repaired_by_a_digest(fleet):
    missed = next(n for n, p in fleet.planes.items() if not p.topology.is_relay())
    fleet_deliver = fleet.deliver

    def deliver(sender, send):
        is_tree = isinstance(send.message, ChangePush) and send.message.root
        if is_tree and fleet.by_address.get(send.address) == missed:
            return
        fleet_deliver(sender, send)

    fleet.deliver = deliver
    put(fleet, 1)
    fleet.step()
    assert missed not in fleet.installed("night")
    fleet.run_until(lambda: fleet.all_at("night", 1), 5)
    assert any(isinstance(m, VersionDigest) for _, _, m in fleet.sent)


def test_bad_version_is_reported_by_every_node(fleet):
    put(fleet, 1)
    fleet.step()
    bad = {"services": {}, "routes": {"/x": {"service": "missing"}}}
    fleet.platform.write(version_of("night", 2, bad))
    fleet.run(3)
    assert fleet.all_at("night", 1)
    for plane in fleet.planes.values():
        assert [entry.version for entry in plane.versions.refused()] == [2]
    fleet.sent.clear()
    fleet.run(5)
    assert not any(isinstance(m, VersionDigest) for _, _, m in fleet.sent)


def test_draining_upstream_is_known_everywhere_at_once(fleet):
    host = "gogledd-2-a"
    fleet.carry_out(host, fleet.planes[host].announce([upstream()], fleet.now))
    put(fleet, 1)
    fleet.run(0.4)
    for plane in fleet.planes.values():
        assert plane.snapshot.find_route("/standings") is not None
    fleet.carry_out(
        host, fleet.planes[host].announce([upstream(draining=True)], fleet.now)
    )
    fleet.step()
    for plane in fleet.planes.values():
        (location,) = plane.snapshot.clusters["standings"].locations
        assert location.upstream.draining


def test_upstream_vanishes_with_its_node(fleet):
    host = "gogledd-2-a"
    fleet.carry_out(host, fleet.planes[host].announce([upstream()], fleet.now))
    put(fleet, 1)
    fleet.run(1)
    fleet.kill(host)
    fleet.run(10)
    for plane in fleet.planes.values():
        assert plane.snapshot.routes == ()
        assert plane.snapshot.clusters == {}


def test_status_counts_the_nodes_of_every_domain(fleet):
    put(fleet, 1)
    fleet.run(2)
    plane = fleet.planes["de-2-c"]
    fleet.carry_out("de-2-c", plane.status_collector.collect(fleet.now))
    fleet.deliver_all()
    assert plane.status_collector.is_complete(fleet.now)
    for status in plane.status_collector.statuses():
        assert (status.live, status.current, status.behind) == (3, 3, [])
        assert status.versions == [1]


def test_status_shows_how_stale_a_cut_off_domain_is(fleet):
    assert fleet.planes["de-1-a"].status_collector.own_status(fleet.now).stale_ms == 0
    cut_domain(fleet)
    fleet.run(10)
    relays = [
        plane
        for plane in fleet.planes.values()
        if plane.identity.domain == DOMAIN and plane.topology.is_relay()
    ]
    for plane in relays:
        assert 5_000 <= plane.status_collector.own_status(fleet.now).stale_ms <= 10_500
    heal(fleet)
    fleet.run(3)
    for plane in relays:
        assert plane.status_collector.own_status(fleet.now).stale_ms == 0


def test_status_names_a_domain_that_does_not_answer(fleet):
    cut_domain(fleet)
    plane = fleet.planes["gogledd-1-a"]
    fleet.carry_out("gogledd-1-a", plane.status_collector.collect(fleet.now))
    fleet.deliver_all()
    assert not plane.status_collector.is_complete(fleet.now)
    assert plane.status_collector.is_complete(fleet.now + 1)
    missing = {s.domain for s in plane.status_collector.statuses() if s.current == 0}
    assert missing == {DOMAIN}


def test_snapshots_of_a_burst_are_limited_and_the_last_one_is_built(fleet):
    put(fleet, 1)
    fleet.run(2)
    host, other = "gogledd-2-a", "de-1-a"
    built = fleet.planes[other].snapshot.generation
    for number in range(100):
        upstreams = [upstream(draining=number % 2 == 0)]
        plane = fleet.planes[host]
        fleet.carry_out(host, plane.announce(upstreams, fleet.now))
        fleet.deliver_all()
    fleet.run(0.4)
    snapshot = fleet.planes[other].snapshot
    assert 10 <= snapshot.generation - built <= 15
    (location,) = snapshot.clusters["standings"].locations
    assert not location.upstream.draining

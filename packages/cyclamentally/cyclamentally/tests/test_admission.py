from random import Random

import pytest

from cyclamentally.admission import Admission, Call, Denied, Granted, SlotGrant
from cyclamentally.errors import Kind
from cyclamentally.profiles import ServicePolicy
from cyclamentally.routing import NearestChooser, RandomChooser, RoundRobinChooser
from cyclamentally.snapshot import Cluster, Snapshot
from cyclamentally.tests.support import location_of

NOW = 100.0


def snapshot_of(*locations, **numbers):
    policy = ServicePolicy("standings", {"slow_start_ms": 0, **numbers})
    cluster = Cluster("standings", "night", policy, list(locations))
    return Snapshot(1, (), {"standings": cluster})


def call_of(number, call_class="lookup", deadline=NOW + 1, attempt=1, avoid=()):
    return Call(number, "standings", call_class, deadline, attempt, list(avoid))


@pytest.fixture
def admission(random):
    return Admission(NearestChooser("d-1", "r", random))


@pytest.fixture
def warm(admission):
    """Return a function that skips the slow start of upstreams."""

    def warm(*locations, **numbers):
        admission.update(snapshot_of(*locations, **numbers), NOW)
        for endpoint in endpoints(admission).values():
            endpoint.state = "serving"

    return warm


def endpoints(admission):
    return admission.services["standings"].endpoints


def grants(admission, count, now=NOW, **fields):
    effects = []
    for number in range(count):
        effects += admission.request(call_of(number, **fields), now)
    return effects


def test_slots_are_a_hard_limit_and_the_queue_is_served_in_order(admission, warm):
    warm(location_of(1))
    effects = grants(admission, 4)
    assert [type(e) for e in effects] == [Granted, Granted]
    effects = admission.finish(0, None, NOW)
    assert [e.number for e in effects if isinstance(e, Granted)] == [2]


def test_full_queue_refuses(admission, warm):
    warm(location_of(1), queue_length=1)
    effects = grants(admission, 4)
    assert effects[-1].refusal.kind == Kind.QUEUE_FULL


def test_queue_time_and_deadline_refuse(admission, warm):
    warm(location_of(1), queue_wait_ms=300)
    grants(admission, 2)
    admission.request(call_of(8), NOW)
    admission.request(call_of(9, deadline=NOW + 0.1), NOW)
    kinds = {e.number: e.refusal.kind for e in admission.tick(NOW + 0.4)}
    assert kinds == {8: Kind.QUEUE_TIMEOUT, 9: Kind.DEADLINE_EXCEEDED}


def test_cancelled_request_leaves_the_queue(admission, warm):
    warm(location_of(1))
    grants(admission, 3)
    admission.cancel(2)
    assert not [e for e in admission.finish(0, None, NOW) if isinstance(e, Granted)]


def test_draining_upstream_gets_no_new_request(admission, warm):
    warm(location_of(1), location_of(2))
    admission.update(snapshot_of(location_of(1, draining=True), location_of(2)), NOW)
    chosen = {e.location.node for e in grants(admission, 2)}
    assert chosen == {"n2"}


def test_request_is_refused_when_all_upstreams_drain(admission, warm):
    warm(location_of(1))
    admission.update(snapshot_of(location_of(1, draining=True)), NOW)
    assert grants(admission, 1)[0].refusal.kind == Kind.NO_UPSTREAM


def test_removed_service_refuses_its_queue(admission, warm):
    warm(location_of(1))
    grants(admission, 3)
    effects = admission.update(Snapshot(2, (), {}), NOW)
    assert [e.refusal.kind for e in effects if isinstance(e, Denied)] == [
        Kind.NO_UPSTREAM
    ]
    assert admission.finish(0, None, NOW) == []


def test_nearest_place_with_room_comes_first(admission, warm):
    warm(
        location_of(1, slots=1),
        location_of(2, "d-2", slots=1),
        location_of(3, "d-9", "far", slots=1),
    )
    order = [e.location.node for e in grants(admission, 3)]
    assert order == ["n1", "n2", "n3"]


def test_retry_avoids_the_upstream_that_failed(admission, warm):
    warm(location_of(1), location_of(2))
    for number in range(2):
        call = call_of(number, avoid=["10.0.0.1:80"])
        (granted,) = admission.request(call, NOW)
        assert granted.location.node == "n2"


def test_retries_are_limited_by_a_budget(admission, warm):
    warm(location_of(1, slots=1_000), retry_percent=10)
    for number in range(100):
        admission.request(call_of(number), NOW)
    effects = [
        admission.request(call_of(200 + n, attempt=2), NOW)[0] for n in range(100)
    ]
    allowed = [e for e in effects if isinstance(e, Granted)]
    assert 10 <= len(allowed) <= 13
    assert effects[-1].refusal.kind == Kind.RETRY_BUDGET_SPENT


def fail(admission, address, times, now=NOW):
    endpoint = endpoints(admission)[address]
    for number in range(times):
        endpoint.in_flight += 1
        admission.grants[number] = grant_of(endpoint)
        admission.finish(number, Kind.UPSTREAM_FAILED, now)
    return endpoint


def grant_of(endpoint):
    return SlotGrant("standings", endpoint, False, NOW)


def test_consecutive_failures_eject_until_a_trial_succeeds(admission, warm):
    warm(location_of(1), location_of(2), eject_failures=3, eject_ms=1_000)
    endpoint = fail(admission, "10.0.0.1:80", 3)
    assert (endpoint.state, endpoint.capacity(NOW)) == ("ejected", 0)
    admission.tick(NOW + 1.1)
    assert (endpoint.state, endpoint.capacity(NOW)) == ("trial", 1)
    fail(admission, "10.0.0.1:80", 1, NOW + 1.1)
    assert endpoint.ejected_until >= NOW + 3.1
    admission.tick(NOW + 4)
    endpoint.in_flight += 1
    admission.grants[7] = grant_of(endpoint)
    admission.finish(7, None, NOW + 4)
    assert endpoint.state == "warming"


def test_ejected_share_is_capped(admission, warm):
    warm(
        *[location_of(n) for n in range(1, 5)],
        eject_failures=1,
        max_ejected_percent=50,
    )
    for number in range(1, 5):
        fail(admission, f"10.0.0.{number}:80", 5)
    states = [endpoint.state for endpoint in endpoints(admission).values()]
    assert states.count("ejected") == 2


def test_new_upstream_starts_slowly(admission):
    admission.update(snapshot_of(location_of(1, slots=10), slow_start_ms=1_000), NOW)
    (granted,) = grants(admission, 1)
    endpoint = endpoints(admission)["10.0.0.1:80"]
    assert endpoint.capacity(NOW) == 1
    admission.finish(granted.number, None, NOW)
    assert endpoint.capacity(NOW + 0.5) == 5
    admission.tick(NOW + 1)
    assert (endpoint.state, endpoint.capacity(NOW + 1)) == ("serving", 10)


def test_shed_request_lowers_the_limit_and_answers_raise_it(admission, warm):
    warm(location_of(1, slots=10))
    grants(admission, 10)
    admission.finish(0, Kind.UPSTREAM_OVERLOADED, NOW)
    endpoint = endpoints(admission)["10.0.0.1:80"]
    assert endpoint.state == "serving"
    assert endpoint.capacity(NOW) == 6
    assert not endpoint.has_room(NOW, False, 50)
    for number in range(1, 10):
        admission.finish(number, None, NOW)
    assert endpoint.capacity(NOW) == 7


def test_bulk_requests_leave_slots_to_lookups_and_still_finish(admission, warm):
    warm(location_of(1, slots=4), bulk_percent=50)
    bulk = grants(admission, 6, call_class="bulk")
    assert len([e for e in bulk if isinstance(e, Granted)]) == 2
    lookups = [admission.request(call_of(n), NOW) for n in range(20, 40)]
    assert sum(bool(effects) for effects in lookups) == 2
    order = []
    for number in [0, 20, 1, 21, *range(22, 40)]:
        effects = admission.finish(number, None, NOW)
        order += [e.number for e in effects if isinstance(e, Granted)]
    assert {2, 3} <= set(order)
    assert order.index(22) < order.index(3)


def test_bulk_requests_of_a_node_are_limited(random, warm):
    admission = Admission(RandomChooser(random), max_bulk=3)
    admission.update(snapshot_of(location_of(1, slots=1_000)), NOW)
    effects = grants(admission, 5, call_class="bulk")
    assert effects[-1].refusal.kind == Kind.QUEUE_FULL
    for number in range(3):
        admission.finish(number, None, NOW)
    assert admission.bulk == set()


@pytest.mark.parametrize(
    "chooser", [RandomChooser(Random(1)), RoundRobinChooser()], ids=type
)
def test_baseline_choosers_use_every_upstream(chooser):
    admission = Admission(chooser)
    places = [location_of(n, slots=1_000) for n in range(1, 4)]
    admission.update(snapshot_of(*places), NOW)
    for endpoint in endpoints(admission).values():
        endpoint.state = "serving"
    nodes = [e.location.node for e in grants(admission, 60)]
    assert set(nodes) == {"n1", "n2", "n3"}


def test_every_granted_slot_is_released(admission, warm):
    random = Random(3)
    warm(*[location_of(n) for n in range(1, 4)])
    held = set()
    for number in range(2_000):
        call_class = random.choice(["lookup", "bulk"])
        effects = admission.request(call_of(number, call_class, NOW + 1_000), NOW)
        if held and random.random() < 0.6:
            outcome = random.choice([None, None, Kind.UPSTREAM_OVERLOADED])
            done = held.pop()
            effects += admission.finish(done, outcome, NOW)
        held |= {e.number for e in effects if isinstance(e, Granted)}
        assert held == set(admission.grants)
        for endpoint in endpoints(admission).values():
            assert 0 <= endpoint.bulk_in_flight <= endpoint.in_flight
            assert endpoint.in_flight <= endpoint.hard_limit


def test_upstream_that_sheds_is_paused_longer_and_longer(admission, warm):
    warm(location_of(1))
    endpoint = endpoints(admission)["10.0.0.1:80"]
    pauses = []
    for _ in range(8):
        endpoint.on_overload(NOW)
        pauses.append(endpoint.paused_until - NOW)
    assert pauses == sorted(pauses)
    assert (round(pauses[0], 3), pauses[-1]) == (0.05, 2.0)
    endpoint.clear_failures(None)
    endpoint.on_overload(NOW)
    assert round(endpoint.paused_until - NOW, 3) == 0.05


def serve(admission, seconds_of):
    """Send calls one after the other; return the number of calls by node."""
    chosen = {}
    now = NOW
    for number in range(400):
        effects = admission.request(call_of(number, deadline=now + 9), now)
        (granted,) = [e for e in effects if isinstance(e, Granted)]
        node = granted.location.node
        chosen[node] = chosen.get(node, 0) + 1
        now += seconds_of[node] or 0.001
        outcome = None if seconds_of[node] else Kind.UPSTREAM_OVERLOADED
        admission.finish(number, outcome, now)
        admission.tick(now)
    return chosen


def test_fast_refusals_attract_no_requests(admission, warm):
    warm(*[location_of(n, slots=10) for n in range(1, 4)])
    chosen = serve(admission, {"n1": 0.005, "n2": 0.005, "n3": 0.0})
    assert chosen.get("n3", 0) <= 20


def test_slow_upstream_gets_few_requests_but_is_tried_again(admission, warm):
    warm(*[location_of(n, slots=10) for n in range(1, 4)])
    chosen = serve(admission, {"n1": 0.005, "n2": 0.005, "n3": 0.4})
    assert 1 <= chosen["n3"] <= 20


def test_requests_do_not_wait_while_every_upstream_sheds(admission, warm):
    warm(location_of(1), location_of(2))
    for endpoint in endpoints(admission).values():
        endpoint.on_overload(NOW)
    assert grants(admission, 1) == []
    for endpoint in endpoints(admission).values():
        for _ in range(3):
            endpoint.on_overload(NOW)
    (denied,) = admission.request(call_of(9), NOW)
    assert denied.refusal.kind == Kind.UPSTREAM_OVERLOADED
    (granted,) = [
        e
        for e in admission.request(call_of(10, deadline=NOW + 9), NOW + 3)
        if e.number == 10
    ]
    assert isinstance(granted, Granted)

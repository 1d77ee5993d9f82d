import pytest

from cyclamentally.errors import Kind
from cyclamentally.gate import Gate
from cyclamentally.gate_messages import Heartbeat, RefuseWork, StartWork, Ticket
from cyclamentally.uplink import LARGE_ANSWER_BYTES, REMOTE_ANSWERS_SHARE, Uplink

# The slowest links of the users: 4.5 Mbit/s; answers may use most of it.
LINK_BYTES_PER_S = 4_500_000 / 8
DOWNLOAD_BYTES = 90_000
DOWNLOAD_LINK_TIME_S = DOWNLOAD_BYTES / (LINK_BYTES_PER_S * REMOTE_ANSWERS_SHARE)
TARGET_S = 1.2
SERVICE_TIME_S = 0.18


@pytest.fixture
def uplink():
    uplink = Uplink(LINK_BYTES_PER_S)
    uplink.update_size("bundle", DOWNLOAD_BYTES)
    uplink.update_size("lookup", 5_000)
    return uplink


@pytest.fixture
def gate(uplink):
    gate = Gate(uplink)
    gate.on_routes_known()
    gate.on_heartbeat(Heartbeat("u1", "shop", "10.0.0.1:80", 1, 1, 5, False), 0.0)
    gate.urgency.service_times.means["bundle"] = SERVICE_TIME_S
    gate.urgency.service_times.means["lookup"] = 0.05
    return gate


def ticket(number, now, route="bundle", crosses_link=True):
    return Ticket(
        number, "u1", "shop", route, 2, now + TARGET_S, now + 8.0, crosses_link
    )


def kinds(effects):
    return [e.refusal.kind for e in effects if isinstance(e, RefuseWork)]


def test_queued_and_reserved_answers_add_to_the_delay(uplink):
    assert uplink.delay("bundle") == pytest.approx(DOWNLOAD_LINK_TIME_S)
    uplink.reserve(1, "bundle")
    uplink.queued_bytes = DOWNLOAD_BYTES
    assert uplink.delay("bundle") == pytest.approx(3 * DOWNLOAD_LINK_TIME_S)
    uplink.release(1)
    assert uplink.delay("bundle") == pytest.approx(2 * DOWNLOAD_LINK_TIME_S)


def test_small_answers_never_wait_for_the_link(uplink):
    uplink.queued_bytes = 100 * DOWNLOAD_BYTES
    assert uplink.delay("lookup") == 0.0
    assert not uplink.would_miss_target("lookup", 0.0)


def test_small_answers_leave_less_of_the_link_to_large_ones(uplink):
    """Small answers at a third of the rate make large ones take 1.5 times as long."""
    step = 0.01
    for n in range(1_000):
        uplink.note_small_answer(uplink.usable_bytes_per_s / 3 * step, n * step)
    assert uplink.delay("bundle") == pytest.approx(1.5 * DOWNLOAD_LINK_TIME_S, rel=0.05)


def test_small_answers_that_have_ended_are_forgotten(uplink):
    uplink.note_small_answer(uplink.usable_bytes_per_s * 10, 0.0)
    uplink.note_small_answer(1, 60.0)
    assert uplink.delay("bundle") == pytest.approx(DOWNLOAD_LINK_TIME_S, rel=0.01)


def test_a_link_of_unknown_rate_bounds_nothing():
    uplink = Uplink()
    uplink.update_size("bundle", DOWNLOAD_BYTES)
    uplink.queued_bytes = 100 * DOWNLOAD_BYTES
    assert not uplink.would_miss_target("bundle", 0.0)


def test_a_route_counts_as_large_by_its_usual_size(uplink):
    for _ in range(30):
        uplink.update_size("bundle", LARGE_ANSWER_BYTES / 4)
    assert not uplink.is_large("bundle")


def test_downloads_beyond_the_link_are_refused_at_once_and_calls_are_not(gate):
    found = [kinds(gate.admit(ticket(n, 0.0), 0.0)) for n in range(8)]
    accepted = found.count([])
    assert accepted > 1
    assert (accepted + 1) * DOWNLOAD_LINK_TIME_S + SERVICE_TIME_S <= TARGET_S
    assert found[accepted:] == [[Kind.LINK_FULL]] * (8 - accepted)
    started = gate.admit(ticket(9, 0.0, "lookup"), 0.0)
    assert [e.number for e in started if isinstance(e, StartWork)] == [9]


def test_an_answer_for_this_host_needs_no_link(gate, uplink):
    uplink.queued_bytes = 100 * DOWNLOAD_BYTES
    assert kinds(gate.admit(ticket(1, 0.0, crosses_link=False), 0.0)) == []


def test_a_refusal_names_when_the_link_will_be_free(gate, uplink):
    uplink.queued_bytes = 10 * DOWNLOAD_BYTES
    (refused,) = gate.admit(ticket(1, 0.0), 0.0)
    assert refused.refusal.wait == pytest.approx(11 * DOWNLOAD_LINK_TIME_S)


@pytest.mark.parametrize("end", ["finish", "cancel", "leave"])
def test_reservation_is_released_when_the_request_ends(gate, uplink, end):
    for number in range(6):
        gate.admit(ticket(number, 0.0, crosses_link=True), 0.0)
    for number in range(6):
        if end == "finish":
            gate.finish(number, True, 0.2)
        elif end == "cancel":
            gate.cancel(number)
            gate.finish(number, False, 0.2)
    if end == "leave":
        gate.on_heartbeat(Heartbeat("u1", "shop", "10.0.0.1:80", 1, 2, 5, True), 0.1)
        assert set(uplink.reserved_bytes) == set(gate.running)
    else:
        assert uplink.reserved_bytes == {}


def simulate_downloads(gate, uplink, rate, seconds=20.0):
    """Offer downloads at a rate; return the shares answered in time and answered."""
    step = 0.01
    due, number, now = 0.0, 0, 0.0
    running, queue, finished, offered = {}, [], [], 0
    while now < seconds:
        due += rate * step
        while due >= 1:
            due -= 1
            number += 1
            offered += 1
            effects = gate.admit(ticket(number, now), now)
            running.update({e.number: now for e in effects if isinstance(e, StartWork)})
        for key in [k for k, since in running.items() if now - since >= SERVICE_TIME_S]:
            since = running.pop(key)
            effects = gate.finish(key, True, now)
            running.update({e.number: now for e in effects if isinstance(e, StartWork)})
            queue.append([DOWNLOAD_BYTES, since])
            uplink.queued_bytes += DOWNLOAD_BYTES
        budget = uplink.usable_bytes_per_s * step
        while queue and budget > 0:
            sent = min(budget, queue[0][0])
            queue[0][0] -= sent
            uplink.queued_bytes -= sent
            budget -= sent
            if queue[0][0] <= 0:
                finished.append(now - queue.pop(0)[1])
        now += step
    in_time = sum(took <= TARGET_S for took in finished)
    return in_time / offered, len(finished) / offered


@pytest.fixture
def restarted(gate):
    """A gate whose node has just started and has measured nothing yet."""
    gate.uplink = Uplink(LINK_BYTES_PER_S)
    gate.uplink.downloads = frozenset(["bundle"])
    return gate


def test_restarted_gate_does_not_queue_downloads_beyond_the_link(restarted):
    found = [kinds(restarted.admit(ticket(n, 0.0), 0.0)) for n in range(8)]
    accepted = found.count([])
    assert accepted > 1
    assert (accepted + 1) * DOWNLOAD_LINK_TIME_S + SERVICE_TIME_S <= TARGET_S
    assert found[accepted:] == [[Kind.LINK_FULL]] * (8 - accepted)


def test_first_measured_size_replaces_the_estimate(restarted):
    restarted.uplink.update_size("bundle", LARGE_ANSWER_BYTES / 4)
    found = [kinds(restarted.admit(ticket(n, 0.0), 0.0)) for n in range(5)]
    assert found == [[]] * 5


def test_at_twice_the_link_half_of_the_downloads_are_in_time(gate, uplink):
    in_time, served = simulate_downloads(gate, uplink, 2 / DOWNLOAD_LINK_TIME_S)
    assert in_time > 0.4
    assert served - in_time < 0.05

"""Gates of upstreams that name a limit of requests a second."""

import pytest

from cyclamentally.errors import Kind
from cyclamentally.gate import Gate
from cyclamentally.gate_messages import Heartbeat, Load, RefuseWork, StartWork, Ticket
from cyclamentally.hosts import HostEntry, UpstreamEntry
from cyclamentally.placing import REPORTED_SLOTS_S, UpstreamView
from cyclamentally.rate_limit import MIN_RATE_PER_S, RateLimit

LIMIT_PER_S = 20.0
RUN_S = 0.1
SLOTS = 9
# The users' rule for 4 s.
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5


def heartbeat(upstream="u1", started=1_000):
    return Heartbeat(upstream, "shop", "10.0.0.1:80", started, 1, SLOTS, False)


@pytest.fixture
def gate():
    gate = Gate()
    gate.on_routes_known()
    gate.on_heartbeat(heartbeat(), 0.0)
    gate.urgency.service_times.update("r", RUN_S)
    return gate


@pytest.fixture
def limit():
    return RateLimit()


def ticket(number, now, priority=1, target=0.3, left=2.0):
    return Ticket(number, "u1", "shop", "r", priority, now + target, now + left)


def play(gate, rate, seconds, step=0.01):
    """Offer requests at a rate; return the times of starts and refusals by number."""
    started, refused, running = {}, {}, {}
    number, due = 0, 0.0
    for tick in range(round(seconds / step)):
        now = tick * step
        effects = []
        for ended in [n for n, end in running.items() if end <= now]:
            del running[ended]
            effects += gate.finish(ended, True, now)
        while due <= now:
            number += 1
            due += 1 / rate
            effects += gate.admit(ticket(number, now), now)
        effects += gate.tick(now)
        for effect in effects:
            if isinstance(effect, StartWork):
                started[effect.number] = now
                running[effect.number] = now + RUN_S
            elif isinstance(effect, RefuseWork):
                refused[effect.number] = (now, effect.refusal)
    return started, refused


def most_in_window(times):
    return max(sum(0 <= t - first < WINDOW_S for t in times) for first in times)


@pytest.mark.parametrize("offered", [15, 40, 300])
def test_no_window_gets_more_than_the_limit_allows(gate, offered):
    gate.rate_limit.set_limit(LIMIT_PER_S, False, 0.0)
    started, refused = play(gate, offered, 12.0)
    assert most_in_window(started.values()) <= MAX_IN_WINDOW
    # What the limit allows is used.
    assert len(started) >= 0.95 * min(offered, LIMIT_PER_S) * 12.0
    if offered < LIMIT_PER_S:
        assert not refused


def test_what_a_limit_excludes_is_refused_at_once_with_a_wait(gate):
    gate.rate_limit.set_limit(LIMIT_PER_S, False, 0.0)
    _, refused = play(gate, 300, 6.0)
    assert {refusal.kind for _, refusal in refused.values()} <= {
        Kind.QUEUE_FULL,
        Kind.QUEUE_TIMEOUT,
    }
    late = [n for n, (now, _) in refused.items() if now - (n - 1) / 300 > 0.5]
    assert len(late) <= 0.02 * len(refused)
    assert all(refusal.wait > 0 for _, refusal in refused.values())


def test_urgent_requests_pass_others_that_wait_for_the_limit(gate):
    gate.rate_limit.set_limit(1.0, False, 0.0)
    gate.admit(ticket(1, 0.0), 0.0)
    gate.admit(ticket(2, 0.0, target=5.0, left=5.0), 0.0)
    gate.admit(ticket(3, 0.0, priority=0, target=5.0, left=5.0), 0.0)
    effects = gate.tick(1.0)
    assert [e.number for e in effects if isinstance(e, StartWork)] == [3]


def test_upstream_that_sheds_gets_no_more_than_its_limit(limit):
    limit.set_limit(LIMIT_PER_S, True, 0.0)
    limit.delay(0, 0.0)
    limit.tokens = 0.0
    assert limit.delay(0, 0.0) == pytest.approx(1 / LIMIT_PER_S)


def test_limit_that_falls_holds_at_once(limit):
    limit.set_limit(100.0, True, 0.0)
    limit.set_limit(2.0, True, 0.0)
    limit.delay(0, 0.0)
    assert limit.delay(1, 1.0) > 0


def test_limit_ends_with_an_answer_that_names_none(gate):
    gate.rate_limit.set_limit(0.0, False, 0.0)
    gate.admit(ticket(1, 0.0), 0.0)
    assert gate.rate_limit.delay(0, 0.0) == pytest.approx(1 / MIN_RATE_PER_S)
    gate.rate_limit.set_limit(None, False, 0.1)
    assert gate.expected_wait(ticket(2, 0.1), 0.1) == 0.0


def test_next_lifetime_has_no_limit(gate):
    gate.rate_limit.set_limit(0.0, False, 0.0)
    gate.on_heartbeat(heartbeat(started=2_000), 1.0)
    assert gate.rate_limit.delay(9, 1.0) == 0.0


def test_senders_see_the_slots_that_a_limit_keeps_in_use(gate):
    gate.rate_limit.set_limit(LIMIT_PER_S, False, 0.0)
    load = gate.load("r")
    assert load.slots == round(LIMIT_PER_S * RUN_S)
    gate.rate_limit.set_limit(0.0, False, 0.0)
    assert gate.load("r").slots == 1


def test_reported_slots_count_until_the_limit_may_have_ended():
    upstream = UpstreamEntry("u1", "shop", SLOTS, False)
    view = UpstreamView(HostEntry("h1", "d1", "r1", "10.0.0.1:1", upstream), 0.001)
    assert view.slots(0.0) == SLOTS
    view.update_load(Load(0, 0, 2, RUN_S), "r", 1.0)
    assert view.slots(1.0) == 2
    assert view.slots(1.0 + REPORTED_SLOTS_S) == SLOTS

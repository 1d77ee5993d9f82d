from random import Random

import pytest

from cyclamentally.gate import Gate
from cyclamentally.gate_messages import Heartbeat, RefuseWork, StartWork, Ticket
from cyclamentally.hosts import HostEntry, UpstreamEntry
from cyclamentally.placing import NearestWithCapacity, UpstreamViews
from cyclamentally.routes import Destination, RequestKind, RouteRule
from cyclamentally_testing.call_baselines import FifoGate, RandomPlacement

SLOTS = 2
SERVICE_S = 0.1
TARGET_S = 0.25
DEADLINE_S = 1.5


def opened(gate):
    gate.on_routes_known()
    gate.on_heartbeat(Heartbeat("u1", "shop", "10.0.0.1:80", 1, 1, SLOTS, False), 0.0)
    return gate


@pytest.fixture
def gate():
    return opened(Gate())


@pytest.fixture
def fifo_gate():
    return opened(FifoGate())


class Load:
    """Open-loop load on a gate beyond its capacity, with the callers' results."""

    def __init__(self, gate, seconds=6.0, factor=1.5):
        self.gate = gate
        self.offered = self.on_target = self.refused = 0
        self.ends, self.arrivals = {}, {}
        step, due = 0.005, 0.0
        for tick in range(int(seconds / step)):
            now = tick * step
            self.finish(now)
            due += factor * SLOTS / SERVICE_S * step
            while due >= 1:
                due -= 1
                self.offer(now)

    def finish(self, now):
        for number in [n for n, end in self.ends.items() if end <= now]:
            del self.ends[number]
            self.on_target += now <= self.arrivals[number] + TARGET_S
            self.take(self.gate.finish(number, True, now), now)

    def offer(self, now):
        self.offered += 1
        self.arrivals[self.offered] = now
        request = Ticket(
            self.offered, "u1", "shop", "r", 1, now + TARGET_S, now + DEADLINE_S
        )
        self.take(self.gate.admit(request, now), now)

    def take(self, effects, now):
        for effect in effects:
            if isinstance(effect, StartWork):
                self.ends[effect.number] = now + SERVICE_S
            self.refused += isinstance(effect, RefuseWork)


def test_under_overload_most_of_the_capacity_answers_on_target(gate):
    load = Load(gate)
    assert load.on_target / load.offered > 0.9 / 1.5


def test_the_same_load_is_mostly_late_first_in_first_out(fifo_gate):
    load = Load(fifo_gate)
    assert load.on_target / load.offered < 0.3 / 1.5


def share_outside_domain(placement):
    """Return the share of a light load that leaves the failure domain."""
    entries = [
        HostEntry(f"h{n}", f"d{n}", f"r{n // 2}", "", UpstreamEntry(f"u{n}", "s", 9, 0))
        for n in range(6)
    ]
    views = UpstreamViews("d0", "r0", placement)
    views.update(entries)
    parts = (Destination("s", 1),)
    rule = RouteRule("r", "h", "/", parts, RequestKind.IDEMPOTENT, 1.0, 0.3, 2, 1)
    chosen = [views.choose(entries, rule, set(), 0.0) for _ in range(600)]
    return sum(view.entry.domain != "d0" for view in chosen) / len(chosen)


def test_a_light_load_stays_in_the_failure_domain():
    assert share_outside_domain(NearestWithCapacity(Random(1))) == 0.0


def test_random_placement_sends_most_calls_out_of_the_failure_domain():
    assert 0.75 < share_outside_domain(RandomPlacement(Random(1))) < 0.9

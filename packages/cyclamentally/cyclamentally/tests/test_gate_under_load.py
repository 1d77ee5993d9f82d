"""Simulates a gate that gets more requests than its upstream can answer."""

from heapq import heappop, heappush
from math import exp
from random import Random

import pytest

from cyclamentally.gate import Gate
from cyclamentally.gate_messages import Heartbeat, RefuseWork, StartWork, Ticket

SLOTS = 9
MEAN_SERVICE_TIME_S = 0.11
SERVICE_TIME_SIGMA = 0.3
TARGET_S = 0.3
DEADLINE_S = 1.0
# A refusal within this share of the target costs its caller nothing.
FREE_REFUSAL_SHARE = 1 / 8
URGENT_SHARE = 0.15
TICK_S = 0.05
DURATION_S = 30.0


class Simulation:
    """Simulation of a gate with random arrivals and service times."""

    def __init__(self, load, seed):
        self.random = Random(seed)
        self.gate = Gate()
        self.gate.on_routes_known()
        self.gate.on_heartbeat(Heartbeat("u1", "shop", "a:1", 1, 1, SLOTS, False), 0.0)
        self.load = load
        self.events = []
        self.arrived = {}
        self.served = []
        self.refused = []

    def run(self):
        """Process all arrivals, ticks and ends of requests in order."""
        now, number = 0.0, 0
        while now < DURATION_S:
            now += self.random.expovariate(self.load * SLOTS / MEAN_SERVICE_TIME_S)
            number += 1
            heappush(self.events, (now, number, "arrives"))
        ticked = 0.0
        while self.events:
            now, number, event = heappop(self.events)
            while ticked + TICK_S < now:
                ticked += TICK_S
                self._apply(self.gate.tick(ticked), ticked)
            if event == "arrives":
                self.arrived[number] = now
                self._apply(self.gate.admit(self._ticket(number, now), now), now)
            else:
                self.served.append(now - self.arrived[number])
                self._apply(self.gate.finish(number, True, now), now)

    def share_in_time(self):
        in_time = sum(took <= TARGET_S for took in self.served)
        return in_time / len(self.arrived)

    def share_of_late_refusals(self):
        """Return the share of refusals after the time in which they cost nothing."""
        held = sum(took > FREE_REFUSAL_SHARE * TARGET_S for took in self.refused)
        return held / max(1, len(self.refused))

    def _ticket(self, number, now):
        rank = 1 if self.random.random() < URGENT_SHARE else 2
        target, expires = now + TARGET_S, now + DEADLINE_S
        return Ticket(number, "u1", "shop", f"route {rank}", rank, target, expires)

    def _apply(self, effects, now):
        for effect in effects:
            if isinstance(effect, StartWork):
                work = MEAN_SERVICE_TIME_S * exp(
                    self.random.gauss(-(SERVICE_TIME_SIGMA**2) / 2, SERVICE_TIME_SIGMA)
                )
                heappush(self.events, (now + work, effect.number, "ends"))
            elif isinstance(effect, RefuseWork):
                self.refused.append(now - self.arrived[effect.number])


@pytest.fixture(params=[1, 2, 3])
def simulate(request):
    def make(load):
        simulation = Simulation(load, request.param)
        simulation.run()
        return simulation

    return make


@pytest.mark.parametrize("load", [1.3, 1.6])
def test_overload_keeps_most_of_the_capacity_within_target(simulate, load):
    assert simulate(load).share_in_time() >= 0.85 / load


@pytest.mark.parametrize("load", [1.3, 1.6])
def test_most_refusals_under_overload_are_immediate(simulate, load):
    assert simulate(load).share_of_late_refusals() <= 0.5


def test_below_the_capacity_nearly_all_are_answered_in_time(simulate):
    assert simulate(0.8).share_in_time() >= 0.93

"""Drive the coordination parts from a plain loop with a simulated clock.

Run it with ``.venv/bin/python samples/embed.py``. It uses no daemon, socket or
thread.
"""

from random import Random

from cyclamentally_platform.bodies import JsonBodyCodec

from cyclamentally.admission import Admission, Call, Granted
from cyclamentally.chart import ChartLoader
from cyclamentally.control import TICK_S, ControlPlane, Identity
from cyclamentally.effects import Send
from cyclamentally.errors import Kind, Refused
from cyclamentally.model import Upstream
from cyclamentally.retries import Failure, RequestAttempts
from cyclamentally.routing import NearestChooser
from cyclamentally.versions import ProfileVersion

START_MS = 1_800_000_000_000
PROFILE = {
    "services": {"standings": {"slow_start_ms": 0}},
    "routes": {"/standings": {"service": "standings"}},
}
LAMP = {
    "initial": "dark",
    "final": [],
    "events": ["press"],
    "states": {
        "dark": {"on": {"press": [{"to": "lit", "actions": ["report"]}]}},
        "lit": {"on": {"press": [{"to": "dark", "actions": ["report"]}]}},
    },
}


class Lamp:
    """An object whose state a chart controls."""

    __slots__ = ("state",)

    def __init__(self):
        self.state = "dark"

    def report(self, message):
        """Return the effects of a transition; here a text."""
        return [f"now {self.state}"]


def run_chart():
    """Fire two events of a custom chart; return the effects."""
    chart = ChartLoader("lamp", LAMP, Lamp).load()
    lamp = Lamp()
    return chart.fire(lamp, "press") + chart.fire(lamp, "press")


class Loop:
    """Delivers messages between control planes without a network."""

    __slots__ = ("now", "planes")

    def __init__(self, names):
        self.now = 0.0
        random = Random(1)
        self.planes = {}
        for number, name in enumerate(names, 1):
            address = f"10.0.0.{number}:7100"
            identity = Identity(name, "domain-1", "region-1", address, START_MS)
            seeds = ["10.0.0.1:7100"]
            plane = ControlPlane(
                identity, "region-1", seeds, JsonBodyCodec(), random, self.now
            )
            self.planes[address] = plane

    def step(self):
        """Advance the clock by a tick and deliver all messages."""
        self.now += TICK_S
        for plane in self.planes.values():
            self.deliver(plane.tick(self.now))

    def deliver(self, effects):
        """Deliver messages at once; ignore other effects."""
        for effect in effects:
            if isinstance(effect, Send) and effect.address in self.planes:
                receiver = self.planes[effect.address]
                self.deliver(receiver.receive(effect.message, self.now))


def run_control():
    """Distribute a version and an upstream to three nodes; return their snapshots."""
    loop = Loop(["a", "b", "c"])
    for _ in range(20):
        loop.step()
    first = loop.planes["10.0.0.1:7100"]
    body = JsonBodyCodec().canonical(PROFILE)
    version = ProfileVersion("night", 1, False, "ann", "op-1", body)
    for plane in loop.planes.values():
        if plane.relay.state == "source":
            loop.deliver(plane.on_platform_versions([version], True, loop.now))
    upstream = Upstream("standings", "night", "10.0.0.1:9000", 2, 20, False)
    loop.deliver(first.announce([upstream], loop.now))
    loop.step()
    return [plane.snapshot for plane in loop.planes.values()]


def run_calls(snapshot):
    """Admit a request, fail its first attempt, and retry it."""
    admission = Admission(NearestChooser("domain-1", "region-1", Random(1)))
    admission.update(snapshot, 0.0)
    route = snapshot.find_route("/standings/1")
    policy = snapshot.clusters[route.service].policy
    attempts = RequestAttempts(1, route, policy, True, 2.0)
    steps = []
    now = 0.0
    for refusal in (Refused(Kind.UPSTREAM_TRUNCATED, "cut"), None):
        (granted,) = admission.request(attempts.call(), now)
        assert isinstance(granted, Granted)
        attempts.grant(granted.location)
        now += 0.01
        if refusal is None:
            attempts.answer()
        else:
            attempts.fail(Failure(refusal, now))
        admission.finish(1, refusal.kind if refusal else None, now)
        steps.append(attempts.state)
    waiting = Call(2, "standings", "lookup", 2.0, 1, [])
    steps.extend(type(e).__name__ for e in admission.request(waiting, now))
    return steps


def main():
    """Run all parts and print what they decide."""
    print("chart:", *run_chart())
    snapshots = run_control()
    routes = [len(snapshot.routes) for snapshot in snapshots]
    print("routes on each node:", *routes)
    print("request:", *run_calls(snapshots[-1]))


if __name__ == "__main__":
    main()

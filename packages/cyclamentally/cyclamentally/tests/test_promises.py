"""Random sequences of faults and changes; invariants are checked after each step."""

import os
from uuid import UUID

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from cyclamentally.call_messages import ClaimReply, ClaimRequest
from cyclamentally.claims import Claimant, ClaimDecided
from cyclamentally.effects import Send
from cyclamentally.idempotency import GRANTED, KeyOwner
from cyclamentally.messages import Summary
from cyclamentally.model import MemberRecord, Upstream
from cyclamentally.tests.support import SimulatedFleet, body_of, document_of, version_of

EXAMPLES = int(os.environ.get("FUZZ_EXAMPLES", "12"))
IS_FUZZ = "FUZZ_EXAMPLES" in os.environ
SETTINGS = settings(
    max_examples=EXAMPLES,
    derandomize=not IS_FUZZ,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
NAMES = ["r1-1-a", "r1-1-b", "r1-2-a", "r1-2-b", "r2-1-a", "r2-1-b", "r2-1-c"]
PROFILES = ["day", "night"]
BAD = {"services": {}, "routes": {"/x": {"service": "missing"}}}


class FleetSimulation:
    """A small fleet under faults, with the written bodies and highest versions."""

    def __init__(self, seed):
        self.fleet = SimulatedFleet(seed)
        self.fleet.planes.clear()
        for name in NAMES:
            self.add(name)
        self.bodies = {}
        self.loss = 0.0
        self.highest = {}
        deliver = self.fleet.deliver

        def deliver_with_loss(sender, send):
            if self.fleet.random.random() < self.loss:
                return
            deliver(sender, send)
            if self.fleet.random.random() < self.loss:
                deliver(sender, send)

        self.fleet.deliver = deliver_with_loss

    def add(self, name):
        region, number, _ = name.split("-")
        region = "gogledd" if region == "r1" else "de"
        seeds = [p.identity.address for p in self.fleet.planes.values()]
        self.fleet.add(name, f"{region}-{number}", region, seeds)

    def put(self, profile, kind):
        versions = self.fleet.platform.versions
        number = versions[profile].version + 1 if profile in versions else 1
        document = BAD if kind == "bad" else document_of("standings", timeout_ms=number)
        if kind == "good":
            document["services"]["standings"]["timeout_ms"] = 1_000 + number
        is_deleted = kind == "delete"
        self.bodies[profile, number] = b"" if is_deleted else body_of(document)
        self.fleet.platform.write(version_of(profile, number, document, is_deleted))

    def kill(self, name):
        if name in self.fleet.planes:
            self.fleet.kill(name)
            self.fleet.paused.discard(name)

    def start(self, name):
        if name not in self.fleet.planes:
            self.fleet.now += 0.01
            self.add(name)
            self.highest = {k: v for k, v in self.highest.items() if k[0] != name}

    def pause(self, name):
        if name in self.fleet.planes:
            self.fleet.paused.symmetric_difference_update([name])

    def cut(self, group):
        self.fleet.is_cut = lambda a, b: (a in group) != (b in group)

    def announce(self, name, draining):
        if name in self.fleet.planes and name not in self.fleet.paused:
            upstream = Upstream("standings", "night", "10.1.1.1:80", 4, 40, draining)
            plane = self.fleet.planes[name]
            self.fleet.carry_out(name, plane.announce([upstream], self.fleet.now))

    def withdraw(self, name):
        if name in self.fleet.planes and name not in self.fleet.paused:
            plane = self.fleet.planes[name]
            self.fleet.carry_out(name, plane.announce([], self.fleet.now))

    def set_platform(self, is_up):
        self.fleet.platform.is_up = is_up

    def set_loss(self, loss):
        self.loss = loss

    def run(self, ticks):
        for _ in range(ticks):
            self.fleet.step()
            self.check()

    def check(self):
        for name, plane in self.fleet.planes.items():
            for profile, tracked in plane.versions.tracked.items():
                self.check_version(name, profile, tracked)
            for route in plane.snapshot.routes:
                assert plane.snapshot.clusters[route.service].locations

    def check_version(self, name, profile, tracked):
        installed = tracked.installed
        if installed is None:
            return
        assert installed.version >= self.highest.get((name, profile), 0)
        self.highest[name, profile] = installed.version
        assert installed.body == self.bodies[profile, installed.version]
        assert tracked.newest_seen >= installed.version

    def heal(self):
        self.loss = 0.0
        self.fleet.is_cut = lambda a, b: False
        self.fleet.platform.is_up = True
        self.fleet.paused.clear()
        for name in NAMES:
            self.start(name)
        self.run(250)

    def check_agreement(self):
        written = self.fleet.platform.versions
        for plane in self.fleet.planes.values():
            assert plane.lifecycle.state == "serving"
            for name, version in written.items():
                assert plane.versions.newest_seen(name) == version.version
            live = {r.node for r in plane.table.records() if r.status == "alive"}
            assert live == set(NAMES)
        hashes = {plane.table.hash for plane in self.fleet.planes.values()}
        assert len(hashes) == 1


names = st.sampled_from(NAMES)
steps = st.one_of(
    st.tuples(
        st.just("put"),
        st.sampled_from(PROFILES),
        st.sampled_from(["good", "good", "bad", "delete"]),
    ),
    st.tuples(st.just("kill"), names),
    st.tuples(st.just("start"), names),
    st.tuples(st.just("pause"), names),
    st.tuples(st.just("cut"), st.frozensets(names, max_size=4)),
    st.tuples(st.just("announce"), names, st.booleans()),
    st.tuples(st.just("withdraw"), names),
    st.tuples(st.just("set_platform"), st.booleans()),
    st.tuples(st.just("set_loss"), st.sampled_from([0.0, 0.1, 0.5])),
    st.tuples(st.just("run"), st.integers(1, 40)),
)


@SETTINGS
@given(st.lists(steps, max_size=25), st.integers(0, 1_000))
def test_configuration_invariants_hold_under_random_faults(script, seed):
    simulation = FleetSimulation(seed)
    simulation.run(15)
    for method, *arguments in script:
        getattr(simulation, method)(*arguments)
        simulation.check()
        simulation.run(1)
    simulation.heal()
    simulation.check_agreement()


DOMAIN = ["a", "b", "c", "d", "e"]
EPOCH_MS = 1_800_000_000_000


class ClaimSimulation:
    """Claimants and key owners of one domain; members and messages may be late."""

    def __init__(self):
        self.now_ms = EPOCH_MS + 100_000
        self.nodes = {}
        self.alive = dict.fromkeys(DOMAIN, True)
        self.queue = []
        self.granted = {}
        self.reported = set()
        self.records = {node: self.record(node, "alive") for node in DOMAIN}
        for node in DOMAIN:
            self.start_node(node)
        self.tickets = 0

    def record(self, node, status, started=EPOCH_MS):
        address = f"10.0.0.{DOMAIN.index(node)}:1"
        return MemberRecord(node, started, status, "d-1", "r", address, [], started)

    def start_node(self, node):
        record = self.records[node]

        def sign():
            return Summary(node, record.address, "r", 0, 0, 0, True)

        owner = KeyOwner(node, "d-1", sign, record.started_ms)
        owner.update(list(self.records.values()), self.now_ms)
        self.nodes[node] = Claimant(owner, sign)

    def key(self, number, age_ms):
        minted = self.now_ms - age_ms
        return f"d-1.{UUID(int=(minted << 80) | (7 << 76) | (2 << 62) | number)}"

    def send(self, node, key):
        if not self.alive[node]:
            return
        self.tickets += 1
        ticket = f"t{self.tickets}"
        effects = self.nodes[node].ask(key, 1, ticket, 1_000, self.now_ms)
        self.carry_out(node, effects, key)

    def carry_out(self, node, effects, key=""):
        for effect in effects:
            if isinstance(effect, Send):
                self.queue.append((effect.address, effect.message, key))
            elif isinstance(effect, ClaimDecided) and effect.verdict.kind == GRANTED:
                self.granted.setdefault(key, []).append(effect.ticket)
                assert self.runs(key) <= 1, key

    def runs(self, key):
        tickets = self.granted.get(key, [])
        return len([t for t in tickets if t not in self.reported])

    def deliver(self, index):
        if not self.queue:
            return
        address, message, key = self.queue.pop(index % len(self.queue))
        node = DOMAIN[int(address.split(".")[3].split(":")[0])]
        if not self.alive[node]:
            return
        claimant = self.nodes[node]
        if isinstance(message, ClaimRequest):
            effects = claimant.owner.on_request(message, self.now_ms)
            self.carry_out(node, effects, message.key)
        elif isinstance(message, ClaimReply):
            self.carry_out(node, claimant.on_reply(message), key)
        else:
            claimant.owner.on_result(message, self.now_ms)

    def crash(self, node):
        self.alive[node] = False
        self.records[node] = self.record(node, "dead", self.records[node].started_ms)

    def restart(self, node):
        if not self.alive[node]:
            self.alive[node] = True
            self.records[node] = self.record(node, "alive", self.now_ms)
            self.start_node(node)

    def update_members(self):
        for node, claimant in self.nodes.items():
            if self.alive[node]:
                claimant.owner.update(list(self.records.values()), self.now_ms)

    def wait(self, ms):
        self.now_ms += ms
        for claimant in self.nodes.values():
            claimant.owner.tick(self.now_ms)


nodes = st.sampled_from(DOMAIN)
key_steps = st.one_of(
    st.tuples(st.just("send"), nodes, st.integers(0, 2)),
    st.tuples(st.just("send"), nodes, st.integers(0, 2)),
    st.tuples(st.just("deliver"), st.integers(0, 9)),
    st.tuples(st.just("deliver"), st.integers(0, 9)),
    st.tuples(st.just("crash"), nodes),
    st.tuples(st.just("restart"), nodes),
    st.tuples(st.just("wait"), st.sampled_from([10, 1_000, 6_000, 15_000])),
)


@settings(SETTINGS, max_examples=20 * EXAMPLES)
@given(st.lists(key_steps, max_size=60), st.integers(0, 20_000))
def test_key_runs_at_most_once(script, age_ms):
    """Members learn of a lost node within 6 s, the bound of the failure detector."""
    simulation = ClaimSimulation()
    keys = [simulation.key(number, age_ms) for number in range(3)]
    for method, *arguments in script:
        if method == "send":
            simulation.send(arguments[0], keys[arguments[1]])
        else:
            getattr(simulation, method)(*arguments)
        if method in ("restart", "wait"):
            simulation.update_members()

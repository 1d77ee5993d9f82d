"""Test support: control planes that exchange messages in memory."""

from collections import deque
from random import Random

from cyclamentally_platform.bodies import JsonBodyCodec

from cyclamentally.control import TICK_S, ControlPlane, Identity
from cyclamentally.effects import Send, WatchPlatform
from cyclamentally.model import Upstream
from cyclamentally.snapshot import Location
from cyclamentally.versions import ProfileVersion

PLATFORM_REGION = "gogledd"


def body_of(document):
    return JsonBodyCodec().canonical(document)


def document_of(*services, timeout_ms=1_000):
    return {
        "services": {name: {"timeout_ms": timeout_ms} for name in services},
        "routes": {f"/{name}": {"service": name} for name in services},
    }


def version_of(name, number, document=None, deleted=False):
    body = b"" if deleted else body_of(document or document_of("standings"))
    return ProfileVersion(name, number, deleted, "ann", f"op-{number}", body)


def location_of(number, domain="d-1", region="r", slots=2, draining=False):
    address = f"10.0.0.{number}:80"
    upstream = Upstream("standings", "night", address, slots, 120, draining)
    return Location(upstream, f"n{number}", domain, region)


class FakePlatform:
    """Platform in memory: the newest version of each profile, by name."""

    def __init__(self):
        self.versions = {}
        self.is_up = True

    def write(self, version):
        self.versions[version.name] = version


class SimulatedFleet:
    """A few control planes with in-memory delivery and a simulated clock."""

    def __init__(self, seed=1):
        self.random = Random(seed)
        self.now = 100.0
        self.planes = {}
        self.by_address = {}
        self.queue = deque()
        self.platform = FakePlatform()
        self.watching = {}
        self.delivered_versions = {}
        self.is_cut = lambda sender, receiver: False
        self.cut_from_platform = set()
        self.paused = set()
        self.sent = []
        self.full_reads = []
        self.effects = []
        self.started_count = 0

    def add(self, name, domain, region=PLATFORM_REGION, seeds=()):
        self.started_count += 1
        address = f"10.0.0.{self.started_count}:7100"
        identity = Identity(name, domain, region, address, int(self.now * 1_000))
        seeds = list(seeds) or [p.identity.address for p in self.planes.values()]
        plane = ControlPlane(
            identity, PLATFORM_REGION, seeds, JsonBodyCodec(), self.random, self.now
        )
        self.planes[name] = plane
        self.by_address[address] = name
        self.watching.pop(name, None)
        self.delivered_versions.pop(name, None)
        return plane

    def kill(self, name):
        del self.planes[name]
        self.watching.pop(name, None)

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.step()

    def run_until(self, condition, seconds):
        end = self.now + seconds
        while not condition():
            assert self.now < end, "condition not met within the time limit"
            self.step()

    def step(self):
        self.now += TICK_S
        for name in list(self.planes):
            if name not in self.paused:
                self.carry_out(name, self.planes[name].tick(self.now))
        self.notify_watchers()
        self.deliver_all()

    def notify_watchers(self):
        for name in list(self.watching):
            plane = self.planes.get(name)
            if plane is None or name in self.paused:
                continue
            is_up = self.platform.is_up and name not in self.cut_from_platform
            self.carry_out(name, plane.on_platform_state(is_up))
            if not is_up:
                self.delivered_versions.pop(name, None)
                continue
            known = self.delivered_versions.get(name)
            current = dict(self.platform.versions)
            if known == current:
                continue
            self.delivered_versions[name] = current
            if known is None:
                self.full_reads.append(name)
            changed = [v for n, v in current.items() if not known or known.get(n) != v]
            effects = plane.on_platform_versions(changed, known is None, self.now)
            self.carry_out(name, effects)

    def carry_out(self, name, effects):
        for effect in effects:
            self.effects.append((name, effect))
            if isinstance(effect, Send):
                self.queue.append((name, effect))
            elif isinstance(effect, WatchPlatform):
                self.watching.pop(name, None)
                self.delivered_versions.pop(name, None)
                if effect.active:
                    self.watching[name] = True

    def deliver_all(self):
        while self.queue:
            self.deliver(*self.queue.popleft())

    def deliver(self, sender, send):
        receiver = self.by_address.get(send.address)
        if receiver not in self.planes or sender not in self.planes:
            return
        if receiver in self.paused or self.is_cut(sender, receiver):
            return
        self.sent.append((sender, receiver, send.message))
        plane = self.planes[receiver]
        self.carry_out(receiver, plane.receive(send.message, self.now))

    def installed(self, profile):
        return {
            name: plane.versions.tracked[profile].installed.version
            for name, plane in self.planes.items()
            if profile in plane.versions.tracked
            and plane.versions.tracked[profile].installed
        }

    def all_at(self, profile, number, names=None):
        installed = self.installed(profile)
        return all(installed.get(n) == number for n in names or self.planes)

    def states(self, name):
        plane = self.planes[name]
        return {record.node: record.status for record in plane.table.records()}

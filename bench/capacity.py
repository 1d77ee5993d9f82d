"""Measure how state, time and message sizes grow with members and profiles.

One control plane is filled with members (each with one upstream) and with
profiles of about 9 kB. Memory is measured by ``tracemalloc``; times are CPU time
of the decision code without encoding.
"""

import gc
import json
import tracemalloc
from pathlib import Path
from random import Random
from time import process_time

from cyclamentally_platform.bodies import JsonBodyCodec

from cyclamentally.control import REBUILDS_PER_S, ControlPlane, Identity
from cyclamentally.effects import ConfigurationChanged, Send
from cyclamentally.messages import Beat, MemberDigest, MemberUpdates, Ping, Report
from cyclamentally.model import MemberRecord, Upstream
from cyclamentally.versions import ProfileVersion
from cyclamentally_node.peer_codec import decode_message, encode_message

MEMBERS = [475, 950, 1_900]
PROFILES = [52, 105, 210]
SERVICES = 210
DOMAINS = 5
SERVICES_PER_PROFILE = 70
REPEATS = 200
RESULT = Path("bench/results/capacity.json")


class MeasuredPlane(ControlPlane):
    """A control plane with a way to rebuild its snapshot."""

    __slots__ = ()

    def rebuild_snapshot(self):
        """Rebuild the snapshot without a message."""
        self.rebuild_limit.tokens = REBUILDS_PER_S
        self._rebuild_snapshot([ConfigurationChanged()], 0.0)


def make_plane():
    """Return an empty control plane."""
    identity = Identity("n-0", "d-0", "r-0", "10.0.0.0:7100", 1)
    return MeasuredPlane(identity, "r-0", [], JsonBodyCodec(), Random(1), 0.0)


def record_of(number):
    """Return the record of a member with one upstream."""
    domain = number % DOMAINS
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    service = f"service-{number % SERVICES}"
    upstream = Upstream(service, "p-0", f"{address}:9000", 10, 120, False)
    return MemberRecord(
        f"host-{number}",
        1_800_000_000_000,
        "alive",
        f"d-{domain}",
        f"r-{domain % 2}",
        f"{address}:7100",
        [upstream],
        1_800_000_000_000,
    )


def document_of(first):
    """Return a profile of about 9 kB."""
    names = [f"service-{(first + n) % SERVICES}" for n in range(SERVICES_PER_PROFILE)]
    services = {
        name: {"timeout_ms": 1_000, "queue_wait_ms": 200, "max_attempts": 3}
        for name in names
    }
    return {
        "services": services,
        "routes": {f"/{name}": {"service": name} for name in services},
    }


def timed_ms(action):
    """Return the mean CPU time of an action in ms."""
    started = process_time()
    for _ in range(REPEATS):
        action()
    return round((process_time() - started) / REPEATS * 1e3, 3)


def measure_members(count):
    """Return the cost of a number of members."""
    plane = make_plane()
    gc.collect()
    tracemalloc.start()
    for number in range(1, count):
        plane.table.apply(record_of(number))
    plane.topology.relays("d-0")
    plane.topology.children("n-0")
    gc.collect()
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    body = JsonBodyCodec().canonical(document_of(0))
    plane.versions.install(ProfileVersion("p-0", 1, False, "", "", body))

    def recompute():
        plane.table.generation += 1
        plane.topology.followers()
        plane.topology.children("n-0")

    records = plane.table.records()
    digest = MemberDigest(
        plane.summarize(),
        list(range(32)),
        [r.node for r in records],
        [r.incarnation for r in records],
        [0] * len(records),
        True,
    )
    return {
        "members": count,
        "memory_kb": round(memory_kb),
        "topology_ms": timed_ms(recompute),
        "snapshot_ms": timed_ms(plane.rebuild_snapshot),
        "tick_ms": timed_ms(lambda: plane.tick(0.5)),
        "record_bytes": len(encode_message(_updates(plane, records[1:2]))),
        "join_bytes": len(encode_message(_updates(plane, records))),
        "digest_bytes": len(encode_message(digest)),
    }


def _updates(plane, records):
    return MemberUpdates(plane.summarize(), "", records)


def measure_profiles(count):
    """Return the cost of a number of profiles."""
    plane = make_plane()
    bodies = [JsonBodyCodec().canonical(document_of(n)) for n in range(count)]
    gc.collect()
    tracemalloc.start()
    started = process_time()
    for number, body in enumerate(bodies):
        version = ProfileVersion(f"p-{number}", 1, False, "", "", bytes(body))
        plane.versions.install(version)
    elapsed = process_time() - started
    gc.collect()
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    return {
        "profiles": count,
        "memory_kb": round(memory_kb),
        "install_ms": round(elapsed / count * 1e3, 3),
        "body_bytes": len(bodies[0]),
    }


def measure_messages():
    """Return the CPU time to decode and handle common messages."""
    plane = make_plane()
    for number in range(1, MEMBERS[-1]):
        plane.table.apply(record_of(number))
    peer = plane.summarize()
    peer.node = "host-5"
    peer.address = "10.0.0.5:7100"
    refused = []
    messages = {
        "ping": Ping(peer, 1, []),
        "beat": Beat(peer, True, []),
        "report": Report(peer, "d-0", refused),
    }
    costs = {}
    for name, message in messages.items():
        data = encode_message(message)
        costs[f"{name}_bytes"] = len(data)
        costs[f"{name}_ms"] = timed_ms(lambda data=data: _handle(plane, data))
    return costs


def _handle(plane, data):
    for effect in plane.receive(decode_message(data).value, 0.0):
        if isinstance(effect, Send):
            encode_message(effect.message)


def main():
    """Measure and write the result."""
    result = {
        "messages": measure_messages(),
        "members": [measure_members(count) for count in MEMBERS],
        "profiles": [measure_profiles(count) for count in PROFILES],
    }
    RESULT.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()

"""Measure convergence time and control bytes on real node processes.

Every size is run with the product and with two baselines: every node watches
the platform, and one node pushes whole values to all. A one-way link delay
(8 ms between regions, 1 ms elsewhere) is added in the sending task and in the
client of the platform; a platform call takes two such delays.
"""

import json
import sys
from pathlib import Path
from random import Random
from statistics import median, quantiles
from threading import Event
from time import monotonic, time

from cyclamentally_platform.bodies import JsonBodyCodec
from cyclamentally_platform.client import HttpPlatform
from cyclamentally_platform.stored import JsonStoredCodec

from cyclamentally.errors import Refused
from cyclamentally.publishing import Publisher
from cyclamentally_testing.fleet import Fleet, make_hosts
from cyclamentally_testing.processes import cpu_seconds, resident_kb

REGIONS = ["gogledd", "canolbarth", "de"]
DOMAINS_PER_REGION = 2
SIZES = [12, 24, 48, 96]
WAYS = ["product", "watch", "flat"]
CHANGES = 10
SMALL_CHANGE_SERVICES = 1
LARGE_CHANGE_SERVICES = 60
POLL_S = 0.4
IDLE_S = 10.0
SERVICES = 70
PROFILE = "night"
RESULT = Path("bench/results/spread.json")


def document_of(number, touched):
    """Return a profile of about 9 kB with ``touched`` values seeded by a number."""
    services = {
        f"service-{n}": {"timeout_ms": 1_000, "queue_wait_ms": 200, "max_attempts": 3}
        for n in range(SERVICES)
    }
    random = Random(number)
    for n in range(touched):
        services[f"service-{n}"]["timeout_ms"] = random.randint(100, 5_000)
    routes = {f"/{name}": {"service": name} for name in services}
    return {"services": services, "routes": routes}


class Measurement:
    """Measurement of one fleet size and one way of distribution.

    Parameters
    ----------
    size : int
        Number of nodes.
    way : str
        ``product`` or a baseline.
    """

    __slots__ = ("fleet", "pause", "publisher", "size", "way")

    def __init__(self, size, way):
        self.size = size
        self.way = way
        self.pause = Event()
        hosts_per_domain = size // (len(REGIONS) * DOMAINS_PER_REGION)
        hosts = make_hosts(
            REGIONS, DOMAINS_PER_REGION, [""] * hosts_per_domain, PROFILE
        )
        command = ["cyclamentally_testing.delayed_node", way]
        self.fleet = Fleet(hosts, REGIONS[0], command)
        codec = JsonBodyCodec()
        platform = HttpPlatform(f"http://{self.fleet.platform_address}", 3.0)
        self.publisher = Publisher(
            platform, JsonStoredCodec(codec), codec, "bench", lambda: str(time())
        )

    def run(self):
        """Return the figures as a dictionary for the result file."""
        try:
            self.fleet.start()
            hosts = self.fleet.hosts
            self.fleet.wait_until(lambda: all(map(self.fleet.is_serving, hosts)))
            self._change(0, SMALL_CHANGE_SERVICES)
            self.pause.wait(5.0)
            return {"way": self.way, "nodes": self.size} | self._measure()
        finally:
            self.fleet.close()

    def _measure(self):
        idle = self._rates(lambda: self.pause.wait(IDLE_S))
        times = []
        small = self._rates(
            lambda: times.extend(self._changes(1, SMALL_CHANGE_SERVICES))
        )
        large = self._rates(
            lambda: times.extend(self._changes(101, LARGE_CHANGE_SERVICES))
        )
        spread = [t for change in times for t in change]
        last = [max(change) for change in times]
        return {
            "changes": 2 * CHANGES,
            "convergence_p50_s": round(median(spread), 4),
            "convergence_p99_s": round(quantiles(spread, n=100)[98], 4),
            "convergence_max_s": round(max(spread), 4),
            "last_node_p50_s": round(median(last), 4),
            "small_delta_bytes": self._delta_bytes(1, SMALL_CHANGE_SERVICES),
            "small_crossing_bytes": self._per_change(small, idle),
            "large_delta_bytes": self._delta_bytes(101, LARGE_CHANGE_SERVICES),
            "large_crossing_bytes": self._per_change(large, idle),
            "idle_bytes_per_node_s": round(idle["bytes"] / idle["s"] / self.size),
            "idle_crossing_bytes_s": round(idle["crossing"] / idle["s"]),
            "idle_cpu_percent": self._percent(idle),
            "change_cpu_percent": self._percent(small),
            "change_s": round(small["s"] / CHANGES, 2),
            "platform_calls_idle_s": round(idle["calls"] / idle["s"], 2),
            "platform_calls_per_change": round(small["calls"] / CHANGES, 1),
            "resident_kb_max": max(self._resident()),
            "resident_kb_median": round(median(self._resident())),
        }

    def _changes(self, first, touched):
        numbers = range(first, first + CHANGES)
        return [self._change(number, touched) for number in numbers]

    def _per_change(self, during, idle):
        idle_part = idle["config"] / idle["s"] * during["s"]
        return round((during["config"] - idle_part) / CHANGES)

    def _percent(self, rates):
        return round(100 * rates["cpu"] / rates["s"] / self.size, 2)

    def _change(self, number, touched):
        """Write a change; return the seconds until each node installed it."""
        written = self.publisher.put(PROFILE, document_of(number, touched))
        accepted = time()
        if isinstance(written, Refused):
            raise SystemExit(written.detail)
        version = written.value.version
        started = monotonic()
        while True:
            times = self.fleet.install_times(PROFILE, version)
            if len(times) == self.size:
                break
            if monotonic() - started > 30:
                raise SystemExit(
                    f"{len(times)} of {self.size} nodes installed it within 30 s"
                )
            self.pause.wait(POLL_S)
        return [max(0.0, t - accepted) for t in times.values()]

    def _rates(self, action):
        before = self._totals()
        started = monotonic()
        action()
        elapsed = monotonic() - started
        after = self._totals()
        return {key: after[key] - before[key] for key in before} | {"s": elapsed}

    def _totals(self):
        totals = {"bytes": 0, "crossing": 0, "config": 0, "cpu": 0, "calls": 0}
        for host in self.fleet.hosts:
            self._add_bytes(totals, self.fleet.metrics(host))
            totals["cpu"] += cpu_seconds(self.fleet.processes[host.name].pid)
        calls = self.fleet.ask(self.fleet.platform_address, "/calls")
        totals["calls"] = sum(n for kind, n in calls.items() if kind != "other")
        return totals

    def _add_bytes(self, totals, metrics):
        for name, value in metrics.items():
            if "peer_bytes" not in name:
                continue
            labels = dict(
                part.split("=")
                for part in name.split("{")[1].strip("}").replace('"', "").split(",")
            )
            near, far = labels["regions"].split(">")
            message = labels["message"]
            # Counted by the receiver: answers of the platform; by the sender: all else.
            if "received" in name and message != "platform":
                continue
            totals["bytes"] += value
            if far not in (near, "unknown"):
                totals["crossing"] += value
                if message in ("ChangePush", "VersionDigest", "platform"):
                    totals["config"] += value

    def _delta_bytes(self, number, touched):
        codec = JsonBodyCodec()
        numbers = (number, number + 1)
        bodies = [codec.canonical(document_of(n, touched)) for n in numbers]
        return len(codec.pack_delta(*bodies))

    def _resident(self):
        processes = self.fleet.processes
        return [resident_kb(processes[host.name].pid) for host in self.fleet.hosts]


def main():
    """Measure every way of distribution at all sizes, or at those of the arguments."""
    sizes = [int(argument) for argument in sys.argv[1:]] or SIZES
    results = []
    for size in sizes:
        for way in WAYS:
            results.append(Measurement(size, way).run())
            print(json.dumps(results[-1]), flush=True)
    RESULT.write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()

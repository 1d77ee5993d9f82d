"""Measure calls through nodes against baselines; each part is one run.

Latency: the same load goes to an upstream directly, through a proxy without
logic and through a node. Faults: nodes with different choosers serve a mix
while one upstream drains, one is slow, one sheds and one crashes. Isolation:
lookups beside bulk requests, with shared slots and with preferred and fallback
groups. Outage: every upstream sheds everything.
"""

import json
from pathlib import Path
from statistics import median
from sys import argv
from threading import Event, Thread

from cyclamentally_platform.bodies import JsonBodyCodec
from cyclamentally_platform.client import HttpPlatform
from cyclamentally_platform.stored import JsonStoredCodec

from cyclamentally.publishing import Publisher
from cyclamentally_testing.fleet import Fleet, make_hosts
from cyclamentally_testing.load import Load, Operation, percentile_ms
from cyclamentally_testing.ports import ReservedPorts
from cyclamentally_testing.processes import cpu_seconds
from cyclamentally_testing.upstream_server import read_record

RESULT = Path("bench/results/calls.json")
RATE_PER_S = 150
COUNT = 3_000
ROUNDS = 7
COUNT_PER_ROUND = 400
FAULT_COUNT = 2_400
FAULT_RATE_PER_S = 200
SEED = 20261204
SLOTS = 10

LOOKUP = Operation("lookup", "GET", "/standings/1")
WORK = {"X-Work-Ms": "5"}
MIX = [
    Operation("lookup", "GET", "/standings/1", 8, WORK),
    Operation("post", "POST", "/results/1", 2, WORK, True),
]
BULK_MIX = [
    Operation("lookup", "GET", "/standings/1", 8, WORK),
    Operation("bulk", "GET", "/bundles/1", 2, {"X-Work-Ms": "150"}),
]
DOCUMENT = {
    "services": {
        "standings": {
            "timeout_ms": 2_000,
            "max_attempts": 3,
            "slow_start_ms": 500,
            "eject_ms": 2_000,
            "bulk_percent": 50,
            "queue_wait_ms": 1_000,
        }
    },
    "routes": {
        "/standings": {"service": "standings"},
        "/results": {"service": "standings"},
        "/bundles": {"service": "standings", "call_class": "bulk"},
    },
}


class CallFleet:
    """A fleet with one profile in force.

    Parameters
    ----------
    services : list of str
        One host for each.
    chooser : str
        Choice among upstreams.
    """

    __slots__ = ("fleet",)

    def __init__(self, services, chooser):
        hosts = make_hosts(["gogledd"], 1, services, "night")
        command = ["cyclamentally_testing.chooser_node", chooser]
        self.fleet = Fleet(hosts, "gogledd", command, SLOTS)

    def start(self):
        """Start all processes and wait for the route."""
        self.fleet.start()
        self.fleet.wait_until(lambda: all(map(self.fleet.is_serving, self.fleet.hosts)))
        codec = JsonBodyCodec()
        platform = HttpPlatform(f"http://{self.fleet.platform_address}", 3.0)
        stored = JsonStoredCodec(codec)
        Publisher(platform, stored, codec, "bench", lambda: "op").put("night", DOCUMENT)
        self.fleet.wait_until(lambda: all(map(self._has_route, self.fleet.hosts)))
        # Idempotency keys are only assigned to nodes that have run for 10 s.
        Event().wait(12.0)

    def close(self):
        """Stop all processes."""
        self.fleet.close()

    def executions(self):
        """Return how often each token ran, over all upstreams that answer."""
        totals = {}
        for host in self.fleet.hosts:
            if not host.service:
                continue
            try:
                record = read_record(self.fleet.pool, host.upstream)
            except OSError:
                continue
            for token, runs in record.items():
                totals[token] = totals.get(token, 0) + runs
        return totals

    def _has_route(self, host):
        response = self.fleet.pool.request("GET", f"http://{host.calls}/standings/1")
        return response.status == 200


def measure_latency():
    """Return latencies of each target at 150 calls/s and at saturation."""
    setup = CallFleet(["standings", ""], "nearest")
    reserved = ReservedPorts(1)
    try:
        setup.start()
        fleet = setup.fleet
        host, caller_host = fleet.hosts
        reserved.start()
        (port,) = reserved.ports
        module = "cyclamentally_testing.pass_through"
        fleet.spawn("pass", [module, str(port), host.upstream])
        targets = {
            "direct": host.upstream,
            "pass_through": f"127.0.0.1:{port}",
            "node": caller_host.calls,
        }
        Event().wait(1.0)
        result = _measure_in_turn(targets)
        pid = fleet.processes[caller_host.name].pid
        before = cpu_seconds(pid)
        Load([caller_host.calls], [LOOKUP], RATE_PER_S, seed=SEED).run(RATE_PER_S * 10)
        result["node_cpu_percent"] = round((cpu_seconds(pid) - before) * 10, 1)
    finally:
        setup.close()
        reserved.close()
    return result | _added(result)


def _measure_in_turn(targets):
    """Return the medians over rounds, each of which measures every target."""
    rounds = {name: [] for name in targets}
    for _ in range(ROUNDS):
        for name, address in targets.items():
            rounds[name].append(_measure_target(address))
    return {
        name: {key: round(median(r[key] for r in entries), 3) for key in entries[0]}
        for name, entries in rounds.items()
    }


def _measure_target(address):
    load = Load([address], [LOOKUP], RATE_PER_S, threads=8, seed=SEED)
    replies = load.run(COUNT_PER_ROUND)
    load = Load([address], [LOOKUP], 0, threads=8, seed=SEED)
    full = load.run(COUNT_PER_ROUND)
    busy_s = sum(reply.latency_us for reply in full) / 8 / 1e6
    return {
        "p50_ms": percentile_ms(replies, 50),
        "p99_ms": percentile_ms(replies, 99),
        "answered": sum(reply.status == 200 for reply in replies) / len(replies),
        "saturated_p50_ms": percentile_ms(full, 50),
        "saturated_p99_ms": percentile_ms(full, 99),
        "saturated_calls_s": len(full) / busy_s,
    }


def _added(result):
    direct, bare, node = (result[n] for n in ("direct", "pass_through", "node"))
    return {
        "added_p50_ms": round(node["p50_ms"] - direct["p50_ms"], 3),
        "added_p99_ms": round(node["p99_ms"] - direct["p99_ms"], 3),
        "bare_added_p99_ms": round(bare["p99_ms"] - direct["p99_ms"], 3),
        "p50_ratio_to_bare": round(node["p50_ms"] / bare["p50_ms"], 2),
    }


def measure_faults(chooser):
    """Return goodput and errors during faults of upstreams."""
    setup = CallFleet(["standings"] * 6 + [""] * 2, chooser)
    try:
        setup.start()
        fleet = setup.fleet
        hosts = fleet.hosts
        callers = [host.calls for host in hosts if not host.service]
        injector = Thread(target=_inject_faults, args=[fleet, hosts])
        injector.start()
        load = Load(callers, MIX, FAULT_RATE_PER_S, 32, SEED, "gogledd-1")
        replies = load.run(FAULT_COUNT)
        injector.join()
        executions = setup.executions()
    finally:
        setup.close()
    return _tally(replies, executions) | {"chooser": chooser}


def _inject_faults(fleet, hosts):
    """Drain, slow down, overload and crash one upstream each, in turn."""
    pause = Event()
    pause.wait(2.0)
    fleet.ask(hosts[0].upstream, "/drain")
    fleet.ask(hosts[1].upstream, "/behave?slow_ms=400")
    pause.wait(2.0)
    fleet.ask(hosts[2].upstream, "/behave?shed=1")
    pause.wait(2.0)
    name = f"{hosts[3].name}-upstream"
    fleet.processes[name].kill()
    fleet.processes[name].wait()
    pause.wait(2.0)
    fleet.start_upstream(hosts[3])


def _tally(replies, executions):
    good = [reply for reply in replies if reply.status == 200 and reply.is_own]
    posts = [reply for reply in replies if reply.operation == "post"]
    refused = [reply for reply in replies if reply.status != 200]
    reasons = {}
    for reply in refused:
        reasons[reply.reason] = reasons.get(reply.reason, 0) + 1
    return {
        "calls": len(replies),
        "good_percent": round(100 * len(good) / len(replies), 2),
        "lookup_p50_ms": percentile_ms([r for r in good if r.operation != "bulk"], 50),
        "lookup_p99_ms": percentile_ms([r for r in good if r.operation != "bulk"], 99),
        "refusals": reasons,
        "duplicates": sum(executions.get(reply.token, 0) > 1 for reply in posts),
        "wrong_not_run": sum(
            reply.ran == "no" and executions.get(reply.token, 0) > 0
            for reply in refused
        ),
        "wrong_answers": sum(r.status == 200 and not r.is_own for r in replies),
    }


def measure_isolation(chooser):
    """Return latencies of lookups beside bulk requests."""
    setup = CallFleet(["standings"] * 6 + [""] * 2, chooser)
    try:
        setup.start()
        callers = [host.calls for host in setup.fleet.hosts if not host.service]
        load = Load(callers, BULK_MIX, FAULT_RATE_PER_S, 48, SEED)
        replies = load.run(FAULT_COUNT)
    finally:
        setup.close()
    bulk = [r for r in replies if r.operation == "bulk" and r.status == 200]
    result = _tally(replies, {})
    return {
        "chooser": chooser,
        "lookup_p50_ms": result["lookup_p50_ms"],
        "lookup_p99_ms": result["lookup_p99_ms"],
        "bulk_p50_ms": percentile_ms(bulk, 50),
        "bulk_p99_ms": percentile_ms(bulk, 99),
        "good_percent": result["good_percent"],
        "refusals": result["refusals"],
    }


def measure_outage():
    """Return attempts per call while every upstream sheds everything."""
    setup = CallFleet(["standings"] * 3 + [""], "nearest")
    try:
        setup.start()
        fleet = setup.fleet
        for host in fleet.hosts[:3]:
            fleet.ask(host.upstream, "/behave?shed=1")
        load = Load([fleet.hosts[3].calls], [LOOKUP], RATE_PER_S, seed=SEED)
        load.run(COUNT)
        shed = sum(
            fleet.ask(host.upstream, "/behave")["shed"] for host in fleet.hosts[:3]
        )
    finally:
        setup.close()
    return {"calls": COUNT, "attempts_per_call": round(shed / COUNT, 3)}


def main():
    """Measure the parts named by the arguments, all of them without any."""
    parts = {
        "latency": measure_latency,
        "outage": measure_outage,
        "faults": lambda: [measure_faults(c) for c in ("nearest", "random", "robin")],
        "isolation": lambda: [measure_isolation(c) for c in ("nearest", "grouped")],
    }
    result = json.loads(RESULT.read_text()) if RESULT.exists() else {}
    for name in argv[1:] or parts:
        result[name] = parts[name]()
        print(json.dumps({name: result[name]}), flush=True)
        RESULT.write_text(json.dumps(result, indent=2) + "\n")


if __name__ == "__main__":
    main()

"""Soak test: run a fleet under seeded fault injection, then check guarantees.

The checks use the lines that upstreams print for each execution, the replies
that callers received, and the log lines of the nodes. Arguments: seed, seconds.
"""

import json
import sys
from collections import Counter
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGKILL, SIGSTOP
from threading import Event, Thread
from time import monotonic

from cyclamentally_platform.bodies import JsonBodyCodec
from cyclamentally_platform.client import HttpPlatform
from cyclamentally_platform.stored import JsonStoredCodec
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from cyclamentally.errors import Done
from cyclamentally.publishing import Publisher
from cyclamentally.records import Record
from cyclamentally_testing.fleet import Fleet, make_hosts
from cyclamentally_testing.load import make_key

SEED = 20261204
DURATION_S = 60
CALLERS = 6
MAX_ATTEMPTS = 4
RECOVERY_TIMEOUT_S = 30
TARGET_S = 7.0
RESULT = Path("bench/results/soak.json")
DOCUMENT = {
    "services": {"standings": {"timeout_ms": 1_000, "slow_start_ms": 500}},
    "routes": {
        "/standings": {"service": "standings"},
        "/results": {"service": "standings"},
    },
}


class SentPost(Record):
    """A post with an idempotency key and the replies to each attempt."""

    __slots__ = ("token", "replies", "is_own")

    def __init__(self, token):
        self.token = token
        self.replies = []
        self.is_own = True


class Soak:
    """The fleet, its callers and the injected faults.

    Parameters
    ----------
    seed : int
        Seed of faults and load.
    seconds : float
        Duration of the fault injection.
    """

    __slots__ = (
        "faults",
        "fleet",
        "pause",
        "publisher",
        "random",
        "seconds",
        "seed",
        "sent",
        "stop",
    )

    def __init__(self, seed, seconds):
        self.seed = seed
        self.seconds = seconds
        self.random = Random(seed)
        self.pause = Event()
        self.stop = Event()
        self.sent = []
        self.faults = Counter()
        regions = ["gogledd", "canolbarth", "de"]
        hosts = make_hosts(regions, 1, ["standings"] * 4, "night")
        command = ["cyclamentally_testing.delayed_node", "product", "cuttable"]
        self.fleet = Fleet(hosts, "gogledd", command)
        codec = JsonBodyCodec()
        platform = HttpPlatform(f"http://{self.fleet.platform_address}", 1.0)
        stored = JsonStoredCodec(codec)
        self.publisher = Publisher(platform, stored, codec, "soak", lambda: "op")

    def run(self):
        """Return the violations of each guarantee, and other figures."""
        fleet = self.fleet
        try:
            fleet.start()
            fleet.wait_until(lambda: all(map(fleet.is_serving, fleet.hosts)))
            self._change(0)
            self.pause.wait(12.0)
            callers = [Thread(target=self._call, args=[n]) for n in range(CALLERS)]
            for caller in callers:
                caller.start()
            self._inject_faults()
            self.stop.set()
            for caller in callers:
                caller.join()
            return self._tally(self._converge())
        finally:
            fleet.close()

    def _inject_faults(self):
        end = monotonic() + self.seconds
        number = 0
        while monotonic() < end:
            number += 1
            fault = self.random.choice(
                [
                    self._kill_node,
                    self._kill_upstream,
                    self._freeze_node,
                    self._stop_platform,
                    self._cut_region,
                    self._change_under_way,
                ]
            )
            self.faults[fault.__name__.strip("_")] += 1
            fault(number)
            self.pause.wait(self.random.uniform(0.2, 1.5))

    def _kill(self, name):
        process = self.fleet.processes[name]
        process.send_signal(SIGKILL)
        process.wait()
        self.pause.wait(self.random.uniform(0.1, 3.0))

    def _kill_node(self, number):
        host = self.random.choice(self.fleet.hosts)
        self._kill(host.name)
        self.fleet.start_node(host)

    def _kill_upstream(self, number):
        host = self.random.choice(self.fleet.hosts)
        self._kill(f"{host.name}-upstream")
        self.fleet.start_upstream(host)

    def _freeze_node(self, number):
        host = self.random.choice(self.fleet.hosts)
        process = self.fleet.processes[host.name]
        process.send_signal(SIGSTOP)
        self.pause.wait(self.random.uniform(0.5, 8.0))
        process.send_signal(SIGCONT)

    def _stop_platform(self, number):
        address = self.fleet.platform_address
        self.fleet.ask(address, "/fault?up=0")
        self.pause.wait(self.random.uniform(0.5, 5.0))
        self.fleet.ask(address, "/fault?up=1")

    def _cut_region(self, number):
        region = self.random.choice(["gogledd", "canolbarth", "de"])
        inside = [host for host in self.fleet.hosts if host.region == region]
        outside = [host for host in self.fleet.hosts if host.region != region]
        is_one_way = self.random.random() < 0.3
        for host in inside:
            self.fleet.cut(host, outside)
        for host in outside:
            self.fleet.cut(host, [] if is_one_way else inside)
        self.pause.wait(self.random.uniform(1.0, 8.0))
        for host in self.fleet.hosts:
            self.fleet.cut(host, [])

    def _change_under_way(self, number):
        self._change(number)

    def _change(self, number):
        document = json.loads(json.dumps(DOCUMENT))
        document["services"]["standings"]["timeout_ms"] = 1_000 + number
        return self.publisher.put("night", document)

    def _call(self, caller):
        random = Random(self.seed * 100 + caller)
        pool = PoolManager(retries=False, timeout=5.0)
        number = 0
        while not self.stop.is_set():
            number += 1
            sent = SentPost(f"{caller}-{number}")
            self.sent.append(sent)
            home = random.choice(self.fleet.hosts)
            key = make_key(home.domain, sent.token)
            for _ in range(MAX_ATTEMPTS):
                host = random.choice(self.fleet.hosts)
                if self._post(pool, host, sent, key) == 200:
                    break
                self.pause.wait(0.3)
            self.pause.wait(0.02)

    def _post(self, pool, host, sent, key):
        headers = {"X-Token": sent.token, "Idempotency-Key": key, "X-Work-Ms": "5"}
        url = f"http://{host.calls}/results/1"
        try:
            response = pool.request("POST", url, body=sent.token, headers=headers)
        except HTTPError as error:
            refused = "refused" in str(error).lower()
            sent.replies.append("no" if refused else "unknown")
            return 0
        if response.status == 200:
            sent.is_own &= f'"token":"{sent.token}"'.encode() in response.data
            sent.replies.append("answered")
        else:
            sent.replies.append(response.headers.get("Cyclamentally-Ran", "unknown"))
        return response.status

    def _converge(self):
        """Return the seconds until a last change is installed on all nodes."""
        fleet = self.fleet
        fleet.wait_until(
            lambda: all(map(fleet.is_serving, fleet.hosts)), RECOVERY_TIMEOUT_S
        )
        self.pause.wait(10.0)
        written = self._change(9_999)
        if not isinstance(written, Done):
            raise SystemExit(f"the last change was refused: {written}")
        version = written.value.version

        def is_installed(host):
            node = fleet.ask(host.admin, "/node")
            return bool(node) and node["versions"].get("night") == version

        return fleet.wait_until(
            lambda: all(map(is_installed, fleet.hosts)), RECOVERY_TIMEOUT_S
        )

    def _tally(self, seconds):
        ran = self._executions()
        return {
            "seed": self.seed,
            "faults": dict(self.faults),
            "posts": len(self.sent),
            "posts_answered": sum("answered" in s.replies for s in self.sent),
            "ran_twice": sum(count > 1 for count in ran.values()),
            "answered_but_not_run": sum(
                "answered" in s.replies and not ran[s.token] for s in self.sent
            ),
            "said_not_run_but_ran": sum(
                set(s.replies) == {"no"} and ran[s.token] > 0 for s in self.sent
            ),
            "answers_of_others": sum(not s.is_own for s in self.sent),
            "moves_to_older_versions": self._moves_back(),
            "last_change_in_force_s": round(seconds, 2),
            "last_change_in_time": seconds <= TARGET_S,
        }

    def _executions(self):
        ran = Counter()
        for host in self.fleet.hosts:
            for line in self.fleet.log_of(f"{host.name}-upstream").splitlines():
                if line.startswith("ran "):
                    ran[line.removeprefix("ran ")] += 1
        return ran

    def _moves_back(self):
        moves = 0
        for host in self.fleet.hosts:
            version = 0
            for line in self.fleet.log_of(host.name).splitlines():
                if "node: started" in line:
                    version = 0
                if "profile night: version" in line:
                    text = line.split("profile night: version ")[1]
                    installed = int(text.split(":")[0])
                    moves += installed <= version
                    version = installed
        return moves


def main():
    """Run the soak; return 1 if a guarantee was violated."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else SEED
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else DURATION_S
    print(f"seed {seed}", flush=True)
    tally = Soak(seed, seconds).run()
    print(json.dumps(tally, indent=2))
    RESULT.write_text(json.dumps(tally, indent=2) + "\n")
    violations = [
        "ran_twice",
        "answered_but_not_run",
        "said_not_run_but_ran",
        "answers_of_others",
        "moves_to_older_versions",
    ]
    is_kept = not any(tally[name] for name in violations)
    return 0 if is_kept and tally["last_change_in_time"] else 1


if __name__ == "__main__":
    sys.exit(main())

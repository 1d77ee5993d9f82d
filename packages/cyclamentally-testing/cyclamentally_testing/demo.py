"""Demo of the whole path: operator, platform, nodes, upstreams and callers."""

import subprocess
import sys
from pathlib import Path
from time import time

from rich.console import Console
from rich.progress import Progress

from cyclamentally_testing.fleet import Fleet, make_hosts

PROFILE = "tournament-night"
REGIONS = ["gogledd", "canolbarth", "de"]
SERVICES = ["standings", "pairing-desk", "archive"]
LOOKUPS = 60
POSTS = 30
SAMPLE = Path("samples/gambit/tournament-night.toml")


class Demo:
    """The steps of the demo.

    Parameters
    ----------
    fleet : Fleet
        Processes that it runs on.
    progress : rich.progress.Progress or None
        Progress bar, None for plain lines.
    """

    __slots__ = ("answers", "fleet", "progress", "settings")

    def __init__(self, fleet, progress):
        self.fleet = fleet
        self.progress = progress
        self.settings = fleet.operator_settings()
        self.answers = {}

    def run(self):
        """Run all steps."""
        self.fleet.start()
        seconds = self._wait("nodes serving", self.fleet.is_serving)
        self._print(f"{len(self.fleet.hosts)} nodes serve after {seconds:.1f} s")
        self._run_operator_tool("profile", "put", PROFILE, str(SAMPLE), "--wait")
        self._wait("routes installed", self._has_routes)
        self._call("lookup", "GET", "/standings/round-1", LOOKUPS)
        self._call("result post", "POST", "/results/round-1", POSTS)
        before = self._crossing_bytes()
        self._change_profile()
        crossing = self._crossing_bytes()
        for pair in sorted(crossing):
            sent = crossing[pair] - before.get(pair, 0)
            self._print(f"control bytes {pair} during the change: {sent:.0f}")
        self._call("lookup", "GET", "/standings/round-2", LOOKUPS)
        for kind in sorted(self.answers):
            self._print(f"calls answered: {kind}: {self.answers[kind]}")
        self._run_operator_tool("status")

    def _change_profile(self):
        text = SAMPLE.read_text().replace("timeout_ms = 1000", "timeout_ms = 900")
        changed = Path(self.fleet.folder.name) / "changed.toml"
        changed.write_text(text)
        started = time()
        self._run_operator_tool("profile", "put", PROFILE, str(changed))
        accepted = time()
        self._wait("version 2 in force", self._has_second_version)
        times = self.fleet.install_times(PROFILE, 2)
        last = max(times.values())
        self._print(
            f"change in force on {len(times)} nodes within {last - started:.2f} s of "
            f"the start of the command, which took {accepted - started:.2f} s"
        )

    def _has_second_version(self, host):
        node = self.fleet.ask(host.admin, "/node")
        return bool(node) and node["versions"].get(PROFILE, 0) >= 2  # noqa: PLR2004

    def _has_routes(self, host):
        response = self.fleet.pool.request("GET", f"http://{host.calls}/standings")
        return response.status == 200  # noqa: PLR2004

    def _wait(self, text, condition):
        """Wait until a condition holds for every host."""
        pending = list(self.fleet.hosts)
        task = None
        if self.progress is not None:
            task = self.progress.add_task(text, total=len(pending))

        def is_done():
            pending[:] = [host for host in pending if not condition(host)]
            if task is not None:
                self.progress.update(
                    task, completed=len(self.fleet.hosts) - len(pending)
                )
            return not pending

        return self.fleet.wait_until(is_done)

    def _call(self, text, method, path, count):
        for number in range(count):
            host = self.fleet.hosts[number % len(self.fleet.hosts)]
            url = f"http://{host.calls}{path}"
            response = self.fleet.pool.request(method, url, body=b"result")
            reason = response.headers.get("Cyclamentally-Reason", "answered")
            kind = f"{text} {response.status} {reason}"
            self.answers[kind] = self.answers.get(kind, 0) + 1

    def _crossing_bytes(self):
        pairs = {}
        for host in self.fleet.hosts:
            for name, value in self.fleet.metrics(host).items():
                if name.startswith("cyclamentally_peer_bytes_sent_total"):
                    pair = name.split('regions="')[1].split('"')[0]
                    pairs[pair] = pairs.get(pair, 0) + value
        return pairs

    def _run_operator_tool(self, *arguments):
        tool = Path(sys.executable).parent / "cyclamentally"
        command = [str(tool), *arguments, "--settings", self.settings]
        result = subprocess.run(command, capture_output=True, text=True, check=False)
        self._print((result.stdout + result.stderr).rstrip())
        if result.returncode != 0:
            raise SystemExit(result.returncode)

    def _print(self, text):
        if self.progress is not None:
            self.progress.console.print(text, highlight=False)
        else:
            print(text, flush=True)


def main():
    """Run the demo with a progress bar on a terminal."""
    hosts = make_hosts(REGIONS, 2, SERVICES, PROFILE)
    fleet = Fleet(hosts, REGIONS[0], ["cyclamentally_testing.delayed_node"])
    console = Console()
    try:
        if console.is_terminal:
            with Progress(console=console) as progress:
                Demo(fleet, progress).run()
        else:
            Demo(fleet, None).run()
    finally:
        fleet.close()


if __name__ == "__main__":
    main()

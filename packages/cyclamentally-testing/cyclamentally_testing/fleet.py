"""Processes of a platform stand-in, nodes and upstreams on one machine."""

import subprocess
import sys
from pathlib import Path
from signal import SIGTERM
from tempfile import TemporaryDirectory
from threading import Event
from time import monotonic

from msgspec.json import decode
from urllib3 import PoolManager
from urllib3.exceptions import HTTPError

from cyclamentally.records import Record
from cyclamentally_testing.ports import ReservedPorts

STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
SEED_COUNT = 4


class Host(Record):
    """A host with its node and its upstream.

    Parameters
    ----------
    name, domain, region : str
        The host's node and place.
    service, profile : str
        Service of the upstream; empty for a host without one.
    peers, calls, admin, upstream : str
        Addresses, ``IP:port``.
    """

    __slots__ = (
        "name",
        "domain",
        "region",
        "service",
        "profile",
        "peers",
        "calls",
        "admin",
        "upstream",
    )

    def __init__(self, name, domain, region, service, profile):
        self.name = name
        self.domain = domain
        self.region = region
        self.service = service
        self.profile = profile
        self.peers = self.calls = self.admin = self.upstream = ""


class Fleet:
    """Processes of a small fleet on the loopback interface.

    Parameters
    ----------
    hosts : list of Host
        Hosts to start.
    home_region : str
        Region of the platform.
    node_command : list of str
        Module that runs a node from a settings file, and arguments that
        follow the file.
    slots : int
        Slots of every upstream.
    """

    __slots__ = (
        "folder",
        "home_region",
        "hosts",
        "node_command",
        "platform_address",
        "pool",
        "processes",
        "reserved",
        "slots",
    )

    def __init__(
        self, hosts, home_region, node_command=("cyclamentally_node.daemon",), slots=10
    ):
        self.hosts = hosts
        self.home_region = home_region
        self.node_command = node_command
        self.slots = slots
        self.processes = {}
        self.folder = TemporaryDirectory(prefix="cyclamentally-")
        self.pool = PoolManager(retries=False, timeout=3.0, maxsize=4)
        self._assign_ports()

    def start(self):
        """Start the platform, then all nodes and upstreams."""
        port = self.platform_address.split(":")[1]
        self.spawn("platform", ["cyclamentally_testing.platform_server", port])
        self.wait_until(lambda: self.ask(self.platform_address, "/calls") is not None)
        for host in self.hosts:
            self.start_node(host)
            if host.service:
                self.start_upstream(host)

    def close(self):
        """Stop all processes, nodes first."""
        for name in list(self.processes):
            if self.processes[name].poll() is None:
                self.processes[name].send_signal(SIGTERM)
        deadline = monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(timeout=max(0.1, deadline - monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.pool.clear()
        self.folder.cleanup()
        self.reserved.close()

    def start_node(self, host):
        """Start the node of a host."""
        path = self._write_settings(host)
        module, *arguments = self.node_command
        self.spawn(host.name, [module, str(path), *arguments])

    def start_upstream(self, host):
        """Start the upstream of a host."""
        port = host.upstream.split(":")[1]
        arguments = [host.service, host.profile, port, host.admin, str(self.slots)]
        module = "cyclamentally_testing.upstream_server"
        self.spawn(f"{host.name}-upstream", [module, *arguments])

    def spawn(self, name, arguments):
        """Start ``python -m`` with arguments under a name."""
        log = (Path(self.folder.name) / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments], stdout=log, stderr=log
        )
        log.close()

    def ask(self, address, path):
        """Return the JSON document at a path, or None."""
        try:
            response = self.pool.request("GET", f"http://{address}{path}")
            return decode(response.data) if response.data else {}
        except HTTPError:
            return None

    def metrics(self, host):
        """Return the metrics of a node by their name with labels."""
        response = self.pool.request("GET", f"http://{host.admin}/metrics")
        values = {}
        for line in response.data.decode().splitlines():
            if line and not line.startswith("#"):
                name, _, value = line.rpartition(" ")
                values[name] = float(value)
        return values

    def cut(self, host, others):
        """Drop messages from a host to others; an empty list ends the partition."""
        path = Path(self.folder.name) / f"{host.name}.cut"
        path.write_text(" ".join(other.peers for other in others))

    def wait_until(self, condition, timeout=60.0):
        """Wait for a condition; return the elapsed seconds.

        Raises
        ------
        TimeoutError
            The condition did not hold in time.
        """
        started = monotonic()
        pause = Event()
        while not condition():
            if monotonic() - started > timeout:
                raise TimeoutError(f"the condition did not hold within {timeout} s")
            pause.wait(POLL_S)
        return monotonic() - started

    def is_serving(self, host):
        """Return whether the node of a host serves."""
        node = self.ask(host.admin, "/node")
        return bool(node) and node["state"] == "serving"

    def operator_settings(self):
        """Write and return the settings file of the operators' tool."""
        path = Path(self.folder.name) / "operator.toml"
        admins = ", ".join(f'"{host.admin}"' for host in self.hosts[:3])
        path.write_text(
            f'[platform]\nurl = "http://{self.platform_address}"\n'
            f"[nodes]\nadmin = [{admins}]\n"
        )
        return str(path)

    def log_of(self, name):
        """Return what a process has printed."""
        return (Path(self.folder.name) / f"{name}.log").read_text()

    def install_times(self, profile, version):
        """Return when each node installed a version, in epoch seconds.

        The times are read from the log lines of the nodes.
        """
        wanted = f"profile {profile}: version {version}: installed"
        times = {}
        for host in self.hosts:
            for line in self.log_of(host.name).splitlines():
                if wanted in line:
                    times[host.name] = decode(line)["epoch_s"]
        return times

    def _assign_ports(self):
        self.reserved = ReservedPorts(4 * len(self.hosts) + 1)
        self.reserved.start()
        addresses = self.reserved.addresses()
        self.platform_address = addresses.pop()
        for host in self.hosts:
            host.peers = addresses.pop()
            host.calls = addresses.pop()
            host.admin = addresses.pop()
            host.upstream = addresses.pop()

    def _write_settings(self, host):
        path = Path(self.folder.name) / f"{host.name}.toml"
        step = max(1, len(self.hosts) // SEED_COUNT)
        seeds = ", ".join(f'"{seed.peers}"' for seed in self.hosts[::step])
        path.write_text(
            f'[node]\nname = "{host.name}"\ndomain = "{host.domain}"\n'
            f'region = "{host.region}"\n'
            f'[listen]\npeers = "{host.peers}"\ncalls = "{host.calls}"\n'
            f'admin = "{host.admin}"\n'
            f"[peers]\nseeds = [{seeds}]\n"
            f'[platform]\nurl = "http://{self.platform_address}"\n'
            f'region = "{self.home_region}"\n'
        )
        return path


def make_hosts(regions, domains_per_region, services, profile):
    """Return one host per service in every failure domain.

    Parameters
    ----------
    regions : list of str
        Regions.
    domains_per_region : int
        Failure domains in each.
    services : list of str
        One host for each entry and domain; an empty one has no upstream.
    profile : str
        Profile that the services follow.
    """
    hosts = []
    for region in regions:
        for number in range(1, domains_per_region + 1):
            domain = f"{region}-{number}"
            for index, service in enumerate(services):
                name = f"{service or 'host'}-{domain}-{index}"
                hosts.append(Host(name, domain, region, service, profile))
    return hosts

"""Stand-ins of the platform, and the node processes, for the scripts of the review.

Everything listens on loopback addresses. Each host has an address of its own, with
free ports. The stand-ins do only what the users' pages allow.
"""

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from base64 import b64decode, b64encode
from contextlib import suppress
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from json import dumps, loads
from pathlib import Path
from struct import pack
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
OK = 200
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
COLUMNS = [
    "name",
    "host",
    "prefix",
    "kind",
    "timeout_ms",
    "target_latency_ms",
    "priority",
    "traffic_split",
    "max_attempts",
    "service",
]
# Values of the small deployments on the users' pages.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "downgrade_slack_ms": 250,
    "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 60,
    "recovery_s": 15,
}
HEARTBEAT_S = 1.5
RESTART_S = 0.7
LONGEST_RUN_S = 115


class Record:
    """The lines of ``record.txt``, with the time since the start of the script."""

    def __init__(self, path):
        self.path = Path(path)
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.path.write_text("")

    def now(self):
        """Return the time since the start, in seconds."""
        return time.monotonic() - self.began

    def write(self, text):
        """Add a line."""
        with self.lock, self.path.open("a") as file:
            file.write(f"{self.now():9.3f} s  {text}\n")


def free_ports(ip, count):
    """Return different ports that are free on an address."""
    probes = [socket.socket() for _ in range(count)]
    for probe in probes:
        probe.bind((ip, 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


class QuietServer(ThreadingHTTPServer):
    """An HTTP server that prints no errors of its connections."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Do nothing: peers are expected to go away."""


class Door:
    """An address of the store, for the calls of one machine.

    While ``is_silent``, the store turns the machine away without a response: answers
    that fall into this time are lost, and their connections return nothing further.
    """

    def __init__(self, address):
        self.address = address
        self.is_silent = False
        # Time and name of each call.
        self.calls = []


class Store:
    """The platform's store; while ``is_down``, it resets all calls."""

    def __init__(self, record, ip="127.0.0.1"):
        self.record = record
        self.condition = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 10
        self.leases = {}
        self.is_down = False
        self.is_closed = False
        self.ip = ip
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args):
                """Print nothing."""

            def handle_any(self):
                """Answer one call."""
                store.serve(self, self.server.door)

            do_GET = do_POST = do_DELETE = handle_any  # noqa: N815

        self.handler = Handler

    def open_door(self):
        """Start to serve one machine; returns its `Door`."""
        server = QuietServer((self.ip, 0), self.handler)
        server.door = Door(f"{self.ip}:{server.server_port}")
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return server.door

    def turn_away(self, door, name, is_silent):
        """Begin or end to turn a machine away without a response."""
        with self.condition:
            door.is_silent = is_silent
        how = "is turned away, without a response," if is_silent else "is served again"
        self.record.write(f"{name} {how} by the store")

    def set_down(self, is_down):
        """Begin or end an outage, in which all calls are reset."""
        with self.condition:
            self.is_down = is_down
            self.condition.notify_all()
        self.record.write(f"the store {'is down' if is_down else 'is back'}")

    def put(self, key, value):
        """Write a key as the operator does."""
        with self.condition:
            self._put(key, b64encode(value).decode(), 0)

    def value(self, key):
        """Return the bytes of a key, or None."""
        with self.condition:
            item = self.items.get(key)
            return None if item is None else b64decode(item["value"])

    def serve(self, handler, door):
        """Answer one call."""
        length = int(handler.headers.get("Content-Length") or 0)
        body = loads(handler.rfile.read(length) or b"null")
        parts = urlsplit(handler.path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        name = parts.path.removeprefix("/cyclamentally/")
        door.calls.append((time.monotonic(), name))
        with self.condition:
            is_carried_out = not (self.is_down or door.is_silent)
            if is_carried_out:
                self._expire()
                status, answer = self._answer(name, query, body)
            if self.is_down:
                reset(handler)
                return
            if door.is_silent or not is_carried_out:
                self._drop_silently(handler, name)
                return
        data = dumps(answer).encode()
        handler.send_response(status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    def _drop_silently(self, handler, name):
        """Send no response; keep the connection, which returns nothing further."""
        self.record.write(f"the store sends no response to a {name}")
        self.condition.wait_for(lambda: self.is_closed, 120)
        handler.close_connection = True

    def _answer(self, name, query, body):
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return OK, {**item, "current_rev": self.revision}
        if name == "kv-range":
            after = query.get("after", "")
            found = [
                dict(item, key=key)
                for key, item in sorted(self.items.items())
                if key.startswith(query["prefix"]) and key > after
            ]
            page = {"items": found[:500], "has_more": len(found) > len(found[:500])}
            return OK, {**page, "current_rev": self.revision}
        if name == "kv-watch":
            return self._watch(query)
        if name == "kv-txn":
            return self._write(body)
        if name == "kv-lease":
            lease = 1000 + len(self.leases)
            ttl_s = body["ttl_ms"] / 1000
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return OK, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if name.startswith("kv-keep/"):
            lease = int(name.removeprefix("kv-keep/"))
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return OK, {"ttl_ms": int(ttl_s * 1000)}
        return 404, {}

    def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]

        def events():
            return [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(prefix)
            ]

        wait_s = int(query["wait_ms"]) / 1000
        self.condition.wait_for(lambda: events() or self.is_down, wait_s)
        return OK, {"events": events(), "current_rev": self.revision}

    def _write(self, body):
        rows = body.get("expected_rev") or []
        if any(
            self.items.get(r["key"], {}).get("revision", 0) != r["revision"]
            for r in rows
        ):
            return 412, {"items": []}
        for change in body["set_keys"]:
            if change["lease"] and change["lease"] not in self.leases:
                return 404, {}
        for change in body["set_keys"]:
            self._put(change["key"], change["value"], change["lease"])
        for key in body["remove"]:
            self._remove(key)
        return OK, {"revision": self.revision}

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)
        self.condition.notify_all()

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            event = {"key": key, "revision": self.revision, "compacted": True}
            self.history.append(event)
            self.condition.notify_all()

    def _expire(self):
        now = time.monotonic()
        for lease, (end, _) in list(self.leases.items()):
            if end <= now:
                del self.leases[lease]
                for key, item in list(self.items.items()):
                    if item["lease"] == lease:
                        self._remove(key)


def configuration(version, routes, services, limits=None):
    """Return the bytes of a configuration.

    Parameters
    ----------
    version : int
        Its version.
    routes : list of tuple
        Prefix, kind, timeout in milliseconds, attempts, and service of each route.
    services : list of str
        Names of the services.
    limits : dict, optional
        Limits for consumers that differ from the usual ones.
    """
    rows = [
        [f"route{n}", "h.example", prefix, kind, timeout, 300, 1, None, most, service]
        for n, (prefix, kind, timeout, most, service) in enumerate(routes)
    ]
    usual = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1000000,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    content = {
        "version": f"r{version}",
        "routes": {"columns": COLUMNS, "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": [[name, "/healthz", 120] for name in services],
        },
        "limits": {**usual, **(limits or {})},
    }
    return dumps(content).encode()


class Server:
    """An application server beside a node.

    Parameters
    ----------
    record : Record
        Where it writes what it runs.
    name, service : str
        Identifier of its lifetime, and its service.
    host : Host
        The host it runs on.
    work_s : float
        Time that it works on a request, in seconds.
    """

    def __init__(self, record, name, service, host, work_s=0.03, slots=9):
        self.record = record
        self.name = name
        self.service = service
        self.host = host
        self.work_s = work_s
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.is_leaving = False
        self.has_ended = False
        self.runs = []
        self.connections = set()
        self.stopped = threading.Event()
        server = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def setup(self):
                """Note the connection."""
                super().setup()
                server.connections.add(self.connection)

            def log_message(self, *args):
                """Print nothing."""

            def handle_any(self):
                """Answer one request."""
                server.serve(self)

            do_GET = do_POST = handle_any  # noqa: N815

        ip, _, port = host.app_address.rpartition(":")
        QuietServer.allow_reuse_address = True
        self.server = QuietServer((ip, int(port)), Handler)

    def start(self, beats=True):
        """Start to serve, and to send heartbeats."""
        threading.Thread(
            target=self.server.serve_forever, args=[0.02], daemon=True
        ).start()
        if beats:
            threading.Thread(target=self._beat, daemon=True).start()

    def end(self):
        """End the process: all connections are closed."""
        if self.has_ended:
            return
        self.has_ended = True
        self.stopped.set()
        self.server.shutdown()
        self.server.server_close()
        for connection in list(self.connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        self.record.write(f"server {self.name} has ended")

    def serve(self, handler):
        """Answer one request."""
        length = int(handler.headers.get("Content-Length") or 0)
        handler.body = handler.rfile.read(length)
        request_id = handler.headers.get("X-Request-Id", "")
        if handler.path == "/healthz":
            status = 503 if self.is_leaving else OK
            self._answer(handler, status, {"X-Instance-Id": self.name}, b"")
            return
        expected = handler.headers.get("X-Expected-Instance", self.name)
        if expected != self.name:
            headers = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
            self._answer(handler, 421, headers, b"")
            return
        self.runs.append((time.monotonic(), request_id, handler.path))
        self.record.write(f"server {self.name} runs {request_id} {handler.path}")
        self.work(handler, request_id)

    def work(self, handler, request_id, work_s=None):
        """Run a request and answer it; stop at the deadline that came with it."""
        left_s = int(handler.headers.get("X-Deadline-Ms") or 60_000) / 1000
        work_s = self.work_s if work_s is None else work_s
        time.sleep(min(work_s, left_s))
        if self.has_ended:
            handler.close_connection = True
            return
        headers = {"X-Request-Id": request_id, "X-Server-Signature": SIGNATURE}
        status = OK if work_s <= left_s else 504
        self._answer(handler, status, headers, self.name.encode())

    def _answer(self, handler, status, headers, body):
        handler.send_response(status)
        for name, value in headers.items():
            handler.send_header(name, value)
        handler.send_header("X-Server-Load", f"1,0,{self.slots}")
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    # Reports to the node.

    def make_heartbeat(self):
        """Return the path and body of the next heartbeat."""
        self.sequence += 1
        body = {
            "address": self.host.app_address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.host.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "cold_left_ms": 0,
            },
        }
        return dumps(body).encode()

    def report(self, method="PUT", body=None):
        """Send a heartbeat, or the end; return the status or the error."""
        if method == "PUT" and body is None:
            body = self.make_heartbeat()
        path = f"/cyclamentally/instances/{self.name}"
        try:
            connection = HTTPConnection(*split(self.host.control), timeout=1.0)
            headers = {"Content-Type": "application/json"}
            connection.request(method, path, body, headers)
            status = connection.getresponse().status
            connection.close()
        except (OSError, HTTPException) as error:
            return type(error).__name__
        return status

    def _beat(self):
        while not self.stopped.is_set():
            self.report()
            self.stopped.wait(HEARTBEAT_S)


class Host:
    """A machine with a node process, run by the command of the deploy file."""

    def __init__(self, record, number, service, store, zone="zone-a"):
        self.record = record
        self.name = f"sidecar-{zone}-{number}"
        self.ip = f"127.0.0.{10 + number}"
        self.zone = zone
        self.service = service
        self.door = store.open_door()
        app_port, *ports = free_ports(self.ip, 6)
        self.app_address = f"{self.ip}:{app_port}"
        names = ("inbound", "outbound", "readiness", "control")
        self.listen = {
            name: f"{self.ip}:{port}" for name, port in zip(names, ports, strict=False)
        }
        self.outbound = self.listen["outbound"]
        self.control = self.listen["control"]
        self.metrics_port = ports[4]
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.process = None

    def start(self):
        """Start the node process."""
        path = Path(self.folder, "settings.json")
        path.write_text(dumps(self._settings()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        program, *arguments = deploy["roles"]["node"]["run"].split(" ")
        program = sys.executable if program == "python3" else program
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["CYCLAMENTALLY_CONFIG"] = str(path)
        with Path(self.folder, "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                [program, *arguments], stdout=log, stderr=log, env=environment, cwd=ROOT
            )
        self.record.write(f"node {self.name} is started")

    def wait_ready(self, limit_s=10.0):
        """Wait until the node says that it is ready."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.is_ready():
                return
            time.sleep(0.02)
        raise RuntimeError(f"{self.name} is not ready: {self.log()[-2000:]}")

    def is_ready(self):
        """Whether the node answers the readiness check with 200."""
        try:
            connection = HTTPConnection(*split(self.listen["readiness"]), timeout=1.0)
            connection.request("GET", "/cyclamentally/readyz")
            status = connection.getresponse().status
            connection.close()
        except (OSError, HTTPException):
            return False
        return status == OK

    def signal(self, number):
        """Send a signal to the node process."""
        self.record.write(f"node {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        """Kill the node process."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def terminate(self, grace_s=BOUNDS["grace_s"]):
        """Stop the node process with SIGTERM, and kill it after the grace period."""
        self.signal(signal.SIGTERM)
        try:
            self.process.wait(grace_s)
        except subprocess.TimeoutExpired:
            self.kill()
        self.record.write(f"node {self.name} has ended: {self.process.returncode}")

    def close(self):
        """End the node process if it runs, and remove its folder."""
        if self.process is not None and self.process.poll() is None:
            with suppress(ProcessLookupError):
                self.process.kill()
            self.process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def log(self):
        """Return what the node has logged."""
        return Path(self.folder, "log.txt").read_text(errors="replace")

    def _settings(self):
        return {
            "node_name": self.name,
            "role": "node",
            "machine_class": "sidecar",
            "serves": ["sidecar"],
            "ip": self.ip,
            "zone": self.zone,
            "region": f"region-{self.zone}",
            "zones": {self.zone: f"region-{self.zone}"},
            "listen": self.listen,
            "internal_ports": [self.metrics_port, self.metrics_port],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.86,
                "cpu_cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "app_addr": self.app_address,
            "service": self.service,
            "platform": {
                "address": self.door.address,
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }


def reset(handler):
    """Reset the connection of a call."""
    linger = pack("ii", 1, 0)
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    handler.close_connection = True
    # Further references to the socket would delay its close.
    handler.rfile.close()
    handler.wfile.close()
    handler.connection.close()


def split(address):
    """Return host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def start_fleet(record, to_close, configured, services, make_server=Server, **options):
    """Start a store, and a host with its node and server for each of some services.

    Parameters
    ----------
    record : Record
        Where all write what happens.
    to_close : list
        Gets what has to be closed at the end.
    configured : bytes
        The first configuration.
    services : list of str
        Service of each host.
    make_server : type
        Class of the servers.
    **options : object
        Further parameters of each server.

    Returns
    -------
    tuple of Store, list of Host, list of Server
        Once all nodes are ready.
    """
    store = Store(record)
    store.put("op/config", configured)
    hosts, servers = [], []
    for number, service in enumerate(services, 1):
        host = Host(record, number, service, store)
        name = f"i-{service}-{number}"
        server = make_server(record, name, service, host, **options)
        to_close += [host, server]
        hosts.append(host)
        servers.append(server)
        server.start()
        host.start()
    for host in hosts:
        host.wait_ready()
    return store, hosts, servers


def judge_drain(record, server, answers, confirmed_at, judged_from):
    """Return what breaks DRAIN: a list with one text, or an empty one.

    Parameters
    ----------
    record : Record
        Where the requests are written.
    server : Server
        The server whose departure was confirmed.
    answers : list of tuple
        What the consumer has sent and got.
    confirmed_at, judged_from : float
        Times in seconds; all machines are in touch from the second on.
    """
    late = [run for run in server.runs if run[0] > judged_from]
    record.write(
        f"{len(late)} requests reached {server.name} later than "
        f"{judged_from - confirmed_at:.1f} s after the confirmation, all machines "
        f"in touch; {len(server.runs)} in the whole day"
    )
    outcomes = {request_id: outcome for _, request_id, _, outcome in answers}
    lost = [run for run in late if outcomes.get(run[1], OK) != OK]
    for _, request_id, path in lost:
        record.write(
            f"{request_id} {path} ran there and was answered {outcomes[request_id]}"
        )
    if not late:
        return []
    return [
        f"DRAIN: {late[0][1]} reached {server.name} {late[0][0] - confirmed_at:.1f} s "
        f"after its departure was confirmed, and {len(late) - 1} more; "
        f"{len(lost)} of them failed when it ended"
    ]


class Consumer:
    """Sends requests to the node of its machine, one after the other, in threads."""

    def __init__(self, record, host, name):
        self.record = record
        self.host = host
        self.name = name
        self.lock = threading.Lock()
        self.count = 0
        self.answers = []
        self.stopped = threading.Event()
        self.threads = []

    def send(self, method, path, deadline_ms=2000):
        """Send one request on a new connection; return time, ID and outcome."""
        with self.lock:
            self.count += 1
            request_id = f"{self.name}-{self.count:05d}"
        sent_at = time.monotonic()
        headers = {
            "Host": "h.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        self.record.write(f"{method} {path} {request_id} to {self.host.name}")
        try:
            connection = HTTPConnection(
                *split(self.host.outbound), timeout=deadline_ms / 1000 + 0.5
            )
            connection.request(method, path, None, headers)
            answer = connection.getresponse()
            body = answer.read()
            outcome = answer.status
            text = f"{outcome} {body[:60]!r}"
            connection.close()
        except (OSError, HTTPException) as error:
            outcome = text = type(error).__name__
        self.record.write(f"{request_id} is answered {text}")
        result = (sent_at, request_id, path, outcome)
        with self.lock:
            self.answers.append(result)
        return result

    def start(self, per_s, requests):
        """Send requests in turn until `stop`, at a rate, each in a thread."""
        thread = threading.Thread(target=self._send_all, args=[per_s, requests])
        thread.daemon = True
        thread.start()
        self.threads.append(thread)

    def stop(self):
        """Send no more, and wait for the answers."""
        self.stopped.set()
        for thread in self.threads:
            thread.join(5.0)

    def _send_all(self, per_s, requests):
        number = 0
        while not self.stopped.wait(1 / per_s):
            method, path = requests[number % len(requests)]
            number += 1
            thread = threading.Thread(target=self.send, args=[method, path])
            thread.daemon = True
            thread.start()
            self.threads = [t for t in self.threads if t.is_alive()] + [thread]


def _stop(number, frame):
    raise RuntimeError(f"ended by {signal.Signals(number).name}")


def run(case, folder, is_troubled):
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 on an error.

    Parameters
    ----------
    case : callable
        Takes the `Record`, whether there is trouble, and a list for the things to
        close; returns a list of texts, one for each break of the rule.
    folder : str
        Folder of the case.
    is_troubled : bool
        Whether the disruption is played.
    """
    record = Record(Path(folder, "record.txt"))
    record.write(f"with{'' if is_troubled else 'out'} the disruption")
    # A script that is ended, or takes too long, ends its processes all the same.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _stop)
    signal.alarm(LONGEST_RUN_S)
    to_close = []
    code = 2
    try:
        breaks = case(record, is_troubled, to_close)
        for text in breaks:
            record.write(f"BROKEN: {text}")
        record.write("the rule was broken" if breaks else "the rule held")
        print("\n".join(breaks) or "the rule held")
        code = 1 if breaks else 0
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
    finally:
        for thing in reversed(to_close):
            with suppress(Exception):
                thing.close() if hasattr(thing, "close") else thing.end()
    sys.stdout.flush()
    os._exit(code)

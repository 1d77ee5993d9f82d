"""Test support: a scripted upstream, and a calls task without other nodes."""

from random import Random
from socket import create_server
from threading import Event, Thread
from time import time
from uuid import UUID

from pykka import ThreadingActor
from urllib3 import HTTPConnectionPool

from cyclamentally.admission import Admission
from cyclamentally.claims import Claimant
from cyclamentally.idempotency import KeyOwner
from cyclamentally.messages import Summary
from cyclamentally.model import MemberRecord, Upstream
from cyclamentally.profiles import ServicePolicy
from cyclamentally.routes import CallerLimits
from cyclamentally.routing import NearestChooser
from cyclamentally.snapshot import Cluster, Location, Route, Snapshot
from cyclamentally_node.calls_loop import CallsLoop
from cyclamentally_node.calls_task import CallsTask
from cyclamentally_node.claim_task import ClaimTask
from cyclamentally_node.meters import Meters
from cyclamentally_node.outbox import Outbox
from cyclamentally_node.task_messages import (
    MembersReplaced,
    ReadinessChanged,
    SnapshotReplaced,
)

COMPLETE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood"
TIMEOUT_S = 10.0


def answer(body, status="200 OK", headers=""):
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


class ScriptedUpstream:
    """Upstream that answers the n-th request by the n-th entry of a script.

    An entry is a list of byte strings to send, events to wait for, and None to
    close the connection. All further requests are answered by the last entry.
    """

    def __init__(self, *script):
        self.script = list(script) or [[COMPLETE_ANSWER]]
        self.requests = []
        self.disconnected = Event()
        self.received = Event()
        self.closed = Event()
        self.is_closing = False
        self.socket = create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.socket.getsockname()[1]}"
        Thread(target=self._accept, daemon=True).start()

    def close(self):
        self.is_closing = True
        self.socket.close()

    def _accept(self):
        while not self.is_closing:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            Thread(target=self._serve, args=[connection], daemon=True).start()

    def _serve(self, connection):
        connection.settimeout(TIMEOUT_S)
        try:
            while self._serve_one(connection):
                pass
        except (TimeoutError, OSError):
            pass
        connection.close()
        self.closed.set()

    def _serve_one(self, connection):
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(65_536)
            if not part:
                return False
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(body) < length:
            body += connection.recv(65_536)
        number = min(len(self.requests), len(self.script) - 1)
        self.requests.append(head.decode())
        self.received.set()
        for step in self.script[number]:
            if step is None:
                return False
            if isinstance(step, Event):
                step.wait(TIMEOUT_S)
            elif step == "await disconnect":
                if connection.recv(1) == b"":
                    self.disconnected.set()
                return False
            else:
                connection.sendall(step)
        return True


class Recorder(ThreadingActor):
    """Records messages in place of the control task."""

    use_daemon_thread = True

    def __init__(self):
        super().__init__()
        self.messages = []

    def on_receive(self, message):
        if message == "messages":
            return list(self.messages)
        self.messages.append(message)
        return None


def make_key(number=1, minted_ms=None):
    minted_ms = int(time() * 1_000) if minted_ms is None else minted_ms
    value = (minted_ms << 80) | (7 << 76) | (2 << 62) | number
    return f"d-1.{UUID(int=value)}"


class CallsStack:
    """A calls task with admission control and claims, and a client for it."""

    def __init__(self):
        self.meters = Meters.start()
        self.control = Recorder.start()
        self.chooser = NearestChooser("d-1", "r", Random(1))
        self.claims = self._start_claims()
        self.calls = CallsLoop(self._make_calls)
        self.calls.start()
        self.tell(ReadinessChanged(True))
        self.port = self.calls.task.listener.port
        self.caller = HTTPConnectionPool("127.0.0.1", self.port, retries=False)

    def close(self):
        self.caller.close()
        self.calls.close()
        for task in (self.claims, self.control, self.meters):
            task.stop()

    def tell(self, message):
        """Send a message to the calls task and wait until it has been handled."""
        self.calls.tell(message)
        self.calls.count_in_flight()

    def _make_calls(self, loop, mailbox):
        return CallsTask(
            loop,
            mailbox,
            "127.0.0.1:0",
            CallerLimits(64 * 1024, 1_000_000, 5.0, 30.0),
            64,
            Admission(self.chooser),
            self.claims,
            self.control,
            self.meters,
        )

    def route_to(self, *addresses, call_class="lookup", **limits):
        defaults = {"slow_start_ms": 0, "timeout_ms": 5_000, "retry_percent": 100}
        limits = defaults | limits
        policy = ServicePolicy("standings", limits)
        locations = [
            Location(Upstream("standings", "night", a, 4, 40, False), "n", "d-1", "r")
            for a in addresses
        ]
        cluster = Cluster("standings", "night", policy, locations)
        route = Route("/standings", "standings", call_class)
        snapshot = Snapshot(1, (route,), {"standings": cluster})
        self.tell(SnapshotReplaced(snapshot))

    def request(self, method="GET", path="/standings", **options):
        return self.caller.request(method, path, **options)

    def reason(self, response):
        return (
            response.status,
            response.headers.get("Cyclamentally-Reason"),
            response.headers.get("Cyclamentally-Ran"),
        )

    def _start_claims(self):
        def summarize():
            return Summary("n", "10.0.0.1:1", "r", 0, 0, 0, True)

        owner = KeyOwner("n", "d-1", summarize, 0)
        record = MemberRecord("n", 0, "alive", "d-1", "r", "10.0.0.1:1", [], 0)
        claims = ClaimTask.start(
            Claimant(owner, summarize),
            lambda: int(time() * 1_000),
            Outbox(None, self.meters),
        )
        claims.tell(MembersReplaced([record]))
        return claims

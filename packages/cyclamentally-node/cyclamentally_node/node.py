"""Creation, start and shutdown of the tasks of one node."""

from random import Random
from threading import Event, Thread
from time import monotonic, time

from cyclamentally_platform.bodies import JsonBodyCodec
from cyclamentally_platform.client import HttpPlatform
from cyclamentally_platform.stored import JsonStoredCodec

from cyclamentally.admission import Admission
from cyclamentally.announcements import Announcements
from cyclamentally.claims import Claimant
from cyclamentally.control import TICK_S, ControlPlane, Identity
from cyclamentally.effects import Count
from cyclamentally.idempotency import KeyOwner
from cyclamentally.messages import Summary
from cyclamentally.records import Record
from cyclamentally.routes import CallerLimits
from cyclamentally.routing import NearestChooser
from cyclamentally_node.admin import AdminApplication
from cyclamentally_node.calls_loop import CallsLoop
from cyclamentally_node.calls_task import CallsTask
from cyclamentally_node.claim_task import ClaimTask
from cyclamentally_node.control_task import ControlTask
from cyclamentally_node.http_server import HttpServer
from cyclamentally_node.meters import Meters
from cyclamentally_node.outbox import Outbox
from cyclamentally_node.peers import PeerReceiver, PeerSender
from cyclamentally_node.platform_task import PlatformTask
from cyclamentally_node.task_messages import (
    AttachControl,
    DescribeNode,
    DrainCalls,
    ReadinessChanged,
    ReadSeeds,
    RecordCounts,
    StopNode,
)
from cyclamentally_node.ticker import Ticker

ADMIN_THREADS = 2
MS_PER_S = 1_000
DRAIN_POLL_S = 0.05
READY_POLL_S = 0.1
MAX_ADMIN_BODY_BYTES = 10_000
# Limits on connections of callers that are not configurable.
MAX_HEADER_BYTES = 64 * 1024
HEADER_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60.0


def choose_nearest(settings, random):
    """Return the default chooser, which prefers nearby upstreams."""
    return NearestChooser(settings.node_domain, settings.node_region, random)


class NodeComponents(Record):
    """Classes of the components of a node; benchmarks replace some of them.

    Parameters
    ----------
    plane : type
        Control plane.
    sender : type
        Task that sends to peers.
    platform : type
        Client of the platform.
    make_chooser : callable
        Takes the settings and a random number generator, returns a `Chooser`.
    """

    __slots__ = ("plane", "sender", "platform", "make_chooser")

    def __init__(
        self,
        plane=ControlPlane,
        sender=PeerSender,
        platform=HttpPlatform,
        make_chooser=choose_nearest,
    ):
        self.plane = plane
        self.sender = sender
        self.platform = platform
        self.make_chooser = make_chooser


class Node:
    """A node: creates, starts and closes its tasks.

    Parameters
    ----------
    settings : Settings
        Validated settings.
    components : NodeComponents
        Classes of the components; the defaults if None.
    """

    __slots__ = (
        "admin_server",
        "calls",
        "claims",
        "control",
        "meters",
        "components",
        "platform",
        "random",
        "receiver",
        "sender",
        "settings",
        "started_ms",
        "stopped",
        "ticker",
    )

    def __init__(self, settings, components=None):
        self.settings = settings
        self.components = components or NodeComponents()
        self.random = Random()
        self.started_ms = int(time() * MS_PER_S)
        self.stopped = Event()
        self._start_tasks()
        self.admin_server = HttpServer(
            AdminApplication(self.control, self.meters),
            settings.listen_admin,
            ADMIN_THREADS,
            MAX_ADMIN_BODY_BYTES,
        )

    def start(self):
        """Join the other nodes, and serve once the configuration is complete."""
        self.platform.tell(AttachControl(self.control))
        self.platform.tell(ReadSeeds())
        self.ticker.start()
        self.calls.start()
        self.admin_server.start()
        Thread(target=self._await_ready, daemon=True).start()

    def close(self):
        """Refuse new requests, complete those in flight, then stop all tasks."""
        if self.stopped.is_set():
            return
        self.calls.tell(DrainCalls())
        self.stopped.set()
        self.control.ask(StopNode())
        self._drain()
        self.ticker.close()
        self.calls.close()
        self.admin_server.close()
        for task in (self.receiver, self.platform, self.control, self.sender):
            task.stop(block=False)

    def _start_tasks(self):
        settings = self.settings
        self.meters = Meters.start()
        self.sender = self.components.sender.start(settings.node_region, self.meters)
        self.platform = self._start_platform()
        self.claims = self._start_claims()
        # Listens from its start on, but refuses requests until the node is ready.
        self.calls = CallsLoop(self._make_calls)
        self.control = self._start_control()
        self.calls.task.control = self.control
        self.receiver = PeerReceiver.start(
            settings.listen_peers,
            settings.node_region,
            self.control,
            self.claims,
            self.meters,
        )
        self.ticker = Ticker(TICK_S, [self.control, self.claims])

    def _start_platform(self):
        settings = self.settings
        client = self.components.platform(
            settings.platform_url,
            settings.platform_timeout_ms / MS_PER_S,
            self._count_platform_bytes,
        )
        return PlatformTask.start(
            client,
            JsonStoredCodec(JsonBodyCodec()),
            settings.platform_watch_ms / MS_PER_S,
            settings.listen_peers,
            settings.node_domain,
            self.meters,
        )

    def _start_claims(self):
        settings = self.settings
        owner = KeyOwner(
            settings.node_name, settings.node_domain, self._summarize, self.started_ms
        )
        claimant = Claimant(owner, self._summarize)
        outbox = Outbox(self.sender, self.meters)
        return ClaimTask.start(claimant, lambda: int(time() * MS_PER_S), outbox)

    def _start_control(self):
        settings = self.settings
        identity = Identity(
            settings.node_name,
            settings.node_domain,
            settings.node_region,
            settings.listen_peers,
            self.started_ms,
        )
        plane = self.components.plane(
            identity,
            settings.platform_region,
            settings.peers_seeds,
            JsonBodyCodec(),
            self.random,
            monotonic(),
        )
        return ControlTask.start(
            plane,
            Announcements(),
            monotonic,
            Outbox(self.sender, self.meters),
            self.platform,
            self.claims,
            [self.calls],
        )

    def _make_calls(self, loop, mailbox):
        settings = self.settings
        chooser = self.components.make_chooser(settings, self.random)
        limits = CallerLimits(
            MAX_HEADER_BYTES,
            settings.calls_max_body_bytes,
            HEADER_TIMEOUT_S,
            IDLE_TIMEOUT_S,
        )
        return CallsTask(
            loop,
            mailbox,
            settings.listen_calls,
            limits,
            settings.calls_in_flight,
            Admission(chooser, max(1, settings.calls_in_flight // 2)),
            self.claims,
            None,
            self.meters,
        )

    def _summarize(self):
        """Return a summary that identifies this node, without its hashes."""
        settings = self.settings
        return Summary(
            settings.node_name,
            settings.listen_peers,
            settings.node_region,
            0,
            0,
            0,
            False,
        )

    def _await_ready(self):
        """Accept requests of callers once the node is in state ``serving``."""
        while not self.stopped.wait(READY_POLL_S):
            if self.control.ask(DescribeNode()).state == "serving":
                self.calls.tell(ReadinessChanged(True))
                return

    def _drain(self):
        """Wait, up to ``calls.drain_ms``, until all requests are answered in full."""
        deadline = monotonic() + self.settings.calls_drain_ms / MS_PER_S
        pause = Event()
        while monotonic() < deadline:
            if self.calls.count_in_flight() == 0:
                return
            pause.wait(DRAIN_POLL_S)

    def _count_platform_bytes(self, sent, received):
        settings = self.settings
        near, far = settings.node_region, settings.platform_region
        counts = [
            Count("peer_bytes_sent_total", f"{near}>{far}", sent, "platform"),
            Count("peer_bytes_received_total", f"{far}>{near}", received, "platform"),
        ]
        self.meters.tell(RecordCounts(counts))

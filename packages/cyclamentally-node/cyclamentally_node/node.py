"""All tasks of one node, with explicit start and close."""

from random import Random
from threading import Event, Thread
from time import monotonic, time

from cyclamentally_platform.client import HttpPlatform
from cyclamentally_platform.stored import JsonStoredCodec
from pykka import ThreadingActor
from waitress import create_server

from cyclamentally.admission import Admission
from cyclamentally.announcements import Announcements
from cyclamentally.bodies import JsonBodyCodec
from cyclamentally.control import TICK_S, ControlPlane, Identity
from cyclamentally.effects import Count
from cyclamentally.records import Record
from cyclamentally.routing import NearestChooser
from cyclamentally_node.admin import Admin
from cyclamentally_node.admission_task import AdmissionTask
from cyclamentally_node.connections import ConnectionPool
from cyclamentally_node.control_task import ControlTask
from cyclamentally_node.events import (
    Attach,
    Counted,
    CountInFlight,
    DescribeNode,
    ReadSeeds,
    SnapshotReplaced,
    StopNode,
)
from cyclamentally_node.front import Front
from cyclamentally_node.meters import Meters
from cyclamentally_node.peers import PeerReceiver, PeerSender
from cyclamentally_node.platform_task import PlatformTask
from cyclamentally_node.settings import split_address
from cyclamentally_node.ticker import Ticker
from cyclamentally_node.upstream_client import UpstreamClient

ADMIN_THREADS = 2
MS = 1_000
DRAIN_CHECK_S = 0.05
READY_CHECK_S = 0.1
CONNECTION_LIMIT = 512


class FrontWatcher(ThreadingActor):
    """Hand each new snapshot to the front end and its connection pool.

    Parameters
    ----------
    front : Front
        Reads the snapshot once for each request.
    """

    use_daemon_thread = True

    def __init__(self, front):
        super().__init__()
        self.front = front

    def on_receive(self, message):
        """Handle `SnapshotReplaced`."""
        if not isinstance(message, SnapshotReplaced):
            return
        self.front.snapshot = message.snapshot
        clusters = message.snapshot.clusters.values()
        addresses = [l.upstream.address for c in clusters for l in c.locations]
        self.front.client.pool.close_unused(addresses)


class NodeParts(Record):
    """Classes that a node is built of; benchmarks replace some of them.

    Parameters
    ----------
    plane : type
        Control decisions.
    sender : type
        Task that sends to peers.
    platform : type
        Client of the platform.
    """

    __slots__ = ("plane", "sender", "platform")

    def __init__(self, plane=ControlPlane, sender=PeerSender, platform=HttpPlatform):
        self.plane = plane
        self.sender = sender
        self.platform = platform


class Node:
    """The node process: build, start and close its tasks.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    parts : NodeParts
        Classes that the node is built of.
    """

    __slots__ = (
        "admin_server",
        "admission",
        "control",
        "front",
        "front_server",
        "meters",
        "parts",
        "platform",
        "receiver",
        "sender",
        "servers",
        "settings",
        "stopped",
        "ticker",
        "watcher",
    )

    def __init__(self, settings, parts=None):
        self.settings = settings
        self.parts = parts or NodeParts()
        self.stopped = Event()
        self.servers = []
        random = Random()
        self.meters = Meters.start()
        self.sender = self.parts.sender.start(settings.node_region, self.meters)
        self.admission = self._start_admission(random)
        pool = ConnectionPool(monotonic)
        client = UpstreamClient(pool, monotonic)
        self.front = Front(
            self.admission,
            self.meters,
            client,
            settings.calls_max_body_bytes,
            monotonic,
        )
        self.watcher = FrontWatcher.start(self.front)
        self.platform = self._start_platform()
        self.control = self._start_control(random)
        self.receiver = PeerReceiver.start(
            settings.listen_peers, settings.node_region, self.control, self.meters
        )
        self.ticker = Ticker(TICK_S, [self.control, self.admission])
        self.front_server = self._server(
            self.front, settings.listen_calls, settings.calls_threads
        )
        self.admin_server = self._server(
            Admin(self.control, self.meters), settings.listen_admin, ADMIN_THREADS
        )

    def start(self):
        """Join the members and serve as soon as the configuration is whole."""
        self.platform.tell(Attach(self.control))
        self.platform.tell(ReadSeeds())
        self.ticker.start()
        for server in (self.front_server, self.admin_server):
            thread = Thread(target=server.run, daemon=True)
            thread.start()
            self.servers.append(thread)
        Thread(target=self._await_ready, daemon=True).start()

    def close(self):
        """Refuse new requests, finish those in flight, then stop all tasks."""
        self.front.is_stopping = True
        self.stopped.set()
        self.control.ask(StopNode())
        self._drain()
        self.ticker.close()
        for server in (self.front_server, self.admin_server):
            server.close()
        for task in (self.receiver, self.platform, self.control, self.sender):
            task.stop(block=False)
        self.front.client.pool.close()

    def _start_admission(self, random):
        settings = self.settings
        chooser = NearestChooser(settings.node_domain, settings.node_region, random)
        return AdmissionTask.start(Admission(chooser), monotonic, self.meters)

    def _start_platform(self):
        settings = self.settings
        client = self.parts.platform(
            settings.platform_url,
            settings.platform_timeout_ms / MS,
            self._count_platform_bytes,
        )
        return PlatformTask.start(
            client,
            JsonStoredCodec(JsonBodyCodec()),
            settings.platform_watch_ms / MS,
            settings.listen_peers,
            settings.node_domain,
            self.meters,
        )

    def _start_control(self, random):
        settings = self.settings
        identity = Identity(
            settings.node_name,
            settings.node_domain,
            settings.node_region,
            settings.listen_peers,
            int(time() * MS),
        )
        plane = self.parts.plane(
            identity,
            settings.platform_region,
            settings.peers_seeds,
            JsonBodyCodec(),
            random,
            monotonic(),
        )
        return ControlTask.start(
            plane,
            Announcements(),
            monotonic,
            self.sender,
            self.platform,
            self.meters,
            [self.admission, self.watcher],
        )

    def _server(self, application, address, threads):
        host, port = split_address(address)
        return create_server(
            application,
            host=host,
            port=port,
            threads=threads,
            connection_limit=CONNECTION_LIMIT,
            clear_untrusted_proxy_headers=True,
            channel_request_lookahead=1,
            ident=None,
        )

    def _await_ready(self):
        """Let requests in once the node life says so."""
        while not self.stopped.wait(READY_CHECK_S):
            if self.control.ask(DescribeNode()).state == "serving":
                self.front.is_ready = True
                return

    def _drain(self):
        """Wait until no request is in flight and every answer has gone out."""
        deadline = monotonic() + self.settings.calls_drain_ms / MS
        pause = Event()
        while monotonic() < deadline:
            is_busy = self.admission.ask(CountInFlight()) > 0
            channels = list(self.front_server.active_channels.values())
            is_writing = any(c.requests or c.total_outbufs_len for c in channels)
            if not is_busy and not is_writing:
                return
            pause.wait(DRAIN_CHECK_S)

    def _count_platform_bytes(self, sent, received):
        settings = self.settings
        near, far = settings.node_region, settings.platform_region
        counts = [
            Count("peer_bytes_sent_total", f"{near}>{far}", sent, "platform"),
            Count("peer_bytes_received_total", f"{far}>{near}", received, "platform"),
        ]
        self.meters.tell(Counted(counts))

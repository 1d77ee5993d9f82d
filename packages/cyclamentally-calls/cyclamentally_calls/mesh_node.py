"""A node of the mesh: all its tasks on one event loop."""

from cyclamentally.body_budget import BodyBudget
from cyclamentally.feeds import Feed
from cyclamentally.gate import Gate
from cyclamentally.placing import NearestWithCapacity, UpstreamViews
from cyclamentally.routes import WeightedRoundRobin
from cyclamentally.shutdown import Shutdown
from cyclamentally.uplink import Uplink
from cyclamentally_calls.control_task import ControlTask
from cyclamentally_calls.counters import Counters
from cyclamentally_calls.decision_log import DecisionLog
from cyclamentally_calls.feed_task import FeedTask
from cyclamentally_calls.gate_task import GateTask
from cyclamentally_calls.loop import Loop
from cyclamentally_calls.outbound_task import OutboundTask
from cyclamentally_calls.process_task import ProcessTask
from cyclamentally_calls.store_task import StoreTask
from cyclamentally_calls.suspect_task import SuspectTask
from cyclamentally_calls.work import LocalUpstream


class MeshSettings:
    """Start-up settings of a node.

    Parameters
    ----------
    place : Place
        Host of the node.
    callers : str
        ``IP:port`` to listen on for callers.
    control : list of str
        Each ``IP:port`` to listen on for readiness checks, heartbeats and metrics.
    store : str
        ``IP:port`` of the platform's store.
    service : str
        Service of the upstream on this host.
    upstream : str
        ``IP:port`` of that upstream.
    heartbeat_s : float
        Heartbeat period of the upstream, in seconds.
    stop_s : float
        Grace period from the termination signal until the process is killed, in
        seconds.
    budget : RetryBudgetRule
        Retry budget.
    in_force_s : float
        Time within which a new configuration must be in force, in seconds.
    resync_s : float
        Time after a disturbance of the store within which all its changes must be
        known, in seconds.
    link_bytes_per_s : float or None
        Bandwidth of the host's link; None if unknown.
    """

    __slots__ = (
        "budget",
        "callers",
        "control",
        "heartbeat_s",
        "in_force_s",
        "link_bytes_per_s",
        "place",
        "resync_s",
        "service",
        "stop_s",
        "store",
        "upstream",
    )

    def __init__(
        self,
        place,
        callers,
        control,
        store,
        service,
        upstream,
        heartbeat_s,
        stop_s,
        budget,
        in_force_s,
        resync_s,
        link_bytes_per_s=None,
    ):
        self.place = place
        self.callers = callers
        self.control = control
        self.store = store
        self.service = service
        self.upstream = upstream
        self.heartbeat_s = heartbeat_s
        self.stop_s = stop_s
        self.budget = budget
        self.in_force_s = in_force_s
        self.resync_s = resync_s
        self.link_bytes_per_s = link_bytes_per_s


class Dialects:
    """Encodings that a platform prescribes.

    Parameters
    ----------
    names : HeaderNames
        Headers shared with callers and upstreams.
    control : ControlDialect
        Decoding of readiness checks, metrics requests and heartbeats.
    store : StoreDialect
        Encoding of store calls.
    config_prefix : str
        Prefix of the configuration's key in the store.
    decode_routes : callable
        Takes stored bytes, returns ``Done`` with a `RouteTable` or ``Refused``.
    """

    __slots__ = ("config_prefix", "control", "decode_routes", "names", "store")

    def __init__(self, names, control, store, config_prefix, decode_routes):
        self.names = names
        self.control = control
        self.store = store
        self.config_prefix = config_prefix
        self.decode_routes = decode_routes


class MeshNode:
    """The node process on a platform: creates and connects its tasks.

    All tasks share the counters and the log, and only write to them.

    Parameters
    ----------
    settings : MeshSettings
        Checked settings.
    dialects : Dialects
        Encodings.
    random : random.Random
        Source of randomness.
    read_service : callable
        Reads the settings; returns ``Done`` with their service, or ``Refused``.
    """

    __slots__ = (
        "control",
        "counters",
        "feed",
        "gate",
        "log",
        "loop",
        "outbound",
        "process",
        "settings",
        "store",
        "suspects",
    )

    def __init__(self, settings, dialects, random, read_service):
        self.settings = settings
        self.loop = Loop(on_error=self._handle_unexpected_error)
        self.counters = Counters()
        self.log = DecisionLog(self.loop, settings.place.name)
        self.store = self._make_store(dialects, random)
        self.gate = self._make_gate(dialects)
        self.outbound = self._make_outbound(dialects, random)
        self.feed = self._make_feed()
        self.suspects = self._make_suspects()
        self.control = ControlTask(
            self.loop,
            settings.control,
            dialects.control,
            self.gate,
            settings.service,
            self.counters,
            self.log,
        )
        shutdown = Shutdown(settings.stop_s)
        self.process = ProcessTask(
            self.loop, shutdown, read_service, settings.service, self.log
        )
        self.store.subscribers = [
            self.outbound,
            self.gate,
            self.control,
            self.feed,
            self.suspects,
        ]
        self.process.request_tasks = [self.outbound, self.gate]
        self.process.pending_tasks = [
            self.outbound,
            self.gate,
            self.store,
            self.control,
        ]
        self.process.subscribers = [
            self.control,
            self.gate,
            self.outbound,
            self.feed,
            self.suspects,
        ]
        self.process.closing_tasks = [self.outbound, self.gate]

    @property
    def tasks(self):
        """All tasks, in start order."""
        return (
            self.store,
            self.feed,
            self.suspects,
            self.gate,
            self.outbound,
            self.control,
            self.process,
        )

    def start(self, catches_signals=True):
        """Start all tasks.

        Parameters
        ----------
        catches_signals : bool
            Whether to handle SIGTERM, SIGINT and SIGHUP; possible in the main
            thread only.
        """
        self.log.start()
        self.log.write("node_started", service=self.settings.service)
        for task in self.tasks:
            task.start()
        if catches_signals:
            self.process.catch_signals()

    def run(self):
        """Run the event loop until the node has shut down."""
        self.loop.run()

    def close(self):
        """Close all tasks, the log and the event loop."""
        for task in reversed(self.tasks):
            task.close()
        self.log.write("node_stopped")
        self.log.close()
        self.loop.close()

    def _handle_unexpected_error(self, error, **fields):
        self.counters.add("unexpected_errors_total", type(error).__name__)
        self.log.unexpected_error(error, **fields)

    def _make_store(self, dialects, random):
        return StoreTask(
            self.loop,
            self.settings.store,
            dialects.store,
            dialects.config_prefix,
            dialects.decode_routes,
            self.settings.place,
            self.settings.in_force_s,
            self.settings.resync_s,
            random,
            self.counters,
            self.log,
        )

    def _make_feed(self):
        place = self.settings.place
        feed = FeedTask(
            self.loop,
            Feed(place.name, place.domain),
            self.store.prefixes,
            self.store.watches.by_name["routes"].gather_s,
            self.store,
            self.counters,
            self.log,
        )
        self.store.feed = feed
        self.gate.feed = feed
        return feed

    def _make_suspects(self):
        settings = self.settings
        suspects = SuspectTask(
            self.loop,
            settings.place,
            settings.service,
            self.gate,
            self.counters,
            self.log,
        )
        self.gate.monitor.suspects = suspects
        return suspects

    def _make_gate(self, dialects):
        settings = self.settings
        return GateTask(
            self.loop,
            settings.place.address,
            Gate(Uplink(settings.link_bytes_per_s)),
            LocalUpstream(settings.service, settings.upstream, settings.heartbeat_s),
            dialects.names,
            self.store,
            self.counters,
            self.log,
        )

    def _make_outbound(self, dialects, random):
        settings = self.settings
        place = settings.place
        outbound = OutboundTask(
            self.loop,
            settings.callers,
            place,
            settings.service,
            dialects.names,
            UpstreamViews(place.domain, place.region, NearestWithCapacity(random)),
            WeightedRoundRobin(random),
            settings.budget,
            self.counters,
            self.log,
        )
        outbound.offers.gate = self.gate
        outbound.offers.store = self.store
        self.gate.outbound = outbound
        bodies = BodyBudget()
        for pool in (
            outbound.offers.pool,
            self.gate.client.pool,
            self.store.client.pool,
        ):
            pool.bodies = bodies
        return outbound

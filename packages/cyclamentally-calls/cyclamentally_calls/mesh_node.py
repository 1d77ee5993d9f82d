"""All tasks of one node on one loop, with explicit start and close."""

from select import EPOLLIN
from signal import SIGHUP, SIGINT, SIGTERM, set_wakeup_fd, signal
from socket import socketpair

from cyclamentally.gate import Gate
from cyclamentally.placing import NearWithRoom, Places
from cyclamentally.routes import WeightedTurns
from cyclamentally_calls.call_events import DrainBegun
from cyclamentally_calls.control_task import ControlTask
from cyclamentally_calls.counters import Counters
from cyclamentally_calls.decision_log import DecisionLog
from cyclamentally_calls.gate_task import GateTask
from cyclamentally_calls.loop import Loop
from cyclamentally_calls.outbound_task import OutboundTask
from cyclamentally_calls.store_task import StoreTask
from cyclamentally_calls.work import Neighbour

# Callers learn from two readiness checks, a second apart, that a node ends.
CALLERS_LEAVE_S = 2.3
DRAIN_CHECK_S = 0.05
# The part of the time given for the end that requests in flight may use.
DRAIN_SHARE = 0.85
SETTINGS_CHECK_S = 1.0


class MeshSettings:
    """What a node has to know when it starts.

    Parameters
    ----------
    place : Place
        Who and where it is.
    callers : str
        ``IP:port`` for callers.
    control : list of str
        Each ``IP:port`` for readiness, heartbeats and metrics.
    store : str
        ``IP:port`` of the platform's store.
    service : str
        Service of the upstream beside it.
    upstream : str
        ``IP:port`` of that upstream.
    heartbeat_s : float
        Time between heartbeats, in seconds.
    stop_s : float
        Time from the request to end until the process is killed, in seconds.
    budget : BudgetRule
        Bound of repeats.
    """

    __slots__ = (
        "budget",
        "callers",
        "control",
        "heartbeat_s",
        "place",
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


class Dialects:
    """The encodings of a platform.

    Parameters
    ----------
    names : HeaderNames
        Headers shared with callers and upstreams.
    control : ControlDialect
        Readiness and heartbeats.
    store : StoreDialect
        Calls to the store.
    config_prefix : str
        Prefix of the configuration's key in the store.
    decode_routes : callable
        Takes stored bytes, returns a `RouteTable` or None.
    """

    __slots__ = ("config_prefix", "control", "decode_routes", "names", "store")

    def __init__(self, names, control, store, config_prefix, decode_routes):
        self.names = names
        self.control = control
        self.store = store
        self.config_prefix = config_prefix
        self.decode_routes = decode_routes


class MeshNode:
    """The node process on a platform.

    Parameters
    ----------
    settings : MeshSettings
        Checked settings.
    dialects : Dialects
        Encodings.
    random : random.Random
        Source of random numbers.
    read_service : callable
        Returns the service beside the node as the settings name it now.
    """

    __slots__ = (
        "control",
        "counters",
        "gate",
        "log",
        "loop",
        "outbound",
        "read_service",
        "settings",
        "signals",
        "stop_at",
        "store",
    )

    def __init__(self, settings, dialects, random, read_service):
        self.settings = settings
        self.read_service = read_service
        self.loop = Loop()
        self.counters = Counters()
        self.log = DecisionLog(self.loop, settings.place.name)
        self.stop_at = None
        self.signals = None
        self.store = StoreTask(
            self.loop,
            settings.store,
            dialects.store,
            dialects.config_prefix,
            dialects.decode_routes,
            settings.place,
            random,
            self.counters,
            self.log,
        )
        self.gate = GateTask(
            self.loop,
            settings.place.address,
            Gate(),
            Neighbour(settings.service, settings.upstream, settings.heartbeat_s),
            dialects.names,
            self.store,
            self.counters,
            self.log,
        )
        self.outbound = self._make_outbound(dialects, random)
        self.control = ControlTask(
            self.loop,
            settings.control,
            dialects.control,
            self.gate,
            self.counters,
            self.log,
        )
        self.store.listeners = [self.outbound, self.gate, self.control]

    def start(self, catches_signals=True):
        """Open all sockets.

        Parameters
        ----------
        catches_signals : bool
            Whether signals end the node or renew its settings; possible in
            the main thread only.
        """
        self.log.start()
        self.log.write("node_started", service=self.settings.service)
        for task in (self.store, self.gate, self.outbound, self.control):
            task.start()
        self._open_signals(catches_signals)
        self.loop.call_after(SETTINGS_CHECK_S, self._check_settings)

    def run(self):
        """Handle events until the node has ended."""
        self.loop.run()

    def stop(self):
        """Begin the end: finish what has begun, then leave `run`."""
        if self.stop_at is not None:
            return
        now = self.loop.clock()
        self.stop_at = now + DRAIN_SHARE * self.settings.stop_s
        self.log.write("node_stopping")
        for task in (self.control, self.gate, self.outbound, self.store):
            self.loop.post(task, DrainBegun())
        self.loop.call_after(CALLERS_LEAVE_S, self._end_connections)

    def close(self):
        """Close all sockets."""
        for task in (self.outbound, self.gate, self.control, self.store):
            task.close()
        self.log.write("node_stopped")
        self.log.close()
        self.loop.close()

    def _make_outbound(self, dialects, random):
        settings = self.settings
        place = settings.place
        outbound = OutboundTask(
            self.loop,
            settings.callers,
            place,
            settings.service,
            dialects.names,
            Places(place.domain, place.region, NearWithRoom(random)),
            WeightedTurns(random),
            settings.budget,
            self.counters,
            self.log,
        )
        outbound.gate = self.gate
        outbound.store = self.store
        return outbound

    def _open_signals(self, catches_signals):
        receiving, sending = socketpair()
        for end in (receiving, sending):
            end.setblocking(False)
        self.signals = (receiving, sending)
        if catches_signals:
            set_wakeup_fd(sending.fileno(), warn_on_full_buffer=False)
            for number in (SIGTERM, SIGINT, SIGHUP):
                signal(number, _ignore)
        self.loop.watch(receiving.fileno(), EPOLLIN, self._on_signal)

    def _on_signal(self, events):
        for number in self.signals[0].recv(64):
            if number == SIGHUP:
                self._read_settings()
            else:
                self.stop()

    def _check_settings(self):
        self._read_settings()
        self.loop.call_after(SETTINGS_CHECK_S, self._check_settings)

    def _read_settings(self):
        service = self.read_service()
        if service is not None and service != self.outbound.service:
            self.log.write("service_changed", service=service)
            self.outbound.service = service

    def _end_connections(self):
        self.outbound.end_connections()
        self._check_drained()

    def _check_drained(self):
        is_idle = self.outbound.is_idle() and self.gate.is_idle()
        if not is_idle and self.loop.clock() < self.stop_at:
            self.loop.call_after(DRAIN_CHECK_S, self._check_drained)
            return
        # Leaves the last answers a moment to be taken.
        self.loop.call_after(DRAIN_CHECK_S, self.loop.stop)


def _ignore(number, frame):
    """Let the wake-up descriptor report the signal."""

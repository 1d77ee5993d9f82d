"""The task that owns signals, settings and the shutdown of the process."""

from select import EPOLLIN
from signal import SIGHUP, SIGINT, SIGTERM, set_wakeup_fd, signal
from socket import socketpair

from cyclamentally.effects import StartTimer
from cyclamentally.errors import Refused
from cyclamentally.shutdown import (
    AnnounceShutdown,
    CheckIdle,
    CloseConnections,
    EndUnanswered,
    ExitProcess,
    StopReuse,
    WithdrawEntry,
)
from cyclamentally_calls.call_events import (
    DrainConnections,
    EndRequests,
    EntryWithdrawn,
    IdleQuery,
    IdleReply,
    RetireConnections,
    ServiceChanged,
    ShutdownStarted,
)
from cyclamentally_calls.loop import Task

# Interval of reading the settings file, which may change without a signal.
SETTINGS_POLL_S = 1.0
SIGNAL_BYTES = 64


class ProcessTask(Task):
    """Shut the process down on a signal and apply changed settings.

    Parameters
    ----------
    loop : Loop
        Event loop.
    shutdown : Shutdown
        State machine of the shutdown.
    read_service : callable
        Reads the settings; returns ``Done`` with their service, or ``Refused``.
    service : str
        Service in the settings at start-up.
    log : DecisionLog
        Structured log.
    """

    __slots__ = (
        "closing_tasks",
        "request_tasks",
        "is_idle",
        "subscribers",
        "log",
        "loop",
        "read_service",
        "wakeup_reader",
        "wakeup_writer",
        "service",
        "shutdown",
        "pending_replies",
        "pending_tasks",
    )

    def __init__(self, loop, shutdown, read_service, service, log):
        self.loop = loop
        self.shutdown = shutdown
        self.read_service = read_service
        self.service = service
        self.log = log
        # Tasks that are told of the shutdown, tasks that carry requests, tasks that the
        # process waits for, and tasks that close connections before it exits.
        self.subscribers = []
        self.request_tasks = []
        self.pending_tasks = []
        self.closing_tasks = []
        self.pending_replies = 0
        self.is_idle = True
        self.wakeup_reader, self.wakeup_writer = socketpair()

    def start(self):
        """Start to wait for signals and to check the settings periodically."""
        for end in (self.wakeup_reader, self.wakeup_writer):
            end.setblocking(False)
        self.loop.watch(self.wakeup_reader.fileno(), EPOLLIN, self._on_signal)
        self.loop.call_after(SETTINGS_POLL_S, self._check_settings)

    def catch_signals(self):
        """Route SIGTERM, SIGINT and SIGHUP to this task; main thread only."""
        set_wakeup_fd(self.wakeup_writer.fileno(), warn_on_full_buffer=False)
        for number in (SIGTERM, SIGINT, SIGHUP):
            signal(number, _ignore)

    def close(self):
        """Close the sockets."""
        self.loop.unwatch(self.wakeup_reader.fileno())
        self.wakeup_reader.close()
        self.wakeup_writer.close()

    def receive(self, message):
        """Handle `IdleReply`."""
        if isinstance(message, IdleReply):
            self.pending_replies -= 1
            self.is_idle = self.is_idle and message.is_idle
            if self.pending_replies == 0:
                self._fire("all_idle" if self.is_idle else "busy")

    def _on_signal(self, events):
        for number in self.wakeup_reader.recv(SIGNAL_BYTES):
            self.loop.attempt(self._handle_signal, number)

    def _handle_signal(self, number):
        if number == SIGHUP:
            self._read_settings()
        else:
            self._fire("stop")

    def _fire(self, event):
        before = self.shutdown.state
        effects = self.shutdown.fire(event)
        # The chart has taken the step, so no error may prevent a part of it.
        for effect in effects:
            self.loop.attempt(self._carry_out, effect)
        if self.shutdown.state != before:
            self._log_state(event)

    def _log_state(self, event):
        state = self.shutdown.state
        self.log.write("state", subject="process", state=state, reason=event)

    def _carry_out(self, effect):
        if isinstance(effect, StartTimer):
            event = effect.event
            self.loop.call_after(effect.delay_s, lambda: self._fire(event))
        elif isinstance(effect, AnnounceShutdown):
            now = self.loop.clock()
            started = ShutdownStarted(now + effect.accept_s, now + effect.finish_s)
            self._broadcast(self.subscribers, started)
        elif isinstance(effect, WithdrawEntry):
            self._broadcast(self.request_tasks, EntryWithdrawn())
        elif isinstance(effect, StopReuse):
            self._broadcast(self.request_tasks, RetireConnections())
        elif isinstance(effect, EndUnanswered):
            self._broadcast(self.request_tasks, EndRequests())
        elif isinstance(effect, CloseConnections):
            self._broadcast(self.closing_tasks, DrainConnections())
        elif isinstance(effect, CheckIdle):
            self.pending_replies = len(self.pending_tasks)
            self.is_idle = True
            self._broadcast(self.pending_tasks, IdleQuery(self))
        elif isinstance(effect, ExitProcess):
            self.loop.stop()

    def _broadcast(self, tasks, message):
        for task in tasks:
            self.loop.post(task, message)

    def _check_settings(self):
        self.loop.call_after(SETTINGS_POLL_S, self._check_settings)
        self._read_settings()

    def _read_settings(self):
        outcome = self.read_service()
        if isinstance(outcome, Refused):
            self.log.write("settings_refused", detail=outcome.detail)
        elif outcome.value != self.service:
            self.service = outcome.value
            self.log.write("service_changed", service=self.service)
            tasks = dict.fromkeys([*self.request_tasks, *self.subscribers])
            self._broadcast(tasks, ServiceChanged(self.service))


def _ignore(number, frame):
    """Do nothing: the signal is read from the wake-up descriptor."""

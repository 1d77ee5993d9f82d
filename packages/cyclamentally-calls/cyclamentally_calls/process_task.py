"""The task that owns signals, settings and the end of the process."""

from select import EPOLLIN
from signal import SIGHUP, SIGINT, SIGTERM, set_wakeup_fd, signal
from socket import socketpair

from cyclamentally.effects import StartTimer
from cyclamentally.errors import Refused
from cyclamentally.shutdown import (
    AnnounceShutdown,
    CheckIdle,
    ExitProcess,
    StopAccepting,
)
from cyclamentally_calls.call_events import (
    CallersLeft,
    DrainBegun,
    IdleAsked,
    IdleFound,
    ServiceChanged,
)
from cyclamentally_calls.loop import Task

# Settings may change without a signal; a read of the small file each second.
SETTINGS_CHECK_S = 1.0
SIGNAL_BYTES = 64


class ProcessTask(Task):
    """End the process as the shutdown decides; follow its settings.

    Parameters
    ----------
    loop : Loop
        Event loop.
    shutdown : Shutdown
        Decisions.
    read_service : callable
        Returns ``Done`` with the service that the settings name now, or
        ``Refused``.
    service : str
        Service that the settings named at the start.
    log : DecisionLog
        Log.
    """

    __slots__ = (
        "carriers",
        "is_idle",
        "listeners",
        "log",
        "loop",
        "read_service",
        "receiving",
        "sending",
        "service",
        "shutdown",
        "unanswered",
    )

    def __init__(self, loop, shutdown, read_service, service, log):
        self.loop = loop
        self.shutdown = shutdown
        self.read_service = read_service
        self.service = service
        self.log = log
        # All tasks, and those of them that carry requests.
        self.listeners = []
        self.carriers = []
        self.unanswered = 0
        self.is_idle = True
        self.receiving, self.sending = socketpair()

    def start(self):
        """Wait for signals, which arrive as bytes on a socket."""
        for end in (self.receiving, self.sending):
            end.setblocking(False)
        self.loop.watch(self.receiving.fileno(), EPOLLIN, self._on_signal)
        self.loop.call_after(SETTINGS_CHECK_S, self._check_settings)

    def catch_signals(self):
        """Let SIGTERM, SIGINT and SIGHUP reach this task; main thread only."""
        set_wakeup_fd(self.sending.fileno(), warn_on_full_buffer=False)
        for number in (SIGTERM, SIGINT, SIGHUP):
            signal(number, _ignore)

    def close(self):
        """Close the sockets."""
        self.loop.forget(self.receiving.fileno())
        self.receiving.close()
        self.sending.close()

    def receive(self, message):
        """Handle `IdleFound`."""
        if isinstance(message, IdleFound):
            self.unanswered -= 1
            self.is_idle = self.is_idle and message.is_idle
            if self.unanswered == 0:
                self._fire("all_idle" if self.is_idle else "busy")

    def _on_signal(self, events):
        for number in self.receiving.recv(SIGNAL_BYTES):
            if number == SIGHUP:
                self._read_settings()
            else:
                self._fire("stop")

    def _fire(self, event):
        before = self.shutdown.state
        effects = self.shutdown.fire(event)
        if self.shutdown.state != before:
            self.log.write("state", subject="process", state=self.shutdown.state)
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect):
        if isinstance(effect, StartTimer):
            event = effect.event
            self.loop.call_after(effect.delay_s, lambda: self._fire(event))
        elif isinstance(effect, AnnounceShutdown):
            self._tell(self.listeners, DrainBegun())
        elif isinstance(effect, StopAccepting):
            self._tell(self.carriers, CallersLeft())
        elif isinstance(effect, CheckIdle):
            self.unanswered = len(self.carriers)
            self.is_idle = True
            self._tell(self.carriers, IdleAsked(self))
        elif isinstance(effect, ExitProcess):
            self.loop.stop()

    def _tell(self, tasks, message):
        for task in tasks:
            self.loop.post(task, message)

    def _check_settings(self):
        self._read_settings()
        self.loop.call_after(SETTINGS_CHECK_S, self._check_settings)

    def _read_settings(self):
        outcome = self.read_service()
        if isinstance(outcome, Refused):
            self.log.write("settings_refused", detail=outcome.detail)
        elif outcome.value != self.service:
            self.service = outcome.value
            self.log.write("service_changed", service=self.service)
            self._tell(self.carriers, ServiceChanged(self.service))


def _ignore(number, frame):
    """Let the wake-up descriptor report the signal."""

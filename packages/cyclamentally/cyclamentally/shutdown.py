"""Graceful shutdown of a node process."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import StartTimer
from cyclamentally.records import Record

# The platform takes two readiness checks, a second apart, to send callers elsewhere.
DEREGISTRATION_DELAY_S = 2.3
# Shorter than a request, so that the process ends soon after the last one.
IDLE_CHECK_INTERVAL_S = 0.05
# Share of the grace period for requests in flight; the rest is for closing sockets
# and for delays on a busy processor.
DRAIN_SHARE_OF_GRACE = 0.85


class AnnounceShutdown(Record):
    """Effect: tell all tasks that the node is shutting down."""

    __slots__ = ()


class StopAccepting(Record):
    """Effect: accept no new connections and close idle ones."""

    __slots__ = ()


class CheckIdle(Record):
    """Effect: ask the tasks whether requests are in flight."""

    __slots__ = ()


class ExitProcess(Record):
    """Effect: close all sockets and exit."""

    __slots__ = ()


@runs_chart("shutdown")
class Shutdown:
    """Decides the steps of a shutdown; runs the chart ``shutdown``.

    Parameters
    ----------
    grace_s : float
        Time from the stop signal until the process is killed, in seconds.
    """

    __slots__ = ("grace_s", "state")

    def __init__(self, grace_s):
        self.grace_s = grace_s
        self.state = self.chart.initial

    def fire(self, event):
        """Run an event and return the effects."""
        return self.chart.fire(self, event)

    def announce_shutdown(self, message):
        """Announce the shutdown; new callers are still accepted for a while."""
        return [
            AnnounceShutdown(),
            StartTimer("callers_left", DEREGISTRATION_DELAY_S),
            StartTimer("time_over", DRAIN_SHARE_OF_GRACE * self.grace_s),
        ]

    def stop_accepting(self, message):
        """Accept no new callers."""
        return [StopAccepting()]

    def check_idle(self, message):
        """Ask whether requests are in flight."""
        return [CheckIdle()]

    def schedule_check(self, message):
        """Schedule the next check for requests in flight."""
        return [StartTimer("check", IDLE_CHECK_INTERVAL_S)]

    def exit_process(self, message):
        """Exit the process."""
        return [ExitProcess()]

"""The graceful end of a node process."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import StartTimer
from cyclamentally.records import Record

# Callers learn from two readiness checks, a second apart, that a node ends.
DEREGISTRATION_DELAY_S = 2.3
# Short against a request, so that the process ends soon after the last one.
IDLE_CHECK_INTERVAL_S = 0.05
# The part of the time given for the end that requests in flight may use; the
# rest is for closing sockets and for a busy processor.
DRAIN_SHARE_OF_GRACE = 0.85


class AnnounceShutdown(Record):
    """Effect: tell all tasks that the node ends."""

    __slots__ = ()


class StopAccepting(Record):
    """Effect: take no new callers, and end connections without a request."""

    __slots__ = ()


class CheckIdle(Record):
    """Effect: ask the tasks that carry requests whether they have any."""

    __slots__ = ()


class ExitProcess(Record):
    """Effect: close all sockets and end."""

    __slots__ = ()


@runs_chart("shutdown")
class Shutdown:
    """Decide how a node ends; runs ``shutdown``.

    Parameters
    ----------
    grace_s : float
        Time from the request to end until the process is killed, in seconds.
    """

    __slots__ = ("grace_s", "state")

    def __init__(self, grace_s):
        self.grace_s = grace_s
        self.state = self.chart.initial

    def fire(self, event):
        """Run an event and return the effects."""
        return self.chart.fire(self, event)

    def announce_shutdown(self, message):
        """Tell the tasks; callers still come for a while."""
        return [
            AnnounceShutdown(),
            StartTimer("callers_left", DEREGISTRATION_DELAY_S),
            StartTimer("time_over", DRAIN_SHARE_OF_GRACE * self.grace_s),
        ]

    def stop_accepting(self, message):
        """Take no new callers."""
        return [StopAccepting()]

    def check_idle(self, message):
        """Ask whether requests are left."""
        return [CheckIdle()]

    def schedule_check(self, message):
        """Ask again soon."""
        return [StartTimer("check", IDLE_CHECK_INTERVAL_S)]

    def exit_process(self, message):
        """End the process."""
        return [ExitProcess()]

"""Graceful shutdown of a node process."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import StartTimer
from cyclamentally.errors import Kind, Refused
from cyclamentally.records import Record

# The platform takes two readiness checks, a second apart, to send callers elsewhere.
DEREGISTRATION_DELAY_S = 2.3
# Shorter than a request, so that the process ends soon after the last one.
IDLE_CHECK_INTERVAL_S = 0.05
# Shares of the grace period. After the drain, unanswered requests are ended; the rest
# is for the delivery of responses and for delays on a busy processor.
DEREGISTRATION_SHARE_OF_GRACE = 0.4
DRAIN_SHARE_OF_GRACE = 0.85
EXIT_SHARE_OF_GRACE = 0.95
# About the time that the platform takes to start the process again.
RESTART_TIME_S = 1.0


class AnnounceShutdown(Record):
    """Effect: tell all tasks that the node is shutting down."""

    __slots__ = ()


class CloseConnections(Record):
    """Effect: accept no new connections and close all after what they have sent."""

    __slots__ = ()


class EndUnanswered(Record):
    """Effect: answer all requests in flight."""

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
        grace_s = self.grace_s
        drain_s = DRAIN_SHARE_OF_GRACE * grace_s
        leave_s = min(DEREGISTRATION_DELAY_S, DEREGISTRATION_SHARE_OF_GRACE * grace_s)
        return [
            AnnounceShutdown(),
            StartTimer("callers_left", leave_s),
            StartTimer("time_over", drain_s),
            StartTimer("exit_due", EXIT_SHARE_OF_GRACE * grace_s),
        ]

    def close_connections(self, message):
        """Close the connections once their responses are delivered."""
        return [CloseConnections()]

    def end_requests(self, message):
        """End the requests whose upstreams have not answered in time."""
        return [EndUnanswered()]

    def check_idle(self, message):
        """Ask whether requests are in flight."""
        return [CheckIdle()]

    def schedule_check(self, message):
        """Schedule the next check for requests in flight."""
        return [StartTimer("check", IDLE_CHECK_INTERVAL_S)]

    def exit_process(self, message):
        """Exit the process."""
        return [ExitProcess()]


def node_stopping():
    """Return the refusal of a request that comes too late in a shutdown."""
    return Refused(Kind.STOPPING, "node is stopping", RESTART_TIME_S)


def not_finished():
    """Return the refusal of a request that a shutdown has ended at its upstream."""
    return Refused(Kind.ENDED_BY_SHUTDOWN, "node stopped before the upstream answered")

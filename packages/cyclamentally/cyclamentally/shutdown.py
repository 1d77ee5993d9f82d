"""Graceful shutdown of a node process."""

from math import inf

from cyclamentally.chart import runs_chart
from cyclamentally.effects import StartTimer
from cyclamentally.errors import Kind, Refused
from cyclamentally.records import Record

# The platform takes two readiness checks, a second apart, to send callers elsewhere.
DEREGISTRATION_DELAY_S = 2.3
# Other nodes learn within this time from the store that a host is leaving.
WITHDRAWAL_TIME_S = 1.2
# Shorter than a request, so that the process ends soon after the last one.
IDLE_CHECK_INTERVAL_S = 0.05
# Requests are passed on without conditions for this time, at most half of the grace
# period. One that comes 3 s after the signal or later must not be ended at an upstream;
# a busy node reads the signal late.
MAX_ACCEPT_S = 2.7
# Shares of the grace period. After the drain, unanswered requests are ended; the rest
# is for the delivery of responses and for delays on a busy processor.
DEREGISTRATION_SHARE_OF_GRACE = 0.4
ACCEPT_SHARE_OF_GRACE = 0.5
DRAIN_SHARE_OF_GRACE = 0.85
EXIT_SHARE_OF_GRACE = 0.95
# About the time that the platform takes to start the process again.
RESTART_TIME_S = 1.0


class AnnounceShutdown(Record):
    """Effect: tell all tasks that the node is shutting down.

    Parameters
    ----------
    accept_s : float
        For how long any request is passed on, in seconds.
    finish_s : float
        Time until unanswered requests are ended, in seconds.
    """

    __slots__ = ("accept_s", "finish_s")

    def __init__(self, accept_s, finish_s):
        self.accept_s = accept_s
        self.finish_s = finish_s


class WithdrawEntry(Record):
    """Effect: tell other nodes to use this host no more."""

    __slots__ = ()


class StopReuse(Record):
    """Effect: close each connection with its next response."""

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
        accept_s = min(MAX_ACCEPT_S, ACCEPT_SHARE_OF_GRACE * grace_s)
        return [
            AnnounceShutdown(accept_s, drain_s),
            StartTimer("withdraw", max(0.0, leave_s - WITHDRAWAL_TIME_S)),
            StartTimer("callers_left", leave_s),
            StartTimer("time_over", drain_s),
            StartTimer("exit_due", EXIT_SHARE_OF_GRACE * grace_s),
        ]

    def withdraw_entry(self, message):
        """Tell other nodes before the upstream on this host is given up."""
        return [WithdrawEntry()]

    def stop_reuse(self, message):
        """Let callers open new connections, which may lead to another node."""
        return [StopReuse()]

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


class LateRequests:
    """Decides which requests a node that is shutting down still passes on.

    Early in the shutdown all are: few of them last until its end. Later ones only if
    their deadline comes first, so that none of them is cut off at an upstream.
    """

    __slots__ = ("accept_until", "finish_by")

    def __init__(self):
        self.accept_until = inf
        self.finish_by = inf

    def start_shutdown(self, accept_until, finish_by):
        """Note the limits of a shutdown.

        Parameters
        ----------
        accept_until : float
            Until when any request is passed on, time in seconds.
        finish_by : float
            When unanswered requests are ended, time in seconds.
        """
        self.accept_until = accept_until
        self.finish_by = finish_by

    def may_start(self, now, expires):
        """Whether a request with a deadline may be passed on; times in seconds."""
        return now <= self.accept_until or expires <= self.finish_by


def node_stopping():
    """Return the refusal of a request that comes too late in a shutdown."""
    return Refused(Kind.STOPPING, "node is stopping", RESTART_TIME_S)


def not_finished():
    """Return the refusal of a request that a shutdown has ended at its upstream."""
    return Refused(Kind.ENDED_BY_SHUTDOWN, "node stopped before the upstream answered")

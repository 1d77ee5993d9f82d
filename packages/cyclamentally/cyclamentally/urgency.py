"""Order of the requests at a gate, and whether they can be in time."""

from cyclamentally.service_times import ServiceTimes


class Urgency:
    """Compares requests by priority, target and deadline.

    Parameters
    ----------
    service_times : ServiceTimes, optional
        Measured service times of the upstream.
    """

    __slots__ = ("service_times",)

    def __init__(self, service_times=None):
        self.service_times = service_times or ServiceTimes()

    def key(self, ticket, now):
        """Return the sort key of queued requests.

        Within a priority, requests that can still meet their target go first:
        under overload, first-in first-out order would make all of them late.
        """
        is_late = self.is_late(ticket, now)
        return (ticket.priority, is_late, ticket.expires if is_late else ticket.target)

    def is_late(self, ticket, start):
        """Whether a request that starts at a time in seconds misses its target."""
        return start + self.service_times.needed(ticket.route) > ticket.target

    def meets_deadline(self, ticket, start):
        """Whether a request that starts at a time in seconds meets its deadline."""
        return start + self.service_times.needed(ticket.route) <= ticket.expires

    def remaining_time(self, running, now):
        """Return the expected time until a `Running` request ends, in seconds."""
        usual = self.service_times.mean(running.ticket.route)
        # A request that exceeds the mean is assumed to need half the mean longer.
        return max(usual - (now - running.since), usual / 2)

    def total_time(self, waiting, running, now):
        """Return the expected time to run requests one after the other, in seconds.

        Parameters
        ----------
        waiting : iterable of Ticket
            Requests that have not started.
        running : iterable of Running
            Requests that have.
        now : float
            Time in seconds.
        """
        rest = sum(self.remaining_time(request, now) for request in running)
        return rest + sum(self.service_times.mean(t.route) for t in waiting)

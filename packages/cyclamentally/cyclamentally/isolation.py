"""Isolation of requests that may have ended upstreams."""

from cyclamentally.suspects import Suspects


class Isolation:
    """Lets an upstream run one suspect at a time.

    Its next end then tells which of the suspects is the cause: requests that were
    in flight with the cause once, and came again, would else share all of its marks.
    """

    __slots__ = ("suspects",)

    def __init__(self):
        self.suspects = Suspects()

    def is_suspect(self, ticket):
        """Whether an upstream has ended under a request, which is not yet refused."""
        return ticket.fingerprint in self.suspects.marked

    def startable(self, waiting, running):
        """Return the queued requests that may start beside the running ones.

        Parameters
        ----------
        waiting : list of Ticket
            Queued requests.
        running : dict
            `Running` objects by number.
        """
        if not self.suspects.marked:
            return waiting
        if not any(self.is_suspect(r.ticket) for r in running.values()):
            return waiting
        return [ticket for ticket in waiting if not self.is_suspect(ticket)]

    def find_ahead(self, waiting, running):
        """Return the suspects that are queued and those that run, as two lists."""
        queued = [ticket for ticket in waiting if self.is_suspect(ticket)]
        started = [r for r in running.values() if self.is_suspect(r.ticket)]
        return queued, started

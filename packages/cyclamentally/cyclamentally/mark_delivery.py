"""Delivery of crash marks to the other nodes of a service."""

from cyclamentally.chart import runs_chart
from cyclamentally.records import Record

# Bounds the memory for a node that does not answer; it gets the newest.
MAX_QUEUED = 1_000


class MarkUpdate(Record):
    """Crash marks, and fingerprints of requests that upstreams have answered since.

    Parameters
    ----------
    marks : list of CrashMark
        The marks.
    cleared : list of int
        Fingerprints of answered requests.
    """

    __slots__ = ("cleared", "marks")

    def __init__(self, marks=(), cleared=()):
        self.marks = list(marks)
        self.cleared = list(cleared)

    @property
    def is_empty(self):
        """Whether it says nothing."""
        return not self.marks and not self.cleared

    def followed_by(self, later):
        """Return this update with a later one, without the oldest of too many."""
        return MarkUpdate(
            (self.marks + later.marks)[-MAX_QUEUED:],
            (self.cleared + later.cleared)[-MAX_QUEUED:],
        )


class SendMarks(Record):
    """Effect: send a `MarkUpdate`."""

    __slots__ = ("update",)

    def __init__(self, update):
        self.update = update


@runs_chart("mark_delivery")
class MarkDelivery:
    """Messages with marks to one node, one at a time; runs ``mark_delivery``.

    Parameters
    ----------
    address : str
        ``IP:port`` where the node takes requests of other nodes.
    """

    __slots__ = ("address", "queued", "sent", "state", "unlisted_since")

    def __init__(self, address):
        self.address = address
        self.state = self.chart.initial
        # A `MarkUpdate` each, or None.
        self.queued = None
        self.sent = None
        # Time in seconds since when the node is not listed; None while it is.
        self.unlisted_since = None

    def fire(self, event, update=None):
        """Run an event of the chart and return the effects."""
        return self.chart.fire(self, event, update)

    def has_queued(self, update):
        """Whether more has been queued while a message was sent."""
        return self.queued is not None

    def queue(self, update):
        """Queue an update for the next message."""
        self.queued = update if self.queued is None else self.queued.followed_by(update)

    def send(self, update):
        """Send what is queued."""
        self.sent, self.queued = self.queued, None
        return [SendMarks(self.sent)]

    def settle(self, update):
        """Drop the acknowledged update."""
        self.sent = None

    def queue_again(self, update):
        """Queue an update that was not acknowledged, before later ones."""
        later = self.queued or MarkUpdate()
        self.queued, self.sent = self.sent.followed_by(later), None

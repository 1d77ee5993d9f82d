"""Messages about what an upstream reports to the node on its host."""

from cyclamentally.records import Record


class ReportReceipt(Record):
    """A report whose sender waits until what follows from it is stored.

    Parameters
    ----------
    sender : Task
        Receiver of `ReportStored`.
    exchange : Exchange
        The request that brought the report.
    """

    __slots__ = ("exchange", "sender")

    def __init__(self, sender, exchange):
        self.sender = sender
        self.exchange = exchange


class UpstreamReported(Record):
    """The upstream on this host has sent a report.

    Parameters
    ----------
    report : Heartbeat or UpstreamEnded
        The report.
    receipt : ReportReceipt or None
        Passed on to the store task once the report has been handled.
    """

    __slots__ = ("receipt", "report")

    def __init__(self, report, receipt=None):
        self.report = report
        self.receipt = receipt


class ReportHandled(Record):
    """A report has been handled; its `ReportReceipt` is due once all is stored."""

    __slots__ = ("receipt",)

    def __init__(self, receipt):
        self.receipt = receipt


class ReportStored(Record):
    """What follows from a report is stored."""

    __slots__ = ("exchange",)

    def __init__(self, exchange):
        self.exchange = exchange

"""A request to another process and the callback for its outcome."""

from cyclamentally.body_budget import MAX_DOWNLOAD_BYTES
from cyclamentally_calls.outcomes import Lost, NotSent


class OutgoingRequest:
    """One outgoing request and the callback for its outcome.

    Parameters
    ----------
    data : bytes
        The encoded request.
    echo : tuple or None
        Lower-case name and value of the header that the response must repeat.
    on_outcome : callable
        Takes `Answered`, `NotSent` or `Lost`; called once unless cancelled.
    is_head : bool
        Whether it is a HEAD request, whose response never has a body.
    max_body_bytes : int
        Limit of the response's body.
    transfer_s : float, optional
        Timeout of the rest of a response whose first bytes have arrived, in seconds;
        replaces the deadline then.
    """

    __slots__ = (
        "response",
        "connection",
        "data",
        "echo",
        "is_head",
        "is_sent",
        "max_body_bytes",
        "on_outcome",
        "timer",
        "transfer_s",
    )

    def __init__(
        self,
        data,
        echo,
        on_outcome,
        is_head=False,
        max_body_bytes=MAX_DOWNLOAD_BYTES,
        transfer_s=None,
    ):
        self.max_body_bytes = max_body_bytes
        self.transfer_s = transfer_s
        self.data = data
        self.echo = echo
        self.on_outcome = on_outcome
        self.is_head = is_head
        # Whether any byte of it may have been sent.
        self.is_sent = False
        self.connection = None
        self.response = None
        self.timer = None

    def cancel(self):
        """Cancel the request; its connection is closed to tell the server."""
        if self.timer is not None:
            self.timer.cancel()
        self.on_outcome = None
        if self.connection is not None:
            self.connection.fire("cancelled")

    def begin_transfer(self, loop):
        """Note the first bytes of the response; later ones change nothing."""
        transfer_s, self.transfer_s = self.transfer_s, None
        if transfer_s is not None and self.timer is not None:
            self.timer.cancel()
            self.timer = loop.call_after(transfer_s, self.time_out)

    def time_out(self):
        """Cancel the request and report that its deadline has passed."""
        report = self.on_outcome
        self.cancel()
        if report is not None:
            detail = "no complete response before the deadline"
            report(Lost(detail, is_timeout=True) if self.is_sent else NotSent(detail))

    def finish(self, outcome):
        """Report the outcome unless the request was cancelled."""
        if self.timer is not None:
            self.timer.cancel()
        report, self.on_outcome = self.on_outcome, None
        if report is not None:
            report(outcome)

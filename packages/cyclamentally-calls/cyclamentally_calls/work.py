"""A request at the gate, and the upstream that the gate protects."""


class LocalUpstream:
    """The upstream on the node's host, as configured in the settings.

    Parameters
    ----------
    service : str
        Its service.
    address : str
        Its ``IP:port``.
    heartbeat_s : float
        Heartbeat period, in seconds.
    """

    __slots__ = ("address", "heartbeat_s", "service")

    def __init__(self, service, address, heartbeat_s):
        self.service = service
        self.address = address
        self.heartbeat_s = heartbeat_s


class Work:
    """A request at the gate.

    Parameters
    ----------
    requester : Requester
        Receiver of the outcome.
    request : Request
        The request for the upstream.
    ticket : Ticket
        The gate's data on the request.
    is_repeat : bool
        Whether its run repeats an earlier one.
    """

    __slots__ = ("is_repeat", "outgoing", "request", "requester", "ticket")

    def __init__(self, requester, request, ticket, is_repeat):
        self.is_repeat = is_repeat
        self.requester = requester
        self.request = request
        self.ticket = ticket
        self.outgoing = None

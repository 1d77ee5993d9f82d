"""A request at a gate, and the upstream that the gate is for."""


class LocalUpstream:
    """The upstream beside a node as the settings name it.

    Parameters
    ----------
    service : str
        Its service.
    address : str
        Its ``IP:port``.
    heartbeat_s : float
        Time between its heartbeats, in seconds.
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
    origin : Origin
        Receiver of the outcome.
    request : Request
        What the upstream is to get.
    ticket : Ticket
        What the gate knows of it.
    """

    __slots__ = ("origin", "request", "sending", "ticket")

    def __init__(self, origin, request, ticket):
        self.origin = origin
        self.request = request
        self.ticket = ticket
        self.sending = None

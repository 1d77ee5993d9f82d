"""Messages between the tasks of the data plane."""

from cyclamentally.records import Record


class RoutesReplaced(Record):
    """A newer `RouteTable` is in force."""

    __slots__ = ("table",)

    def __init__(self, table):
        self.table = table


class HostsReplaced(Record):
    """The hosts that are listed or still used.

    Parameters
    ----------
    by_service : dict of str to list of HostEntry
        Hosts by the service of their upstream.
    """

    __slots__ = ("by_service",)

    def __init__(self, by_service):
        self.by_service = by_service


class HostFailed(Record):
    """A host did not answer."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name = name


class UpstreamReported(Record):
    """The upstream beside this node has sent a report.

    Parameters
    ----------
    report : Heartbeat or UpstreamEnded
        What it reports.
    """

    __slots__ = ("report",)

    def __init__(self, report):
        self.report = report


class UpstreamChanged(Record):
    """The upstream beside this node changed; None while there is none.

    Parameters
    ----------
    upstream : UpstreamEntry
        What other nodes are to know of it.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream):
        self.upstream = upstream


class Offer(Record):
    """A request for the upstream beside this node.

    Parameters
    ----------
    number : int
        Identifies the request at the sender.
    sender : Task
        Receiver of `OfferDone`.
    ticket : PeerTicket
        Whom it means.
    request : Request
        The request with the headers that the upstream gets.
    """

    __slots__ = ("number", "sender", "ticket", "request")

    def __init__(self, number, sender, ticket, request):
        self.number = number
        self.sender = sender
        self.ticket = ticket
        self.request = request


class OfferDone(Record):
    """What an offer came to.

    Parameters
    ----------
    number : int
        Number of the offer at its sender.
    outcome : Done or Refused
        ``Done`` holds the `Answer`.
    load : Load or None
        Load of the upstream afterwards.
    """

    __slots__ = ("number", "outcome", "load")

    def __init__(self, number, outcome, load):
        self.number = number
        self.outcome = outcome
        self.load = load


class OfferWithdrawn(Record):
    """The sender no longer wants an answer to its offer."""

    __slots__ = ("number",)

    def __init__(self, number):
        self.number = number


class NewerKnown(Record):
    """Another node has a newer configuration.

    Parameters
    ----------
    address : str
        ``IP:port`` of the other node.
    version : int
        Version of its configuration.
    """

    __slots__ = ("address", "version")

    def __init__(self, address, version):
        self.address = address
        self.version = version


class StateAsked(Record):
    """Another node asks for configuration and hosts.

    Parameters
    ----------
    sender : Task
        Receiver of `StateFound`.
    exchange : Exchange
        Given back with the state.
    """

    __slots__ = ("sender", "exchange")

    def __init__(self, sender, exchange):
        self.sender = sender
        self.exchange = exchange


class StateFound(Record):
    """The answer to `StateAsked`; the body is empty without a configuration."""

    __slots__ = ("exchange", "body")

    def __init__(self, exchange, body):
        self.exchange = exchange
        self.body = body


class ServiceChanged(Record):
    """The settings name another service beside this node.

    Parameters
    ----------
    service : str
        The service.
    """

    __slots__ = ("service",)

    def __init__(self, service):
        self.service = service


class CallersLeft(Record):
    """Callers go elsewhere by now: end connections without a request."""

    __slots__ = ()


class IdleAsked(Record):
    """Whether a task carries requests is asked.

    Parameters
    ----------
    sender : Task
        Receiver of `IdleFound`.
    """

    __slots__ = ("sender",)

    def __init__(self, sender):
        self.sender = sender


class IdleFound(Record):
    """Whether a task carries no request and has no answer left to send."""

    __slots__ = ("is_idle",)

    def __init__(self, is_idle):
        self.is_idle = is_idle


class DrainBegun(Record):
    """The node is to end: finish what has begun, take nothing new later."""

    __slots__ = ()

"""Messages from upstreams and request senders to a gate, and the gate's effects."""

from cyclamentally.records import Record

# Assumed for a route without measured requests: between a typical call of an
# upstream (20 ms) and a caller's request (100 ms).
DEFAULT_SERVICE_TIME_S = 0.05


class Heartbeat(Record):
    """Periodic report of an upstream about itself.

    Parameters
    ----------
    upstream : str
        Identifier.
    service : str
        Service that it belongs to.
    address : str
        ``IP:port`` where it takes requests.
    started_ms : int
        Start of its lifetime, Unix milliseconds; 0 if unknown.
    sequence : int
        Number of the heartbeat within this lifetime.
    slots : int
        Requests that it runs concurrently.
    is_leaving : bool
        Whether it is about to end.
    """

    __slots__ = (
        "upstream",
        "service",
        "address",
        "started_ms",
        "sequence",
        "slots",
        "is_leaving",
    )

    def __init__(
        self,
        upstream,
        service,
        address,
        started_ms,
        sequence,
        slots,
        is_leaving,
    ):
        self.upstream = upstream
        self.service = service
        self.address = address
        self.started_ms = started_ms
        self.sequence = sequence
        self.slots = slots
        self.is_leaving = is_leaving


class UpstreamEnded(Record):
    """An upstream reports that it has ended or is about to end.

    Parameters
    ----------
    upstream : str
        Its identifier.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream):
        self.upstream = upstream


class Ticket(Record):
    """The gate's data on a request.

    Parameters
    ----------
    number : int
        Identifies the request at this gate.
    upstream, service : str
        Upstream and service that the sender has chosen.
    route : str
        Route, whose mean service time applies.
    priority : int
        Rank; 0 is the most urgent.
    target : float
        Time in seconds by which the answer should arrive.
    expires : float
        Time in seconds after which the answer is of no use.
    crosses_link : bool
        Whether the answer goes to another host.
    fingerprint : int or None
        Hash that all attempts of the request share; None if unknown.
    """

    __slots__ = (
        "number",
        "upstream",
        "service",
        "route",
        "priority",
        "target",
        "expires",
        "crosses_link",
        "fingerprint",
    )

    def __init__(
        self,
        number,
        upstream,
        service,
        route,
        priority,
        target,
        expires,
        crosses_link=False,
        fingerprint=None,
    ):
        self.number = number
        self.upstream = upstream
        self.service = service
        self.route = route
        self.priority = priority
        self.target = target
        self.expires = expires
        self.crosses_link = crosses_link
        self.fingerprint = fingerprint


class StartWork(Record):
    """Effect: hand a request to the upstream."""

    __slots__ = ("number", "heartbeat")

    def __init__(self, number, heartbeat):
        self.number = number
        self.heartbeat = heartbeat


class RefuseWork(Record):
    """Effect: refuse a request, which has not run."""

    __slots__ = ("number", "refusal")

    def __init__(self, number, refusal):
        self.number = number
        self.refusal = refusal


class Load(Record):
    """Load of an upstream as its gate sees it.

    Parameters
    ----------
    busy, waiting, slots : int
        Running requests, queued requests, and the limit of running ones.
    service_time_s : float
        Expected time of a request on the route in question, in seconds.
    shed_share : float
        Share of the recent requests that the upstream has rejected, 0 to 1.
    """

    __slots__ = ("busy", "waiting", "slots", "service_time_s", "shed_share")

    def __init__(self, busy, waiting, slots, service_time_s, shed_share=0.0):
        self.busy = busy
        self.waiting = waiting
        self.slots = slots
        self.service_time_s = service_time_s
        self.shed_share = shed_share


class Running(Record):
    """A running request and its start time in seconds."""

    __slots__ = ("ticket", "since")

    def __init__(self, ticket, since):
        self.ticket = ticket
        self.since = since

"""What an upstream and the senders of requests tell a gate, and its effects."""

from cyclamentally.records import Record

# Time of a request on a route of which nothing is known yet, in seconds: between
# a call of an upstream (20 ms) and a caller's request (100 ms) in the brief's mix.
DEFAULT_SERVICE_TIME_S = 0.05


class Heartbeat(Record):
    """What an upstream says of itself.

    Parameters
    ----------
    upstream : str
        Identifier.
    service : str
        Service that it belongs to.
    address : str
        ``IP:port`` where it takes requests.
    started_ms : int
        Start of its lifetime, Unix milliseconds; 0 if it does not say.
    sequence : int
        Count of its heartbeats in this lifetime.
    slots : int
        Requests that it runs at once.
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
    """An upstream reports that it is gone or about to be.

    Parameters
    ----------
    upstream : str
        Its identifier.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream):
        self.upstream = upstream


class RecordedEnd(Record):
    """The end of an upstream of which nothing else is known.

    Parameters
    ----------
    upstream : str
        Its identifier.
    reported_ms : int
        When it was reported, Unix milliseconds on this host; a lifetime of the
        same name that has started later is another one.
    """

    __slots__ = ("upstream", "reported_ms")

    def __init__(self, upstream, reported_ms):
        self.upstream = upstream
        self.reported_ms = reported_ms


class Ticket(Record):
    """What the gate has to know of a request.

    Parameters
    ----------
    number : int
        Identifies the request at this gate.
    upstream, service : str
        Whom the sender means.
    route : str
        Route, for the usual time of its requests.
    priority : int
        Rank; 0 is the most urgent.
    target : float
        Time in seconds until which the answer is worth most.
    expires : float
        Time in seconds after which the answer is of no use.
    crosses_link : bool
        Whether the answer goes to another host.
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
    ):
        self.number = number
        self.upstream = upstream
        self.service = service
        self.route = route
        self.priority = priority
        self.target = target
        self.expires = expires
        self.crosses_link = crosses_link


class StartWork(Record):
    """Effect: hand a request to the upstream."""

    __slots__ = ("number", "heartbeat")

    def __init__(self, number, heartbeat):
        self.number = number
        self.heartbeat = heartbeat


class RefuseWork(Record):
    """Effect: a request is not handed over; it has not run."""

    __slots__ = ("number", "refusal")

    def __init__(self, number, refusal):
        self.number = number
        self.refusal = refusal


class Load(Record):
    """Load of an upstream as its gate sees it.

    Parameters
    ----------
    busy, waiting, slots : int
        Requests that run, requests that wait, and the limit of the former.
    service_time_s : float
        Usual time of a request on the route in question, in seconds.
    """

    __slots__ = ("busy", "waiting", "slots", "service_time_s")

    def __init__(self, busy, waiting, slots, service_time_s):
        self.busy = busy
        self.waiting = waiting
        self.slots = slots
        self.service_time_s = service_time_s


class Running(Record):
    """A request that the upstream has, and since when in seconds."""

    __slots__ = ("ticket", "since")

    def __init__(self, ticket, since):
        self.ticket = ticket
        self.since = since

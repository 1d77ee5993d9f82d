"""Headers that nodes exchange in offers and their responses."""

from msgspec.json import encode

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.gate_messages import Load
from cyclamentally.routes import CallerLimits
from cyclamentally_calls.decoding import (
    InvalidDataError,
    decode_json,
    has_fields,
    is_integer,
    is_signed_integer,
    is_slots,
    is_text,
)
from cyclamentally_calls.http_codec import Response

TICKET_HEADER = b"Cyclamentally-Ticket"
REFUSED_HEADER = b"Cyclamentally-Refused"
LOAD_HEADER = b"Cyclamentally-Load"
# Marks a failure that repeating the run cannot cure: a call of the run was not
# retried for lack of retry budget.
FINAL_HEADER = b"Cyclamentally-Final"
PEER_HEADERS = frozenset(
    name.lower() for name in (TICKET_HEADER, REFUSED_HEADER, LOAD_HEADER, FINAL_HEADER)
)
# Limits for requests from other nodes, whose heads carry a ticket in addition to the
# caller's headers.
PEER_LIMITS = CallerLimits(128 * 1024, 256 * 1024 * 1024, 5.0, 60.0)
REFUSED_STATUS = 503
MS_PER_S = 1_000
# Fields that every ticket has. A later build may add fields; the first of them is
# present only in tickets of repeats.
TICKET_FIELDS = (
    *(is_text, is_text, is_text),
    *(is_integer, is_signed_integer, is_integer),
    *(is_text, is_integer),
)
KINDS = frozenset(Kind)
LOAD_FIELDS = (is_integer, is_integer, is_slots, is_integer)


class PeerTicket:
    """Data on a request that the sending node passes to the gate.

    Parameters
    ----------
    upstream, service, route : str
        Intended upstream and service, and the route of the request.
    priority : int
        Priority; 0 is the highest.
    target_s : float
        Time left until the target, in seconds; negative if it has passed.
    left_s : float
        Time left until the deadline, in seconds.
    sender : str
        ``IP:port`` of the sending node.
    version : int
        Version of the sending node's configuration.
    is_repeat : bool
        Whether its run repeats an earlier one, or a call of an earlier one.
    """

    __slots__ = (
        "is_repeat",
        "left_s",
        "priority",
        "route",
        "sender",
        "service",
        "target_s",
        "upstream",
        "version",
    )

    def __init__(
        self,
        upstream,
        service,
        route,
        priority,
        target_s,
        left_s,
        sender,
        version,
        is_repeat=False,
    ):
        self.upstream = upstream
        self.service = service
        self.route = route
        self.priority = priority
        self.target_s = target_s
        self.left_s = left_s
        self.sender = sender
        self.version = version
        self.is_repeat = is_repeat


def encode_ticket(ticket):
    """Return the header that carries a `PeerTicket`."""
    fields = [
        ticket.upstream,
        ticket.service,
        ticket.route,
        ticket.priority,
        int(ticket.target_s * MS_PER_S),
        max(0, int(ticket.left_s * MS_PER_S)),
        ticket.sender,
        ticket.version,
    ]
    if ticket.is_repeat:
        fields.append(True)
    return (TICKET_HEADER, encode(fields))


def find_ticket(request):
    """Return ``Done`` with the `PeerTicket` of a node's request, or ``Refused``."""
    ticket = decode_ticket(request.find(TICKET_HEADER.lower()))
    if ticket is None:
        detail = "ticket header is missing or malformed"
        return Refused(Kind.MESSAGE_MALFORMED, detail)
    return Done(ticket)


def refuse_offer(refusal):
    """Return the `Response` to a node's request that violates the protocol."""
    return Response(refusal.answer.status, [encode_refusal(refusal)], b"")


def decode_ticket(value):
    """Return the `PeerTicket` of a header value, or None if it is invalid."""
    fields, others = _split_fields(value, len(TICKET_FIELDS))
    if not has_fields(fields, TICKET_FIELDS):
        return None
    upstream, service, route, priority, target_ms, left_ms, sender, version = fields
    return PeerTicket(
        upstream,
        service,
        route,
        priority,
        target_ms / MS_PER_S,
        left_ms / MS_PER_S,
        sender,
        version,
        others[:1] == [True],
    )


def encode_refusal(refusal):
    """Return the header that carries a `Refused`."""
    wait_ms = None if refusal.wait is None else int(refusal.wait * MS_PER_S)
    return (REFUSED_HEADER, encode([str(refusal.kind), refusal.detail, wait_ms]))


def decode_refusal(value):
    """Return the `Refused` of a header value.

    An invalid value becomes a refusal after which the request may have run.
    """
    fields, _ = _split_fields(value, len(REFUSAL_FIELDS))
    if not has_fields(fields, REFUSAL_FIELDS):
        return Refused(Kind.UPSTREAM_FAILED, "invalid refusal header from the gate")
    kind, detail, wait_ms = fields
    wait = None if wait_ms is None else wait_ms / MS_PER_S
    return Refused(Kind(kind), detail, wait)


def mark_final(response):
    """Return a copy of a `Response` that is marked as a final failure."""
    headers = [*response.headers, (FINAL_HEADER, b"1")]
    return Response(response.status, headers, response.body, length=response.length)


def is_final(response):
    """Whether a `Response` is marked as a final failure."""
    return bool(response.find(FINAL_HEADER.lower()))


def encode_load(load):
    """Return the header that carries a `Load`."""
    service_ms = int(load.service_time_s * MS_PER_S)
    fields = [load.busy, load.waiting, load.slots, service_ms]
    if load.shed_share:
        fields.append(round(load.shed_share, 2))
    return (LOAD_HEADER, encode(fields))


def decode_load(value):
    """Return the `Load` of a header value, or None if it is invalid."""
    fields, others = _split_fields(value, len(LOAD_FIELDS))
    shed_share = others[0] if others else 0.0
    if not (has_fields(fields, LOAD_FIELDS) and _is_share(shed_share)):
        return None
    busy, waiting, slots, service_ms = fields
    return Load(busy, waiting, slots, service_ms / MS_PER_S, shed_share)


def _split_fields(value, count):
    """Return the first fields of an encoded list, and the others; empty if invalid."""
    try:
        fields = decode_json(value)
    except InvalidDataError:
        return [], []
    return (fields[:count], fields[count:]) if isinstance(fields, list) else ([], [])


def _is_kind(value):
    return is_text(value) and value in KINDS


def _is_wait(value):
    return value is None or is_signed_integer(value)


def _is_share(value):
    return isinstance(value, int | float) and 0 <= value <= 1


REFUSAL_FIELDS = (_is_kind, is_text, _is_wait)

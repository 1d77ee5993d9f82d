"""Encoding of requests for an upstream, and validation of its responses."""

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.gate_messages import Heartbeat
from cyclamentally_calls.decoding import (
    is_name,
    is_slots,
    parse_decimal,
    parse_digits,
)
from cyclamentally_calls.http_codec import Response, encode_request, end_to_end_headers
from cyclamentally_calls.outcomes import Answered, Lost
from cyclamentally_calls.peer_codec import PEER_HEADERS

MS_PER_S = 1_000
HTTP_OK = 200
FIRST_REDIRECT = 300
HTTP_MISDIRECTED = 421


def encode_upstream_request(request, upstream, left_s, names):
    """Return the bytes of a request for an upstream.

    Parameters
    ----------
    request : Request
        The request as received from the sending node.
    upstream : str
        Identifier of the only upstream that may run it.
    left_s : float
        Time left until the deadline, in seconds.
    names : HeaderNames
        Headers shared with upstreams.
    """
    excluded = PEER_HEADERS | {names.deadline_ms.lower, names.expected_upstream.lower}
    headers = end_to_end_headers(request.headers, excluded)
    left_ms = max(1, int(left_s * MS_PER_S))
    headers.append((names.deadline_ms.text, b"%d" % left_ms))
    headers.append((names.expected_upstream.text, upstream.encode()))
    return encode_request(
        request.method, request.target, headers, request.body, request.has_body
    )


def classify_result(result, names):
    """Return ``Done`` with a valid response to forward, or ``Refused``.

    Parameters
    ----------
    result : Answered, NotSent or Lost
        Result of sending the request.
    names : HeaderNames
        Headers shared with upstreams.
    """
    if isinstance(result, Lost):
        kind = Kind.UPSTREAM_TIMEOUT if result.is_timeout else Kind.UPSTREAM_FAILED
        return Refused(kind, result.detail)
    if not isinstance(result, Answered):
        return Refused(Kind.UPSTREAM_UNREACHABLE, result.detail)
    response = result.response
    if response.find(names.not_run.lower):
        return Refused(
            Kind.UPSTREAM_OVERLOADED, f"upstream did not run it: {response.status}"
        )
    if response.status == HTTP_MISDIRECTED:
        return Refused(Kind.UPSTREAM_LEFT, "address belongs to another upstream")
    if response.find(b"content-encoding"):
        return Refused(Kind.UPSTREAM_TRUNCATED, "response body is encoded")
    is_signed = bool(response.find(names.signature.lower))
    if HTTP_OK <= response.status < FIRST_REDIRECT and not is_signed:
        return Refused(Kind.UPSTREAM_TRUNCATED, "success without a signature")
    headers = end_to_end_headers(response.headers, PEER_HEADERS)
    return Done(
        Response(response.status, headers, response.body, length=response.length)
    )


def decode_limit(response, names):
    """Return the requests a second that the upstream takes; None if it names none.

    Of several values the lowest counts; those that are no decimal numbers do not.
    """
    name = names.upstream_limit.lower
    if not response.find(name):
        return None
    values = [parse_decimal(v) for n, v in response.headers if n.lower() == name]
    return min((value for value in values if value is not None), default=None)


def says_leaving(response, names):
    """Whether the upstream says in a response that it leaves."""
    return response.find(names.upstream_leaving.lower).strip() == b"1"


def encode_liveness(address, path):
    """Return the bytes of a liveness check of an upstream."""
    headers = [(b"Host", address.encode())]
    return encode_request(b"GET", path.encode(), headers, b"", False)


def decode_liveness(response, local, names):
    """Return what a liveness check tells as a `Heartbeat`, or None if it names no one.

    Parameters
    ----------
    response : Response or None
        Response to the check.
    local : LocalUpstream
        The upstream that was asked.
    names : HeaderNames
        Headers shared with upstreams.
    """
    if response is None or response.status != HTTP_OK:
        return None
    name = response.find(names.upstream_name.lower).decode("latin-1")
    load = response.find(names.upstream_load.lower)
    stated = parse_digits(load.split(b",")[-1].strip())
    slots = 1 if stated == 0 else stated
    if not (is_name(name) and is_slots(slots)):
        return None
    return Heartbeat(name, local.service, local.address, 0, 0, slots, False)

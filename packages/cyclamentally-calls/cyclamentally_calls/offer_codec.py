"""Encoding of offers to another node's gate, and decoding of their results."""

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally_calls.http_codec import Request, encode_request
from cyclamentally_calls.outcomes import Answered, NotSent
from cyclamentally_calls.peer_codec import (
    LOAD_HEADER,
    REFUSED_HEADER,
    PeerTicket,
    decode_load,
    decode_refusal,
    encode_ticket,
)


def with_headers(request, headers):
    """Return a copy of a request with other headers."""
    return Request(
        request.method,
        request.target,
        headers,
        request.body,
        request.has_body,
        keep_alive=True,
    )


def make_ticket(forwarding, now, sender, version):
    """Return the `PeerTicket` of an offer.

    Parameters
    ----------
    forwarding : Forwarding
        The request and the upstream that it is offered to.
    now : float
        Time in seconds.
    sender : str
        ``IP:port`` of this node.
    version : int
        Version of its configuration.
    """
    upstream, rule = forwarding.view.entry.upstream, forwarding.rule
    return PeerTicket(
        upstream.name,
        upstream.service,
        rule.name,
        rule.priority,
        forwarding.arrived + rule.target_s - now,
        forwarding.expires - now,
        sender,
        version,
        forwarding.is_repeat,
    )


def encode_offer(request, ticket):
    """Return the bytes of an offer: a request with its `PeerTicket`."""
    headers = [*request.headers, encode_ticket(ticket)]
    return encode_request(
        request.method, request.target, headers, request.body, request.has_body
    )


def decode_offer_result(result):
    """Return the outcome (``Done`` or ``Refused``) and the gate's `Load`, or None.

    Parameters
    ----------
    result : Answered, NotSent or Lost
        Result of sending the offer.
    """
    if isinstance(result, Answered):
        response = result.response
        load = decode_load(response.find(LOAD_HEADER.lower()))
        refused = response.find(REFUSED_HEADER.lower())
        return decode_refusal(refused) if refused else Done(response), load
    if isinstance(result, NotSent):
        return Refused(Kind.UPSTREAM_UNREACHABLE, result.detail), None
    kind = Kind.UPSTREAM_TIMEOUT if result.is_timeout else Kind.UPSTREAM_FAILED
    return Refused(kind, result.detail), None

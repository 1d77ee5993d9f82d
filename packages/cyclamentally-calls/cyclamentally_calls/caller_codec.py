"""Decoding of callers' requests and encoding of refusals for callers."""

from cyclamentally.errors import Kind
from cyclamentally_calls.decoding import parse_digits
from cyclamentally_calls.http_codec import Response, end_to_end_headers
from cyclamentally_calls.peer_codec import PEER_HEADERS

MS_PER_S = 1_000
# With a shorter wait, a caller would retry before the load has changed.
MIN_RETRY_AFTER_S = 0.02
# Used if no gate has estimated a wait; about the duration of one request.
DEFAULT_RETRY_AFTER_S = 0.2
# Upstreams that shed do so at random, whatever the load: a retry may succeed at once.
SHED_RETRY_AFTER_S = 0.05
DEFAULT_WAITS_S = {Kind.UPSTREAM_OVERLOADED: SHED_RETRY_AFTER_S}


def find_rule(table, request):
    """Return the `RouteRule` of a request in a `RouteTable`, or None."""
    host = request.find(b"host").decode("latin-1").lower()
    host = host.rsplit(":", 1)[0] if ":" in host else host
    path = request.target.decode("latin-1").partition("?")[0]
    return table.find(host, path)


def time_left_of(request, names):
    """Return the time that a caller waits in seconds; None if it does not tell."""
    left_ms = parse_digits(request.find(names.deadline_ms.lower))
    return None if left_ms is None else left_ms / MS_PER_S


def forwarded_headers(request, service, names):
    """Return the headers to forward to an upstream.

    Parameters
    ----------
    request : Request
        The caller's request.
    service : str
        Service on the host of the node that received it.
    names : HeaderNames
        Headers shared with callers and upstreams.
    """
    kept = end_to_end_headers(request.headers, names.set_by_node | PEER_HEADERS)
    kept.append((names.calling_service.text, service.encode()))
    return kept


def retry_after_s(refusal):
    """Return the wait to name to the caller, in seconds; None if a retry is useless."""
    if refusal.answer.retry_after is None:
        return None
    wait = refusal.wait or DEFAULT_WAITS_S.get(refusal.kind, DEFAULT_RETRY_AFTER_S)
    return max(MIN_RETRY_AFTER_S, wait)


def refusal_response(request, refusal, names):
    """Return the `Response` for a refusal.

    Parameters
    ----------
    request : Request or None
        None if the request could not be parsed.
    refusal : Refused
        Reason, with the wait that a gate has estimated.
    names : HeaderNames
        Headers shared with callers and upstreams.
    """
    answer = refusal.answer
    headers = [(b"Content-Type", b"text/plain")]
    wait = retry_after_s(refusal)
    if wait is not None:
        headers.append((b"Retry-After", b"%.3f" % wait))
    echo = request.find(names.request_id.lower) if request is not None else b""
    if echo:
        headers.append((names.request_id.text, echo))
    body = f"{refusal.kind}: {refusal.detail}\n".encode()
    return Response(answer.status, headers, body)

"""Requests of callers, checks of upstream answers, and answers of refusals."""

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.quarantine import fingerprint_of
from cyclamentally.records import Record
from cyclamentally_calls.decoding import parse_digits
from cyclamentally_calls.http_codec import Response, encode_request, end_to_end_headers

IDEMPOTENT_METHODS = {b"GET", b"HEAD", b"OPTIONS", b"PUT", b"DELETE", b"TRACE"}
DEADLINE_HEADER = b"Cyclamentally-Deadline-Ms"
RAN_HEADER = b"Cyclamentally-Ran"
REASON_HEADER = b"Cyclamentally-Reason"
RETRIED_HEADER = b"Cyclamentally-Retried"
REPEATED_HEADER = b"Cyclamentally-Repeated"
KEY_HEADER = b"Idempotency-Key"
REPLACED_HEADERS = frozenset([DEADLINE_HEADER.lower()])
NO_HEADERS = frozenset()
STATUSES_WITHOUT_BODY = (204, 304)
SHED_STATUSES = (429, 503)
MS_PER_S = 1_000


class CallerRequest(Record):
    """A request as a caller sent it.

    Parameters
    ----------
    request : Request
        The HTTP request.
    deadline_ms : int or None
        Remaining time given by the caller, ms.
    """

    __slots__ = ("request", "deadline_ms", "fingerprint", "key", "target")

    def __init__(self, request, deadline_ms):
        self.request = request
        self.deadline_ms = deadline_ms
        self.target = request.target.decode("latin-1")
        method = request.method.decode("latin-1")
        self.fingerprint = fingerprint_of(method, self.target, request.body)
        # Idempotency key; empty if there is none.
        self.key = request.find(KEY_HEADER.lower()).decode("latin-1")

    @property
    def is_idempotent(self):
        """Whether the request may run more than once."""
        return self.request.method in IDEMPOTENT_METHODS

    @property
    def is_head(self):
        """Whether the answer has no body, whatever its length header says."""
        return self.request.method == b"HEAD"

    def allowed_ms(self, timeout_ms):
        """Return the time allowed for the request, ms.

        It is the shorter of the caller's deadline and ``timeout_ms``, the timeout
        of the service.
        """
        if self.deadline_ms is None:
            return timeout_ms
        return min(timeout_ms, self.deadline_ms)

    def encode(self, remaining_s):
        """Return the request as sent to an upstream.

        Parameters
        ----------
        remaining_s : float
            Time left until the deadline, in seconds.
        """
        request = self.request
        headers = end_to_end_headers(request.headers, REPLACED_HEADERS)
        headers.append((DEADLINE_HEADER, b"%d" % max(1, int(remaining_s * MS_PER_S))))
        return encode_request(
            request.method, request.target, headers, request.body, request.has_body
        )


def read_request(request):
    """Return ``Done`` with the `CallerRequest` of an HTTP request, or ``Refused``."""
    text = request.find(DEADLINE_HEADER.lower())
    deadline_ms = parse_digits(text)
    if text and deadline_ms is None:
        detail = (
            f"{DEADLINE_HEADER.decode()}: {text[:40].decode('latin-1')!r} "
            "is not a whole number of ms"
        )
        return Refused(Kind.BAD_REQUEST, detail)
    return Done(CallerRequest(request, deadline_ms))


def check_answer(answer, is_head, address):
    """Return ``Done`` with the `Response` to forward to the caller, or ``Refused``.

    Parameters
    ----------
    answer : Response
        Complete answer of an upstream.
    is_head : bool
        Whether the request was a HEAD.
    address : str
        ``IP:port`` of the upstream.
    """
    has_end = is_head or answer.status in STATUSES_WITHOUT_BODY
    if not has_end and not (
        answer.find(b"content-length") or answer.find(b"transfer-encoding")
    ):
        detail = f"{address}: answer without a length, possibly truncated"
        return Refused(Kind.UPSTREAM_TRUNCATED, detail)
    is_shed = answer.status in SHED_STATUSES
    if is_shed and answer.find(RAN_HEADER.lower()) == b"no":
        is_final = bool(answer.find(RETRIED_HEADER.lower()))
        detail = f"{address} shed the request with status {answer.status}"
        return Refused(Kind.UPSTREAM_OVERLOADED, detail, is_final=is_final)
    headers = end_to_end_headers(answer.headers, NO_HEADERS)
    return Done(Response(answer.status, headers, answer.body, length=answer.length))


def refusal_answer(refusal):
    """Return the `Response` that a caller gets for a refusal."""
    answer = refusal.answer
    headers = [
        (b"Content-Type", b"text/plain; charset=utf-8"),
        (REASON_HEADER, str(refusal.kind).encode()),
        (RAN_HEADER, str(answer.ran).encode()),
        (RETRIED_HEADER, b"1"),
    ]
    if answer.retry_after is not None:
        headers.append((b"Retry-After", b"%d" % answer.retry_after))
    body = f"{refusal.kind}: {refusal.detail}\n".encode()
    return Response(answer.status, headers, body)

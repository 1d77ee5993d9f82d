"""A request of a caller and the answer to it, as the front end sees them."""

from urllib.parse import quote

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.quarantine import fingerprint_of
from cyclamentally.records import Record

IDEMPOTENT_METHODS = {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"}
HOP_HEADERS = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
}
DEADLINE_HEADER = "Cyclamentally-Deadline-Ms"
RAN_HEADER = "Cyclamentally-Ran"
REASON_HEADER = "Cyclamentally-Reason"
RETRIED_HEADER = "Cyclamentally-Retried"
REPEATED_HEADER = "Cyclamentally-Repeated"
KEY_HEADER = "Idempotency-Key"


class CallerRequest(Record):
    """A request as a caller sent it.

    Parameters
    ----------
    method, target : str
        HTTP method; path with query.
    headers : dict of str to str
        Headers without those of the connection.
    body : bytes
        Whole body.
    deadline_ms : int or None
        Time that the caller gives, ms.
    """

    __slots__ = (
        "method",
        "target",
        "headers",
        "body",
        "deadline_ms",
        "fingerprint",
    )

    def __init__(self, method, target, headers, body, deadline_ms):
        self.fingerprint = fingerprint_of(method, target, body)
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.deadline_ms = deadline_ms

    @property
    def is_idempotent(self):
        """Whether the request may run more than once."""
        return self.method in IDEMPOTENT_METHODS

    @property
    def key(self):
        """Idempotency key; empty if there is none."""
        return self.headers.get(KEY_HEADER, "")

    def allowed_ms(self, timeout_ms):
        """Return the time for the request, given that of the service, in ms."""
        if self.deadline_ms is None:
            return timeout_ms
        return min(timeout_ms, self.deadline_ms)


class UpstreamAnswer(Record):
    """The answer of an upstream.

    Parameters
    ----------
    status : str
        Code and reason.
    headers : list
        Pairs of name and value.
    body : iterable of bytes
        The body; raises if the upstream cuts it off.
    """

    __slots__ = ("status", "headers", "body")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


def read_request(environ, max_body):
    """Read the request of a WSGI environment.

    Parameters
    ----------
    environ : dict
        WSGI environment.
    max_body : int
        Largest body in bytes.

    Returns
    -------
    Done or Refused
        ``Done`` holds the `CallerRequest`.
    """
    body = environ["wsgi.input"].read(max_body + 1)
    if len(body) > max_body:
        return Refused(Kind.BODY_TOO_LARGE, f"body has over {max_body} bytes")
    headers = _headers(environ)
    deadline = headers.pop(DEADLINE_HEADER, None)
    if deadline is not None and not (deadline.isascii() and deadline.isdigit()):
        return Refused(Kind.BAD_REQUEST, f"{DEADLINE_HEADER}: not a whole number")
    query = environ.get("QUERY_STRING")
    target = _quote(environ["PATH_INFO"]) + (f"?{query}" if query else "")
    return Done(
        CallerRequest(
            environ["REQUEST_METHOD"],
            target,
            headers,
            body,
            int(deadline) if deadline else None,
        )
    )


def refusal_answer(refusal):
    """Return the `UpstreamAnswer` of a refusal."""
    answer = refusal.answer
    body = f"{refusal.kind}: {refusal.detail}\n".encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(body))),
        (REASON_HEADER, str(refusal.kind)),
        (RAN_HEADER, str(answer.ran)),
        (RETRIED_HEADER, "1"),
    ]
    if answer.retry_after is not None:
        headers.append(("Retry-After", str(answer.retry_after)))
    return UpstreamAnswer(f"{answer.status} Refused", headers, [body])


def _headers(environ):
    headers = {}
    for key, value in environ.items():
        if key.startswith("HTTP_"):
            name = key[5:].replace("_", "-").title()
            if name.lower() not in HOP_HEADERS:
                headers[name] = value
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers


def _quote(path):
    return quote(path, safe="/:@!$&'()*+,;=~-._%", encoding="latin-1")

"""HTTP interface for operators, metrics and announcements of upstreams."""

from reprlib import repr as short_repr

from msgspec.json import encode
from pykka import ThreadingFuture, Timeout

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.model import Upstream
from cyclamentally.records import Record
from cyclamentally_calls.decoding import InvalidDataError, decode_json
from cyclamentally_calls.http_codec import REASONS, Response
from cyclamentally_node.caller_request import refusal_answer
from cyclamentally_node.settings import is_address
from cyclamentally_node.task_messages import (
    Announce,
    CollectStatus,
    DescribeNode,
    RenderMetrics,
    Withdraw,
)

MAX_BODY_BYTES = 10_000
STATUS_TIMEOUT_S = 3.0
UPSTREAM_PATH = "/upstreams/"
HTTP_OK = 200


class AdminApplication:
    """WSGI application for requests of operators and upstreams.

    Parameters
    ----------
    control, meters : pykka.ActorRef
        Tasks that hold the state of the node and its metrics.
    """

    __slots__ = ("control", "meters")

    def __init__(self, control, meters):
        self.control = control
        self.meters = meters

    def __call__(self, environ, start_response):
        """Answer a WSGI request."""
        answer = self.answer(environ)
        reason = REASONS.get(answer.status, b"Status").decode()
        headers = [
            (n.decode("latin-1"), v.decode("latin-1")) for n, v in answer.headers
        ]
        headers.append(("Content-Length", str(len(answer.body))))
        start_response(f"{answer.status} {reason}", headers)
        return [answer.body]

    def answer(self, environ):
        """Return the `Response` for a WSGI environment."""
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if path.startswith(UPSTREAM_PATH) and method in ("PUT", "DELETE"):
            return self._change_upstream(
                environ, method, path.removeprefix(UPSTREAM_PATH)
            )
        if method != "GET":
            return refusal_answer(
                Refused(Kind.BAD_REQUEST, f"unsupported: {method} {path}")
            )
        if path == "/metrics":
            return self._metrics(environ)
        if path == "/status":
            return self._status()
        if path == "/node":
            return _json_answer(self.control.ask(DescribeNode()))
        return refusal_answer(Refused(Kind.NO_ROUTE, f"no resource {path}"))

    def _metrics(self, environ):
        accepts = [environ.get("HTTP_ACCEPT", "text/plain")]
        body, headers = self.meters.ask(RenderMetrics(accepts))
        pairs = [(str(n).encode(), str(v).encode()) for n, v in headers.items()]
        return Response(HTTP_OK, pairs, body)

    def _status(self):
        future = ThreadingFuture()
        self.control.tell(CollectStatus(future))
        try:
            return _json_answer(future.get(timeout=STATUS_TIMEOUT_S))
        except Timeout:
            return refusal_answer(
                Refused(Kind.NOT_READY, f"no status within {STATUS_TIMEOUT_S} s")
            )

    def _change_upstream(self, environ, method, address):
        if not is_address(address):
            detail = f"{address[:80]!r} is not an IP:port"
            return refusal_answer(Refused(Kind.BAD_REQUEST, detail))
        if method == "DELETE":
            self.control.ask(Withdraw(address))
            return _json_answer({})
        upstream = read_upstream(address, environ)
        if isinstance(upstream, Refused):
            return refusal_answer(upstream)
        outcome = self.control.ask(Announce(upstream.value))
        if isinstance(outcome, Refused):
            return refusal_answer(outcome)
        return _json_answer({})


def read_upstream(address, environ):
    """Return ``Done`` with the `Upstream` of an announcement, or ``Refused``.

    Parameters
    ----------
    address : str
        ``IP:port`` of the upstream.
    environ : dict
        WSGI environment with the body.
    """
    body = environ["wsgi.input"].read(MAX_BODY_BYTES + 1)
    if len(body) > MAX_BODY_BYTES:
        return Refused(Kind.BODY_TOO_LARGE, f"announcement over {MAX_BODY_BYTES} bytes")
    fields = {
        "service": str,
        "profile": str,
        "slots": int,
        "connections": int,
        "draining": bool,
    }
    try:
        document = decode_json(body)
    except InvalidDataError as error:
        return Refused(Kind.BAD_REQUEST, str(error)[:200])
    if not isinstance(document, dict):
        return Refused(Kind.BAD_REQUEST, "the announcement is not a JSON object")
    values = {key: document.get(key, False) for key in fields}
    for key, kind in fields.items():
        if type(values[key]) is not kind:
            return Refused(
                Kind.BAD_REQUEST,
                f"{key}: {short_repr(values[key])} is not of type {kind.__name__}",
            )
    return Done(Upstream(address=address, **values))


def _json_answer(document):
    body = encode(document, enc_hook=_to_dict)
    return Response(HTTP_OK, [(b"Content-Type", b"application/json")], body)


def _to_dict(value):
    if isinstance(value, Record):
        return {name: getattr(value, name) for name in value.__slots__}
    raise TypeError(f"cannot encode {type(value).__name__}")

"""A caller's request on its node, with its log fields and metrics."""

MS_PER_S = 1_000


class Call:
    """A caller's request that is being forwarded.

    Parameters
    ----------
    exchange : Exchange
        Receiver of the response.
    forwarding : Forwarding
        State and decisions.
    headers : list
        Headers sent to the upstream.
    """

    __slots__ = (
        "counted_view",
        "exchange",
        "headers",
        "forwarding",
        "offered_at",
        "outgoing",
        "timer",
    )

    def __init__(self, exchange, forwarding, headers):
        self.exchange = exchange
        self.forwarding = forwarding
        self.headers = headers
        # The `UpstreamView` whose requests in flight include this one, if any.
        self.counted_view = None
        self.offered_at = 0.0
        self.outgoing = None
        self.timer = None


def request_id_of(request, names):
    """Return the request ID as text, for the log."""
    return request.find(names.request_id.lower).decode("latin-1")


def echo_of(request, names):
    """Return name and value of the header that a response must repeat, or None."""
    name = names.request_id.lower
    value = request.find(name)
    return (name, value) if value else None


def call_fields(call, version, now, names):
    """Return the fields common to all log lines of a request.

    Parameters
    ----------
    call : Call
        The request.
    version : int
        Version of the configuration in force.
    now : float
        Time in seconds.
    names : HeaderNames
        Headers shared with callers and upstreams.
    """
    forwarding = call.forwarding
    return {
        "id": request_id_of(call.exchange.request, names),
        "route": forwarding.rule.name,
        "service": forwarding.service,
        "offers": forwarding.offers,
        "attempts": forwarding.attempts,
        "version": version,
        "ms": int((now - forwarding.arrived) * MS_PER_S),
    }


def refusal_fields(refusal, known):
    """Return the log fields of a refusal.

    Parameters
    ----------
    refusal : Refused
        The refusal.
    known : int
        Number of listed upstreams of the service.
    """
    return {"kind": refusal.kind, "detail": refusal.detail, "known": known}


def count_response(counters, call, status, now):
    """Count a response by status, and its duration by the kind of its route."""
    forwarding = call.forwarding
    counters.add("calls_answered_total", status)
    kind = forwarding.rule.kind.name.lower()
    counters.observe("call_seconds", kind, now - forwarding.arrived)

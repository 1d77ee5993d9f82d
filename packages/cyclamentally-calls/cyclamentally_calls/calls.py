"""A caller's request on its node, with its log fields and metrics."""

MS = 1_000


class Call:
    """A caller's request that is being forwarded.

    Parameters
    ----------
    exchange : Exchange
        Receiver of the response.
    life : Forwarding
        State and decisions.
    headers : list
        Headers sent to the upstream.
    """

    __slots__ = ("exchange", "headers", "life", "offered_at", "outgoing", "timer")

    def __init__(self, exchange, life, headers):
        self.exchange = exchange
        self.life = life
        self.headers = headers
        self.offered_at = 0.0
        self.outgoing = None
        self.timer = None


def request_id_of(request, names):
    """Return the request ID as text, for the log."""
    return request.find(names.request_id.lower).decode("latin-1")


def call_facts(call, version, now, names):
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
    life = call.life
    return {
        "id": request_id_of(call.exchange.request, names),
        "route": life.rule.name,
        "service": life.service,
        "offers": life.offers,
        "attempts": life.attempts,
        "version": version,
        "ms": int((now - life.arrived) * MS),
    }


def refusal_facts(refusal, known):
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
    life = call.life
    counters.add("calls_answered_total", status)
    kind = life.rule.kind.name.lower()
    counters.observe("call_seconds", kind, now - life.arrived)

"""A caller's request at its node, and what the log says of it."""

MS = 1_000


class Call:
    """A caller's request with its decisions and what is out for it.

    Parameters
    ----------
    exchange : Exchange
        Where the answer goes.
    life : Forwarding
        Decisions.
    headers : list
        Headers that the upstream gets.
    """

    __slots__ = ("exchange", "headers", "life", "offered_at", "sending", "timer")

    def __init__(self, exchange, life, headers):
        self.exchange = exchange
        self.life = life
        self.headers = headers
        self.offered_at = 0.0
        self.sending = None
        self.timer = None


def request_id_of(request, names):
    """Return the identifier of a request as text, for the log."""
    return request.find(names.request_id.lower).decode("latin-1")


def call_facts(call, version, now, names):
    """Return what every log line on a request says.

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
    """Return the reason of a refusal; `known` counts the upstreams listed."""
    return {"kind": refusal.kind, "detail": refusal.detail, "known": known}


def count_answer(counters, call, status, now):
    """Count an answer by its status, and its time by the kind of its route."""
    life = call.life
    counters.add("calls_answered_total", status)
    kind = life.rule.kind.name.lower()
    counters.observe("call_seconds", kind, now - life.arrived)

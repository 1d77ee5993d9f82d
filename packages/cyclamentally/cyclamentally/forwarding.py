"""The life of a caller's request on the node that it arrived at."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import Count
from cyclamentally.errors import ANSWERS, Kind, Ran, Refused
from cyclamentally.records import Record

# Offers to gates cost a round trip each; after these the mesh counts as full.
MAX_OFFERS = 5
# Less time than this is not worth another offer, in seconds.
MIN_OFFER_TIME_S = 0.02
# Kinds of refusal that an upstream itself gave: they count as arrivals there.
REFUSED_BY_UPSTREAM = (Kind.UPSTREAM_OVERLOADED,)
# Losses after which a request may be what takes the upstreams down.
MAX_LOSSES = 2


class OfferResult(Record):
    """What an offer came to.

    Parameters
    ----------
    answer : object
        Answer of the upstream, None if there was none.
    refusal : Refused or None
        Reason if there was no answer; its kind tells whether the request ran.
    now : float
        Time in seconds.
    nodes : int
        Nodes that share the retry budget.
    """

    __slots__ = ("answer", "refusal", "now", "nodes")

    def __init__(self, answer, refusal, now, nodes):
        self.answer = answer
        self.refusal = refusal
        self.now = now
        self.nodes = nodes


@runs_chart("call")
class Forwarding:
    """Decide where a request is offered next; runs the chart ``call``.

    Parameters
    ----------
    number : int
        Identifies the request on this node.
    rule : RouteRule
        Its route.
    service : str
        Service that its turn has chosen.
    arrived, expires : float
        Times in seconds; after the latter an answer is of no use.
    budget : ServiceBudget
        Repeats of the service.
    """

    __slots__ = (
        "answer",
        "attempts",
        "budget",
        "expires",
        "arrived",
        "losses",
        "number",
        "offers",
        "refusal",
        "rule",
        "service",
        "state",
        "tried",
        "view",
        "wait",
    )

    def __init__(self, number, rule, service, arrived, expires, budget):
        self.number = number
        self.rule = rule
        self.service = service
        self.arrived = arrived
        self.expires = expires
        self.budget = budget
        self.state = self.chart.initial
        self.answer = None
        self.attempts = 0
        self.offers = 0
        self.losses = 0
        self.refusal = None
        self.tried = set()
        self.view = None
        self.wait = None

    def fire(self, event, message=None):
        """Run an event and return the effects."""
        return self.chart.fire(self, event, message)

    def fail(self, result):
        """Note an offer without an answer; returns effects."""
        is_not_run = ANSWERS[result.refusal.kind].ran == Ran.NO
        return self.fire("not_run" if is_not_run else "unknown", result)

    # Guards and actions of the chart.

    def has_answer(self, message):
        """Whether an upstream has answered, if only with a failure."""
        return self.answer is not None

    def may_offer_again(self, result):
        """Whether a request that has not run may be offered elsewhere."""
        if self.offers >= MAX_OFFERS or self._is_late(result.now):
            return False
        if result.refusal.kind not in REFUSED_BY_UPSTREAM:
            return True
        has_attempts = self.attempts + 1 < self.rule.max_attempts
        return has_attempts and self.budget.take(result.now, result.nodes)

    def may_repeat(self, result):
        """Whether a request that may have run may be sent once more."""
        if not self.rule.kind.may_repeat or self._is_late(result.now):
            return False
        if self.offers >= MAX_OFFERS or self.attempts + 1 >= self.rule.max_attempts:
            return False
        if self.losses + 1 >= MAX_LOSSES:
            return False
        return self.budget.take(result.now, result.nodes)

    def note_offer(self, view):
        """Note the upstream that has the request now."""
        self.view = view
        self.offers += 1
        self.tried.add(view.entry.upstream.name)

    def keep_answer(self, result):
        """Keep an upstream's answer; given if nothing better comes."""
        self.answer = result.answer

    def use_kept_answer(self, message):
        """Give the failure that an upstream had answered with."""

    def plan_offer(self, result):
        """Keep the reason of the refusal and the wait that it named."""
        self.attempts += result.refusal.kind in REFUSED_BY_UPSTREAM
        self._keep_refusal(result.refusal)
        return [Count("offers_refused_total", result.refusal.kind)]

    def plan_repeat(self, result):
        """Count the attempt that is followed by another."""
        self.attempts += 1
        reason = result.refusal.kind if result.refusal else "failure_answer"
        return [Count("retries_total", reason)]

    def note_loss(self, result):
        """Keep that an upstream may have run the request."""
        self.losses += 1
        self._keep_refusal(result.refusal)

    def refuse(self, result):
        """Settle on the reason that the caller is given."""
        self._keep_refusal(result.refusal)

    def final_refusal(self):
        """Return the `Refused` for the caller, with the wait until a retry."""
        return Refused(self.refusal.kind, self.refusal.detail, self.wait)

    def _is_late(self, now):
        return now + MIN_OFFER_TIME_S >= self.expires

    def _keep_refusal(self, refusal):
        """Prefer a reason that says that the request may have run."""
        if refusal.wait is not None:
            self.wait = min(refusal.wait, self.wait or refusal.wait)
        kept = self.refusal
        if kept is None or ANSWERS[kept.kind].ran == Ran.NO:
            self.refusal = refusal


def no_upstream(service):
    """Return the refusal of a service without an upstream to offer to."""
    return Refused(Kind.NO_UPSTREAM, f"{service}: no upstream takes requests")


def time_over(service):
    """Return the refusal of a request whose time passed while it was placed."""
    return Refused(Kind.QUEUE_TIMEOUT, f"{service}: no upstream in time")

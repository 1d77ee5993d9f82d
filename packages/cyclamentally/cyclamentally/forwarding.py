"""Offers, retries and outcome of a request on the node that received it."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import Count
from cyclamentally.errors import ANSWERS, Kind, Ran, Refused
from cyclamentally.records import Record

# Each offer costs a round trip; after this many refusals all upstreams count as full.
MAX_OFFERS = 5
# With less time to the deadline, another offer cannot succeed.
MIN_OFFER_TIME_S = 0.02
# Refusals by the upstream itself, which count as attempts.
REFUSED_BY_UPSTREAM = (Kind.UPSTREAM_OVERLOADED,)
# After this many lost upstreams, the request itself may have crashed them.
MAX_LOSSES = 2


class OfferResult(Record):
    """Outcome of an offer.

    Parameters
    ----------
    answer : object
        Answer of the upstream, None if there was none.
    refusal : Refused or None
        Reason for a missing answer; its kind tells whether the request ran.
    now : float
        Time in seconds.
    nodes : int
        Nodes that share the retry budget.
    is_final : bool
        Whether the answer is a failure because a call of the run was not retried
        for lack of retry budget.
    """

    __slots__ = ("answer", "refusal", "now", "nodes", "is_final")

    def __init__(self, answer, refusal, now, nodes, is_final=False):
        self.answer = answer
        self.refusal = refusal
        self.now = now
        self.nodes = nodes
        self.is_final = is_final


@runs_chart("call")
class Forwarding:
    """Decides on offers and retries of a request; runs the chart ``call``.

    Parameters
    ----------
    number : int
        Identifies the request on this node.
    rule : RouteRule
        Its route.
    service : str
        Service chosen among the route's destinations.
    arrived, expires : float
        Arrival and deadline, times in seconds.
    budget : ServiceRetryBudget
        Retry budget of the service.
    is_call_of_repeat : bool
        Whether a repeated run of another request has made this one.
    is_returning : bool
        Whether the caller has come back after a refusal, or cannot come back.
    """

    __slots__ = (
        "answer",
        "attempts",
        "budget",
        "expires",
        "arrived",
        "is_call_of_repeat",
        "is_returning",
        "lacked_budget",
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

    def __init__(
        self,
        number,
        rule,
        service,
        arrived,
        expires,
        budget,
        is_call_of_repeat=False,
        is_returning=True,
    ):
        self.number = number
        self.rule = rule
        self.service = service
        self.arrived = arrived
        self.expires = expires
        self.budget = budget
        self.is_call_of_repeat = is_call_of_repeat
        self.is_returning = is_returning
        self.state = self.chart.initial
        self.answer = None
        self.attempts = 0
        self.offers = 0
        self.losses = 0
        # Whether it was not retried because a retry budget was spent.
        self.lacked_budget = False
        self.refusal = None
        self.tried = set()
        self.view = None
        self.wait = None

    @property
    def is_repeat(self):
        """Whether its next run repeats a run or an arrival at an upstream."""
        return self.is_call_of_repeat or self.attempts > 0

    def fire(self, event, message=None):
        """Run an event and return the effects."""
        return self.chart.fire(self, event, message)

    def fail(self, result):
        """Handle an offer without an answer; returns effects."""
        is_not_run = ANSWERS[result.refusal.kind].ran == Ran.NO
        return self.fire("not_run" if is_not_run else "unknown", result)

    # Guards and actions of the chart.

    def has_answer(self, message):
        """Whether an upstream has answered, even if with a failure."""
        return self.answer is not None

    def may_offer_again(self, result):
        """Whether a request that has not run may be offered elsewhere."""
        if self.offers >= MAX_OFFERS or self._is_late(result.now):
            return False
        if result.refusal.kind == Kind.REQUEST_SUSPENDED:
            return False
        if result.refusal.kind not in REFUSED_BY_UPSTREAM:
            return True
        has_attempts = self.attempts + 1 < self.rule.max_attempts
        return has_attempts and self._take_retry(result)

    def may_repeat(self, result):
        """Whether a request that may have run may be retried.

        A run that failed because the retry budget of its calls is spent is not
        repeated: the repeat would make all of the calls once more.
        """
        if result.is_final:
            self.lacked_budget = True
            return False
        if not self.rule.kind.may_repeat or self._is_late(result.now):
            return False
        if self.offers >= MAX_OFFERS or self.attempts + 1 >= self.rule.max_attempts:
            return False
        if self.losses + 1 >= MAX_LOSSES:
            return False
        return self._take_retry(result)

    def note_offer(self, view):
        """Record the upstream that the request is offered to."""
        self.view = view
        self.offers += 1
        self.tried.add(view.entry.upstream.name)

    def keep_answer(self, result):
        """Store an upstream's answer; a failure is replaced if a retry succeeds."""
        self.answer = result.answer

    def use_kept_answer(self, message):
        """Leave the stored answer, a failure, for the caller."""

    def plan_offer(self, result):
        """Store the refusal and its wait before the next offer."""
        self.attempts += result.refusal.kind in REFUSED_BY_UPSTREAM
        self._keep_refusal(result.refusal)
        return [Count("offers_refused_total", result.refusal.kind)]

    def plan_repeat(self, result):
        """Count the attempt that is retried."""
        self.attempts += 1
        reason = result.refusal.kind if result.refusal else "failure_answer"
        return [Count("retries_total", reason)]

    def note_loss(self, result):
        """Count an upstream that was lost and may have run the request."""
        self.losses += 1
        self._keep_refusal(result.refusal)

    def refuse(self, result):
        """Store the refusal for the caller."""
        self._keep_refusal(result.refusal)

    def final_refusal(self):
        """Return the `Refused` for the caller, with the shortest wait of all."""
        return Refused(self.refusal.kind, self.refusal.detail, self.wait)

    def _take_retry(self, result):
        is_allowed = self.budget.take(result.now, result.nodes, self.is_returning)
        self.lacked_budget = not is_allowed
        return is_allowed

    def _is_late(self, now):
        return now + MIN_OFFER_TIME_S >= self.expires

    def _keep_refusal(self, refusal):
        """Store a refusal, unless a stored one says that the request may have run."""
        if refusal.wait is not None:
            self.wait = min(refusal.wait, self.wait or refusal.wait)
        kept = self.refusal
        if kept is None or ANSWERS[kept.kind].ran == Ran.NO:
            self.refusal = refusal


def no_upstream(service):
    """Return the refusal for a service without a usable upstream."""
    return Refused(Kind.NO_UPSTREAM, f"{service}: no upstream takes requests")


def time_over(service):
    """Return the refusal if the deadline passes before the first or next offer."""
    return Refused(Kind.QUEUE_TIMEOUT, f"{service}: no upstream before the deadline")

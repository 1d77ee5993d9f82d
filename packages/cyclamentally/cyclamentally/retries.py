"""Attempts of one request: which may be retried, and what the caller is told."""

from cyclamentally.admission import Call
from cyclamentally.chart import runs_chart
from cyclamentally.effects import Count
from cyclamentally.errors import ANSWERS, Kind, Ran, Refused
from cyclamentally.quarantine import CRASHES_TO_QUARANTINE
from cyclamentally.records import Record


class Failure(Record):
    """A failed attempt.

    Parameters
    ----------
    refusal : Refused
        Reason; its kind states whether the request ran.
    now : float
        Time in seconds.
    """

    __slots__ = ("refusal", "now")

    def __init__(self, refusal, now):
        self.refusal = refusal
        self.now = now


@runs_chart("request")
class RequestAttempts:
    """Decides on the attempts of one request; runs the chart ``request``.

    Parameters
    ----------
    number : int
        Identifies the request on this node.
    route : Route
        Route of the request.
    policy : ServicePolicy
        Limits of the service.
    is_idempotent : bool
        Whether it may run more than once.
    deadline : float
        Time in seconds after which the answer is useless.
    """

    __slots__ = (
        "attempts",
        "avoid",
        "deadline",
        "is_idempotent",
        "location",
        "losses",
        "number",
        "policy",
        "refusal",
        "route",
        "state",
    )

    def __init__(self, number, route, policy, is_idempotent, deadline):
        self.number = number
        self.route = route
        self.policy = policy
        self.is_idempotent = is_idempotent
        self.deadline = deadline
        self.state = self.chart.initial
        self.attempts = 0
        self.avoid = []
        self.losses = 0
        self.location = None
        self.refusal = None

    @property
    def call_class(self):
        """``lookup`` or ``bulk``."""
        return self.route.call_class

    def call(self):
        """Return the slot request of the next attempt."""
        return Call(
            self.number,
            self.route.service,
            self.call_class,
            self.deadline,
            self.attempts + 1,
            self.avoid,
        )

    def grant(self, location):
        """Handle a granted slot at an upstream."""
        return self.chart.fire(self, "granted", location)

    def deny(self, refusal, now):
        """Handle a denied slot."""
        return self.chart.fire(self, "denied", Failure(refusal, now))

    def answer(self):
        """Handle a complete answer."""
        return self.chart.fire(self, "answer")

    def fail(self, failure):
        """Handle a failed attempt."""
        ran = ANSWERS[failure.refusal.kind].ran
        event = "not_run" if ran == Ran.NO else "unknown"
        return self.chart.fire(self, event, failure)

    def may_retry(self, failure):
        """Whether an attempt that did not run may be retried."""
        if failure.refusal.is_final or failure.now >= self.deadline:
            return False
        return self.attempts < self.policy.max_attempts

    def may_repeat(self, failure):
        """Whether an attempt that may have run may be retried."""
        is_lost = failure.refusal.kind == Kind.UPSTREAM_FAILED
        if self.losses + is_lost >= CRASHES_TO_QUARANTINE:
            return False
        return self.is_idempotent and self.may_retry(failure)

    def begin_attempt(self, location):
        """Count the attempt and store its upstream."""
        self.attempts += 1
        self.location = location

    def plan_retry(self, failure):
        """Store the refusal and avoid the upstream that failed."""
        self.refusal = failure.refusal
        self.losses += failure.refusal.kind == Kind.UPSTREAM_FAILED
        self.avoid.append(self.location.upstream.address)
        return [Count("retries_total", failure.refusal.kind)]

    def has_failed(self, failure):
        """Whether an earlier attempt has failed."""
        return self.refusal is not None

    def keep_failure(self, failure):
        """Refuse with the earlier failure if a retry gets no slot."""
        return [
            Count("retries_refused_total", failure.refusal.kind),
            Count("requests_refused_total", self.refusal.kind),
        ]

    def refuse(self, failure):
        """Choose the refusal for the caller.

        An attempt that did not run does not hide an earlier one that may have run.
        """
        if self.refusal is None or self._is_more_informative(failure.refusal):
            self.refusal = failure.refusal
        return [Count("requests_refused_total", self.refusal.kind)]

    def _is_more_informative(self, refusal):
        unknown = ANSWERS[self.refusal.kind].ran == Ran.UNKNOWN
        return not unknown or ANSWERS[refusal.kind].ran == Ran.UNKNOWN


def no_route(path):
    """Return the refusal for a path without a route."""
    return Refused(Kind.NO_ROUTE, f"no route for {path[:100]}")

"""Start of a request on the node that received it."""

from cyclamentally.budgets import RetryBudgets
from cyclamentally.forwarding import Forwarding
from cyclamentally.repeated_runs import RepeatedRuns
from cyclamentally.returning_callers import CallerDeadlines, ExpectedReturns
from cyclamentally.shutdown import LateRequests


class Intake:
    """Counts requests for the retry budgets and starts their `Forwarding`.

    Parameters
    ----------
    budget_rule : RetryBudgetRule
        Retry budget of each service.
    """

    __slots__ = (
        "budgets",
        "deadlines",
        "late_requests",
        "number",
        "repeated_runs",
        "returns",
    )

    def __init__(self, budget_rule):
        self.budgets = RetryBudgets(budget_rule)
        self.deadlines = CallerDeadlines()
        self.late_requests = LateRequests()
        self.returns = ExpectedReturns()
        self.repeated_runs = RepeatedRuns()
        self.number = 0

    def start(self, rule, service, request_id, left_s, now):
        """Return the `Forwarding` of a request that has arrived.

        Parameters
        ----------
        rule : RouteRule
            Its route.
        service : str
            Service chosen among the route's destinations.
        request_id : str
            ID of the request.
        left_s : float or None
            Time that the caller waits, in seconds; None if it does not tell.
        now : float
            Time of arrival in seconds.
        """
        is_repeat = self.repeated_runs.has_made(request_id)
        budget = self.budgets.note_request(service, is_repeat, now)
        is_returning = self.deadlines.is_returning(rule.name, left_s)
        timeout_s = rule.timeout_s if left_s is None else min(left_s, rule.timeout_s)
        self.number += 1
        return Forwarding(
            self.number,
            rule,
            service,
            now,
            now + timeout_s,
            budget,
            is_repeat,
            is_returning,
        )

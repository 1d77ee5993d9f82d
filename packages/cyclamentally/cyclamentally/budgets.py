"""Each node's share of the retry budget of a service."""

from collections import deque

from cyclamentally.records import Record

# Safety margin, since the sliding windows of the nodes are not aligned.
USABLE_SHARE = 0.7
# Callers that can come back themselves may use this share of the budget; the rest is
# for those that have come back already, and for calls of upstreams.
FRESH_SHARE = 0.4


class RetryBudgetRule(Record):
    """The operator's limit of retries to a service.

    Parameters
    ----------
    ratio : float
        Retries allowed per first send.
    window_s : float
        Length of the sliding window, in seconds.
    slack : float
        Additional retries allowed per window, over all nodes.
    """

    __slots__ = ("ratio", "window_s", "slack")

    def __init__(self, ratio, window_s, slack):
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack


class ServiceRetryBudget:
    """Retries of one node to one service in a sliding window."""

    __slots__ = ("first_sends", "repeats", "rule")

    def __init__(self, rule):
        self.rule = rule
        self.first_sends = deque()
        self.repeats = deque()

    def note_first_send(self, now):
        """Count a first send."""
        self.first_sends.append(now)
        self._drop_expired(now)

    def note_repeat(self, now):
        """Count a repeat that the budget could not prevent."""
        self.repeats.append(now)
        self._drop_expired(now)

    def take(self, now, nodes, is_returning=True):
        """Spend one retry; return whether the budget allowed it.

        Parameters
        ----------
        now : float
            Time in seconds.
        nodes : int
            Nodes that share the slack.
        is_returning : bool
            Whether the caller has come back after a refusal, or cannot come back.
        """
        self._drop_expired(now)
        slack = self.rule.slack / max(1, nodes)
        allowed = USABLE_SHARE * (self.rule.ratio * len(self.first_sends) + slack)
        if not is_returning:
            allowed *= FRESH_SHARE
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now)
        return True

    def _drop_expired(self, now):
        start = now - self.rule.window_s
        for times in (self.first_sends, self.repeats):
            while times and times[0] < start:
                times.popleft()


class RetryBudgets:
    """The retry budgets of all services that this node sends requests to.

    Parameters
    ----------
    rule : RetryBudgetRule
        The operator's limit, the same for each service.
    """

    __slots__ = ("by_service", "rule")

    def __init__(self, rule):
        self.rule = rule
        self.by_service = {}

    def note_request(self, service, is_repeat, now):
        """Count a new request, or a call that repeats one; returns the budget."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = self.by_service[service] = ServiceRetryBudget(self.rule)
        if is_repeat:
            budget.note_repeat(now)
        else:
            budget.note_first_send(now)
        return budget

"""Each node's part of the retry budget that all nodes share."""

from collections import deque

from cyclamentally.records import Record

# The part of the budget that is used, since nodes count their windows at
# different moments.
SAFE_SHARE = 0.7


class BudgetRule(Record):
    """The operator's bound on repeated sends to a service.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each first send.
    window_s : float
        Length of the window, in seconds.
    slack : float
        Repeats allowed besides, over all nodes.
    """

    __slots__ = ("ratio", "window_s", "slack")

    def __init__(self, ratio, window_s, slack):
        self.ratio = ratio
        self.window_s = window_s
        self.slack = slack


class ServiceBudget:
    """Repeats of one node to one service in a sliding window."""

    __slots__ = ("first", "repeats", "rule")

    def __init__(self, rule):
        self.rule = rule
        self.first = deque()
        self.repeats = deque()

    def note_first(self, now):
        """Count a first send."""
        self.first.append(now)
        self._forget(now)

    def take(self, now, nodes):
        """Spend one repeat; return whether the budget allowed it.

        Parameters
        ----------
        now : float
            Time in seconds.
        nodes : int
            Nodes that share the slack.
        """
        self._forget(now)
        slack = self.rule.slack / max(1, nodes)
        allowed = SAFE_SHARE * (self.rule.ratio * len(self.first) + slack)
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now)
        return True

    def _forget(self, now):
        start = now - self.rule.window_s
        for times in (self.first, self.repeats):
            while times and times[0] < start:
                times.popleft()

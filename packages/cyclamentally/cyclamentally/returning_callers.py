"""Recognizes callers that come back after a refusal, by the time that they have left.

A caller that comes back has fewer tries of its own left. While upstreams shed and the
retry budget is short, a retry is worth more to it than to a caller that can still come
back twice (`test_returning_callers.py`).
"""

# Clients that connect or send slowly have a little less time left than others. A
# refusal and the wait that it names take longer.
MIN_ELAPSED_S = 0.04
# Callers with a longer wait are not expected before the process has restarted.
MAX_RETURN_WAIT_S = 0.5
# Time beyond the wait in which a caller connects and sends its request.
RETURN_MARGIN_S = 0.1
# Bounds the memory; configurations have up to 2,000 routes.
MAX_KNOWN_ROUTES = 256


class CallerDeadlines:
    """Longest time that callers of each route leave for a request."""

    __slots__ = ("longest",)

    def __init__(self):
        self.longest = {}

    def is_returning(self, route, left_s):
        """Return whether a caller has less time left than those that come first.

        Parameters
        ----------
        route : str
            Route of the request.
        left_s : float or None
            Time that the caller waits, in seconds; None if it does not tell. Such
            callers cannot be told apart and are all treated alike.
        """
        if left_s is None:
            return True
        longest = self.longest.get(route)
        if longest is None and len(self.longest) >= MAX_KNOWN_ROUTES:
            return False
        if longest is None or left_s > longest:
            self.longest[route] = left_s
            return False
        return longest - left_s >= MIN_ELAPSED_S


class ExpectedReturns:
    """Until when callers that were refused are expected to come back.

    A node that is shutting down stays that long: its callers would find the port
    closed at the time that the node has named to them. Those that it refuses while it
    waits do not prolong it, which would never end under overload.
    """

    __slots__ = ("is_waiting", "until")

    def __init__(self):
        self.is_waiting = False
        self.until = 0.0

    def note(self, wait_s, now):
        """Note that a caller was told to come back after a wait; times in seconds."""
        if wait_s <= MAX_RETURN_WAIT_S and not self.is_waiting:
            self.until = max(self.until, now + wait_s + RETURN_MARGIN_S)

    def start_waiting(self):
        """Ignore later refusals."""
        self.is_waiting = True

    def are_due(self, now):
        """Whether a caller may still come back."""
        return now < self.until

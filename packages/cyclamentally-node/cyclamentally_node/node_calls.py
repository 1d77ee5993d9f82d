"""State of a request of a caller, and the classification of its result."""

from cyclamentally.errors import Kind, Refused
from cyclamentally_calls.outcomes import Answered, NotSent
from cyclamentally_node.caller_request import check_answer
from cyclamentally_node.task_messages import ClaimVerdict


class NodeCall:
    """A request of a caller with its current attempt and its claim.

    Parameters
    ----------
    exchange : Exchange
        Takes the answer to the caller.
    request : CallerRequest
        The request.
    attempts : RequestAttempts
        Decisions on the attempts.
    """

    __slots__ = ("exchange", "is_claimed", "attempts", "request", "sending", "ticket")

    def __init__(self, exchange, request, attempts):
        self.exchange = exchange
        self.request = request
        self.attempts = attempts
        self.sending = None
        # Identifies the claim on the idempotency key; empty without a key.
        self.ticket = ""
        self.is_claimed = False


class VerdictFuture:
    """Future that delivers the verdict on a claim to the calls task.

    Parameters
    ----------
    mailbox : CallsLoop
        Delivers messages to the calls task.
    number : int
        Number of the request.
    """

    __slots__ = ("mailbox", "number")

    def __init__(self, mailbox, number):
        self.mailbox = mailbox
        self.number = number

    def set(self, verdict):
        """Send the verdict."""
        self.mailbox.tell(ClaimVerdict(self.number, verdict))


def classify_result(result, request, address):
    """Return ``Done`` with the `Response` of an upstream, or ``Refused``."""
    if isinstance(result, Answered):
        return check_answer(result.response, request.is_head, address)
    if isinstance(result, NotSent):
        return Refused(Kind.UPSTREAM_UNREACHABLE, result.detail)
    if result.is_timeout:
        return Refused(Kind.UPSTREAM_TIMEOUT, f"{address}: {result.detail}")
    is_truncated = result.is_partial
    return Refused(
        Kind.UPSTREAM_TRUNCATED if is_truncated else Kind.UPSTREAM_FAILED, result.detail
    )

"""A request of a caller on its way, and what comes back for it."""

from cyclamentally.errors import Kind, Refused
from cyclamentally_calls.outcomes import Answered, NotSent
from cyclamentally_node.caller_request import judge_answer
from cyclamentally_node.events import ClaimJudged


class NodeCall:
    """A request of a caller and what is out for it.

    Parameters
    ----------
    exchange : Exchange
        Where the answer goes.
    request : CallerRequest
        The request.
    life : RequestLife
        Decisions.
    """

    __slots__ = ("exchange", "is_claimed", "life", "request", "sending", "ticket")

    def __init__(self, exchange, request, life):
        self.exchange = exchange
        self.request = request
        self.life = life
        self.sending = None
        # Names the try at the owner of the idempotency key; empty without a key.
        self.ticket = ""
        self.is_claimed = False


class ClaimReply:
    """Where the task that owns the keys puts its verdict on a request.

    Parameters
    ----------
    mailbox : CallsLoop
        Reaches the task that asks.
    number : int
        The request.
    """

    __slots__ = ("mailbox", "number")

    def __init__(self, mailbox, number):
        self.mailbox = mailbox
        self.number = number

    def set(self, verdict):
        """Send the verdict."""
        self.mailbox.tell(ClaimJudged(self.number, verdict))


def judge_result(result, request, address):
    """Return ``Done`` with a `Response`, or the reason why there is none."""
    if isinstance(result, Answered):
        return judge_answer(result.response, request.is_head, address)
    if isinstance(result, NotSent):
        return Refused(Kind.UPSTREAM_UNREACHABLE, result.detail)
    if result.is_timeout:
        return Refused(Kind.UPSTREAM_TIMEOUT, f"{address}: {result.detail}")
    is_cut = result.is_partial
    return Refused(
        Kind.UPSTREAM_TRUNCATED if is_cut else Kind.UPSTREAM_FAILED, result.detail
    )

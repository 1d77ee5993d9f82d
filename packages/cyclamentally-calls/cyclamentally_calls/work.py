"""Requests at the gate, and the upstream that the gate protects."""

from cyclamentally.errors import Done
from cyclamentally.gate_messages import Ticket
from cyclamentally.repeated_runs import find_run
from cyclamentally_calls.peer_codec import mark_final

FIRST_SERVER_ERROR = 500
# Heartbeat periods without a heartbeat after which the upstream counts as
# unreachable; a smaller value reacts to single lost or late heartbeats.
MAX_MISSED_HEARTBEATS = 3.5
# Time after its deadline by which a request at a gate has ended, unless an unexpected
# error has lost it.
OVERDUE_S = 0.25


class LocalUpstream:
    """The upstream on the node's host, as configured in the settings.

    Parameters
    ----------
    service : str
        Its service.
    address : str
        Its ``IP:port``.
    heartbeat_s : float
        Heartbeat period, in seconds.
    """

    __slots__ = ("address", "heartbeat_s", "service")

    def __init__(self, service, address, heartbeat_s):
        self.service = service
        self.address = address
        self.heartbeat_s = heartbeat_s

    def is_silent_after(self, silence_s):
        """Whether a time without a heartbeat, in seconds, is too long."""
        return silence_s > MAX_MISSED_HEARTBEATS * self.heartbeat_s


def make_gate_ticket(number, ticket, now, crosses_link, fingerprint):
    """Return the gate's `Ticket` for a request with a `PeerTicket`.

    Parameters
    ----------
    number : int
        Number of the request at this gate.
    ticket : PeerTicket
        What the sender says of the request.
    now : float
        Time of arrival, in seconds.
    crosses_link : bool
        Whether the answer goes to another host.
    fingerprint : int
        Hash that all attempts of the request share.
    """
    return Ticket(
        number,
        ticket.upstream,
        ticket.service,
        ticket.route,
        ticket.priority,
        now + ticket.target_s,
        now + ticket.left_s,
        crosses_link,
        fingerprint,
    )


class Work:
    """A request at the gate.

    Parameters
    ----------
    requester : Requester
        Receiver of the outcome.
    request : Request
        The request for the upstream.
    request_id : str
        ID of the request.
    ticket : Ticket
        The gate's data on the request.
    is_repeat : bool
        Whether its run repeats an earlier one.
    """

    __slots__ = (
        "call_lacked_budget",
        "is_repeat",
        "outgoing",
        "request",
        "request_id",
        "requester",
        "ticket",
    )

    def __init__(self, requester, request, request_id, ticket, is_repeat):
        self.call_lacked_budget = False
        self.is_repeat = is_repeat
        self.request_id = request_id
        self.requester = requester
        self.request = request
        self.ticket = ticket
        self.outgoing = None

    def mark_if_final(self, outcome):
        """Return ``Done``, marked if a call without retry budget has made it fail."""
        is_failure = outcome.value.status >= FIRST_SERVER_ERROR
        if is_failure and self.call_lacked_budget:
            return Done(mark_final(outcome.value))
        return outcome


class WorkTable:
    """The requests at a gate: by number, by sender and, while they run, by ID."""

    __slots__ = ("by_number", "by_source", "running")

    def __init__(self):
        self.by_number = {}
        self.by_source = {}
        self.running = {}

    def __len__(self):
        return len(self.by_number)

    def add(self, work):
        """Add a request that has arrived."""
        self.by_number[work.ticket.number] = work
        self.by_source[work.requester.source] = work

    def start(self, work):
        """Note that a request is handed to the upstream."""
        self.running[work.request_id] = work

    def remove(self, work):
        """Remove a request that has its outcome, or was cancelled."""
        self.by_number.pop(work.ticket.number, None)
        self.by_source.pop(work.requester.source, None)
        if self.running.get(work.request_id) is work:
            del self.running[work.request_id]

    def overdue(self, now):
        """Return the requests whose deadline passed `OVERDUE_S` ago."""
        return [
            w for w in self.by_number.values() if now > w.ticket.expires + OVERDUE_S
        ]

    def find_lost(self, gate):
        """Return the numbers that a `Gate` holds of requests that have ended."""
        held = {*gate.running, *(ticket.number for ticket in gate.waiting)}
        return held - self.by_number.keys()

    def note_call_not_retried(self, call_id):
        """Note that a call of a running request lacked retry budget."""
        run_id = find_run(call_id, self.running)
        if run_id is not None:
            self.running[run_id].call_lacked_budget = True

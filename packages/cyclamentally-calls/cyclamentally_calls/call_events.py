"""Messages between the tasks of the data plane."""

from cyclamentally.errors import failed_internally
from cyclamentally.records import Record
from cyclamentally_calls.loop import Query


class RoutesReplaced(Record):
    """A newer `RouteTable` has come into force."""

    __slots__ = ("table",)

    def __init__(self, table):
        self.table = table


class HostsReplaced(Record):
    """The set of usable hosts has changed.

    Parameters
    ----------
    by_service : dict of str to list of HostEntry
        Listed hosts, and unlisted ones still in use, by service.
    """

    __slots__ = ("by_service",)

    def __init__(self, by_service):
        self.by_service = by_service


class HostFailed(Record):
    """A host did not respond to an offer."""

    __slots__ = ("name",)

    def __init__(self, name):
        self.name = name


class UpstreamChanged(Record):
    """The entry of the upstream on this host has changed.

    Parameters
    ----------
    upstream : UpstreamEntry
        Entry to publish to other nodes.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream):
        self.upstream = upstream


class Offer(Record, Query):
    """A request of this node for the upstream on this host.

    Parameters
    ----------
    number : int
        Identifies the offer at its sender.
    sender : Task
        Receiver of `OfferDone`.
    ticket : PeerTicket
        Intended upstream, priority, target and deadline.
    request : Request
        The request with the headers for the upstream.
    """

    __slots__ = ("number", "sender", "ticket", "request")

    def __init__(self, number, sender, ticket, request):
        self.number = number
        self.sender = sender
        self.ticket = ticket
        self.request = request

    def fail(self, loop):
        """Refuse the request, which the gate has not accepted."""
        refusal = failed_internally(is_passed_on=False)
        loop.post(self.sender, OfferDone(self.number, refusal, None))


class OfferDone(Record):
    """The outcome of an offer.

    Parameters
    ----------
    number : int
        Number of the offer at its sender.
    outcome : Done or Refused
        ``Done`` holds the `Response`.
    load : Load or None
        Load of the upstream after the request.
    """

    __slots__ = ("number", "outcome", "load")

    def __init__(self, number, outcome, load):
        self.number = number
        self.outcome = outcome
        self.load = load


class OfferWithdrawn(Record):
    """The sender has cancelled its offer."""

    __slots__ = ("number",)

    def __init__(self, number):
        self.number = number


class NewerVersionSeen(Record):
    """Another node has a newer configuration than this one.

    Parameters
    ----------
    address : str
        ``IP:port`` of that node.
    version : int
        Version of its configuration.
    """

    __slots__ = ("address", "version")

    def __init__(self, address, version):
        self.address = address
        self.version = version


class NodeRequest(Record, Query):
    """Another node has made a request to this one.

    Parameters
    ----------
    sender : Task
        Receiver of `PeerReply`.
    exchange : Exchange
        The other node's request, returned in `PeerReply`.
    """

    __slots__ = ("sender", "exchange")

    def __init__(self, sender, exchange):
        self.sender = sender
        self.exchange = exchange

    def fail(self, loop):
        """Refuse the other node's request."""
        loop.post(self.sender, PeerReply(self.exchange, b""))


class PeerStateRequest(NodeRequest):
    """Another node has requested the configuration and the hosts."""

    __slots__ = ()


class FeedRequest(NodeRequest):
    """Another node has requested the changes of the store's items."""

    __slots__ = ()


class PeerReply(Record):
    """Reply to another node's request; without a body, the request is refused."""

    __slots__ = ("exchange", "body")

    def __init__(self, exchange, body):
        self.exchange = exchange
        self.body = body


class ServiceChanged(Record):
    """The service on this host has changed in the settings.

    Parameters
    ----------
    service : str
        The new service.
    """

    __slots__ = ("service",)

    def __init__(self, service):
        self.service = service


class EntryWithdrawn(Record):
    """Shutdown: other nodes are told to use this host no more."""

    __slots__ = ()


class RetireConnections(Record):
    """Shutdown: each connection is closed with its next response."""

    __slots__ = ()


class DrainConnections(Record):
    """Shutdown: accept no connections; close all after what they have sent."""

    __slots__ = ()


class EndRequests(Record):
    """Shutdown: the time for requests in flight is over; they are answered now."""

    __slots__ = ()


class IdleQuery(Record, Query):
    """Shutdown: asks a task whether it is idle.

    Parameters
    ----------
    sender : Task
        Receiver of `IdleReply`.
    """

    __slots__ = ("sender",)

    def __init__(self, sender):
        self.sender = sender

    def fail(self, loop):
        """Reply that the task is not idle."""
        loop.post(self.sender, IdleReply(False))


class IdleReply(Record):
    """Reply to `IdleQuery`: idle means no requests and no unsent responses.

    Once connections are drained, it also means that all of them are closed.
    """

    __slots__ = ("is_idle",)

    def __init__(self, is_idle):
        self.is_idle = is_idle


class ShutdownStarted(Record):
    """Shutdown has begun: readiness fails.

    Parameters
    ----------
    accept_until : float
        Until when any request of a caller is passed on, time in seconds.
    finish_by : float
        When `EndRequests` follows, time in seconds.
    """

    __slots__ = ("accept_until", "finish_by")

    def __init__(self, accept_until, finish_by):
        self.accept_until = accept_until
        self.finish_by = finish_by


class RepeatedRunChanged(Record):
    """The upstream on this host starts or has ended to run a repeated request.

    Parameters
    ----------
    request_id : str
        ID of the request.
    is_running : bool
        Whether the run starts.
    """

    __slots__ = ("request_id", "is_running")

    def __init__(self, request_id, is_running):
        self.request_id = request_id
        self.is_running = is_running


class CallNotRetried(Record):
    """A call has failed and was not retried for lack of retry budget.

    Parameters
    ----------
    call_id : str
        ID of the call.
    """

    __slots__ = ("call_id",)

    def __init__(self, call_id):
        self.call_id = call_id


class OwnEntryFound(Record):
    """The store lists an entry of this host that an earlier process has written.

    Parameters
    ----------
    upstream : UpstreamEntry
        Its upstream.
    """

    __slots__ = ("upstream",)

    def __init__(self, upstream):
        self.upstream = upstream


class ItemsChanged(Record):
    """Items of the store have been listed or have changed, as a `FeedUpdate`."""

    __slots__ = ("update",)

    def __init__(self, update):
        self.update = update


class ItemsRelayed(Record, Query):
    """A relay has reported items of the store.

    Parameters
    ----------
    sender : Task
        Receiver of `RelayRejected` if the items cannot be applied.
    update : FeedUpdate
        The items.
    """

    __slots__ = ("sender", "update")

    def __init__(self, sender, update):
        self.sender = sender
        self.update = update

    def fail(self, loop):
        """Report that the items have not been applied."""
        loop.post(self.sender, RelayRejected())


class RelayRejected(Record):
    """Items of the relay could not be applied; the store has to be read instead."""

    __slots__ = ()


class RelayAnswered(Record):
    """The items in the last answer of the relay have been applied."""

    __slots__ = ()


class RelayRoleChanged(Record):
    """The node has become a relay, or is none any more."""

    __slots__ = ("is_relay",)

    def __init__(self, is_relay):
        self.is_relay = is_relay


class SourceChanged(Record):
    """Whether this node's own watches on the store report all changes."""

    __slots__ = ("is_source",)

    def __init__(self, is_source):
        self.is_source = is_source


class StoreLeft(Record):
    """A relay is followed from now on; the watches on the store end."""

    __slots__ = ()


class StoreResumed(Record):
    """No relay is followed any more; the watches on the store resume."""

    __slots__ = ()

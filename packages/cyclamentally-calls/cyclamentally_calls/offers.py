"""Offers of a node's requests to the gates of upstreams."""

from cyclamentally.body_budget import max_body_bytes
from cyclamentally_calls.call_events import HostFailed, Offer, OfferWithdrawn
from cyclamentally_calls.calls import echo_of
from cyclamentally_calls.client_connection import ConnectionPool
from cyclamentally_calls.offer_codec import (
    decode_offer_result,
    encode_offer,
    make_ticket,
    with_headers,
)
from cyclamentally_calls.outcomes import Answered
from cyclamentally_calls.outgoing_request import OutgoingRequest

# Allows for the longest round trip between regions (17 ms) and one lost SYN.
CONNECT_TIMEOUT_S = 0.25
# A host that acknowledges no data for this long is partitioned or powered off.
ACK_TIMEOUT_S = 0.8
# Half of the idle timeout that nodes apply to connections from other nodes.
PEER_IDLE_TIMEOUT_S = 30.0


class OfferSender:
    """Sends and withdraws the offers of a task; owned by that task.

    Parameters
    ----------
    loop : Loop
        Event loop.
    place : Place
        This host; its own gate is reached by message.
    names : HeaderNames
        Headers shared with callers and upstreams.
    sender : Task
        Receiver of `OfferDone` from the gate of this node.
    """

    __slots__ = (
        "gate",
        "loop",
        "names",
        "place",
        "pool",
        "sender",
        "store",
    )

    def __init__(self, loop, place, names, sender):
        self.loop = loop
        self.place = place
        self.names = names
        self.sender = sender
        self.pool = ConnectionPool(
            loop, PEER_IDLE_TIMEOUT_S, CONNECT_TIMEOUT_S, ACK_TIMEOUT_S
        )
        self.gate = None
        self.store = None

    def close(self):
        """Close the connections to other nodes."""
        self.pool.close()

    def send(self, call, version, now, on_result):
        """Offer a request to the upstream that its `Forwarding` has noted.

        Parameters
        ----------
        call : Call
            The request.
        version : int
            Version of the configuration in force.
        now : float
            Time in seconds.
        on_result : callable
            Takes the result of sending the offer to another node.
        """
        forwarding, request = call.forwarding, call.exchange.request
        view = forwarding.view
        view.in_flight += 1
        view.sent_since_load += 1
        call.counted_view = view
        call.offered_at = now
        ticket = make_ticket(forwarding, now, self.place.address, version)
        offered = with_headers(request, call.headers)
        if view.entry.name == self.place.name:
            offer = Offer(forwarding.number, self.sender, ticket, offered)
            self.loop.post(self.gate, offer)
            return
        call.outgoing = OutgoingRequest(
            encode_offer(offered, ticket),
            echo_of(request, self.names),
            on_result,
            request.method == b"HEAD",
            max_body_bytes(forwarding.rule),
        )
        self.pool.send(view.entry.address, call.outgoing, forwarding.expires)

    def withdraw(self, call):
        """Cancel the offer of a request that is in flight."""
        self.uncount(call)
        outgoing, call.outgoing = call.outgoing, None
        if outgoing is not None:
            outgoing.cancel()
        else:
            self.loop.post(self.gate, OfferWithdrawn(call.forwarding.number))

    def uncount(self, call):
        """Note that the upstream that a request was offered to has it no more."""
        view, call.counted_view = call.counted_view, None
        if view is not None:
            view.in_flight -= 1

    def suspect_host(self, view):
        """Eject a host that did not respond, and report it to the store task."""
        view.fail(self.loop.clock())
        self.loop.post(self.store, HostFailed(view.entry.name))

    def take_result(self, call, result):
        """Return the outcome and the `Load` of an offer to another node.

        A host that did not respond is ejected.
        """
        call.outgoing = None
        if not isinstance(result, Answered):
            self.suspect_host(call.forwarding.view)
        return decode_offer_result(result)

"""The task that shares crash marks with the other nodes of the service."""

from functools import partial

from cyclamentally.effects import Count, StateChanged
from cyclamentally.mark_delivery import MarkDelivery, MarkUpdate
from cyclamentally.suspects import MARK_LIFETIME_S, SuspectTable, SuspicionRule
from cyclamentally_calls.call_events import HostsReplaced, PeerReply, ServiceChanged
from cyclamentally_calls.client_connection import ConnectionPool
from cyclamentally_calls.http_codec import encode_request
from cyclamentally_calls.loop import Task
from cyclamentally_calls.marks_codec import (
    MARKS_TARGET,
    MAX_BODY_BYTES,
    decode_marks,
    encode_marks,
)
from cyclamentally_calls.outcomes import Answered
from cyclamentally_calls.outgoing_request import OutgoingRequest
from cyclamentally_calls.suspect_events import (
    MarksRequest,
    SuspectAnswered,
    SuspectsReplaced,
    UpstreamCrashed,
)

# Two ends may have another common cause, such as a rack that loses power.
CRASHES_TO_SUSPEND = 3
TICK_S = 1.0
SEND_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.25
ACK_TIMEOUT_S = 0.8
IDLE_TIMEOUT_S = 30.0
# A node whose upstream has ended leaves the list of hosts until the next lifetime,
# but needs the marks by then.
PEER_MEMORY_S = 60.0
# A node that starts asks this many others for their marks.
MAX_ASKED = 3


class SuspectTask(Task):
    """Hold crash marks, and exchange them with the other nodes of the service.

    Marks go to all nodes beside upstreams of the service when an upstream ends, and
    again until each of them has acknowledged them or is gone. All requests for an
    upstream pass its gate, so no other node needs them. Those of a request that is
    suspended go to the nodes of all services, since routes may change.

    Parameters
    ----------
    loop : Loop
        Event loop.
    place : Place
        This host.
    service : str
        Service of the upstream on this host.
    gate : Task
        Receiver of `SuspectsReplaced`.
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    """

    __slots__ = (
        "by_service",
        "counters",
        "distant",
        "gate",
        "has_asked",
        "log",
        "loop",
        "peers",
        "place",
        "pool",
        "service",
        "table",
        "timer",
    )

    def __init__(self, loop, place, service, gate, counters, log):
        self.loop = loop
        self.place = place
        self.service = service
        self.gate = gate
        self.counters = counters
        self.log = log
        self.table = SuspectTable(SuspicionRule(CRASHES_TO_SUSPEND, MARK_LIFETIME_S))
        self.pool = ConnectionPool(
            loop, IDLE_TIMEOUT_S, CONNECT_TIMEOUT_S, ACK_TIMEOUT_S
        )
        self.by_service = {}
        # Deliveries by host, in this service and in others.
        self.peers = {}
        self.distant = {}
        self.has_asked = False
        self.timer = None

    def start(self):
        """Start to expire marks, and to send again what was not acknowledged."""
        self.timer = self.loop.call_after(TICK_S, self._tick)

    def close(self):
        """Close the connections."""
        self.timer.cancel()
        self.pool.close()

    def receive(self, message):
        """Handle a message from another task."""
        if isinstance(message, UpstreamCrashed):
            self._report_crash(message.marks)
        elif isinstance(message, SuspectAnswered):
            self._share(self._apply(MarkUpdate([], [message.fingerprint])))
        elif isinstance(message, MarksRequest):
            self._handle_request(message)
        elif isinstance(message, HostsReplaced):
            self.by_service = message.by_service
            self._update_peers(message.by_service.get(self.service, ()))
        elif isinstance(message, ServiceChanged):
            self.service = message.service
            self.peers.clear()

    def _report_crash(self, marks):
        known = self.table.present.quarantined
        self._share(self._apply(MarkUpdate(marks)))
        self._share_suspended(known)

    def _apply(self, update):
        """Apply a `MarkUpdate`; returns the part of it that was new."""
        cleared = self.table.clear(update.cleared)
        added = self.table.add(update.marks, self.loop.clock())
        for effect in cleared.effects + added.effects:
            if isinstance(effect, StateChanged):
                self.log.write(
                    "state",
                    subject=effect.subject,
                    state=effect.state,
                    detail=effect.detail,
                )
            elif isinstance(effect, Count):
                self.counters.add_effects([effect])
        if cleared.fresh or added.fresh:
            self._notify_gate()
        return MarkUpdate(added.fresh, cleared.fresh)

    def _notify_gate(self):
        self.loop.post(self.gate, SuspectsReplaced(self.table.present))

    # Requests of other nodes.

    def _handle_request(self, request):
        update = decode_marks(request.exchange.request.body)
        if update is None:
            self.counters.add("marks_refused_total")
            request.fail(self.loop)
            return
        self._apply(update)
        # A node that has just started sends nothing, and gets all.
        wanted = {mark.fingerprint for mark in update.marks}
        if update.is_empty:
            wanted = self.table.suspects
        body = encode_marks(MarkUpdate(self.table.marks_of(wanted)))
        self.loop.post(request.sender, PeerReply(request.exchange, body))

    # Requests to other nodes.

    def _update_peers(self, entries):
        listed = {e.name: e.address for e in entries if e.name != self.place.name}
        for name, peer in self.peers.items():
            if name in listed:
                peer.unlisted_since = None
            elif peer.unlisted_since is None:
                peer.unlisted_since = self.loop.clock()
        for name, address in listed.items():
            if name not in self.peers or self.peers[name].address != address:
                self.peers[name] = MarkDelivery(address)
        if self.peers and not self.has_asked:
            self.has_asked = True
            for peer in list(self.peers.values())[:MAX_ASKED]:
                self._fire(peer, "share", MarkUpdate())

    def _share(self, update):
        """Send an update to all peers."""
        if update.is_empty:
            return
        for peer in self.peers.values():
            self._fire(peer, "share", update)

    def _share_suspended(self, known):
        """Send the marks of requests that are newly suspended to all other nodes.

        Parameters
        ----------
        known : frozenset of int
            Fingerprints of those that were suspended before.
        """
        suspended = self.table.present.quarantined - known
        if not suspended:
            return
        update = MarkUpdate(self.table.marks_of(suspended))
        for entry in (e for group in self.by_service.values() for e in group):
            if entry.name == self.place.name or entry.name in self.peers:
                continue
            if entry.name not in self.distant:
                self.distant[entry.name] = MarkDelivery(entry.address)
            self._fire(self.distant[entry.name], "share", update)

    def _fire(self, peer, event, update=None):
        for effect in peer.fire(event, update):
            if not self.loop.attempt(self._send, peer, effect.update):
                peer.fire("failed")

    def _send(self, peer, update):
        headers = [(b"Host", peer.address.encode())]
        body = encode_marks(update)
        outgoing = OutgoingRequest(
            encode_request(b"POST", MARKS_TARGET, headers, body, True),
            None,
            partial(self._handle_answer, peer),
            max_body_bytes=MAX_BODY_BYTES,
        )
        self.counters.add("mark_updates_sent_total")
        deadline = self.loop.clock() + SEND_TIMEOUT_S
        self.pool.send(peer.address, outgoing, deadline)

    def _handle_answer(self, peer, result):
        if not isinstance(result, Answered):
            self._fire(peer, "failed")
            return
        # A node of an earlier build answers with an error, without marks.
        update = decode_marks(result.response.body)
        if update is not None:
            known = self.table.present.quarantined
            self._apply(update)
            if peer.sent.marks:
                self._share_suspended(known)
        self._fire(peer, "answered")

    def _tick(self):
        self.timer = self.loop.call_after(TICK_S, self._tick)
        now = self.loop.clock()
        if self.table.expire(now):
            self._notify_gate()
        if self.distant:
            self._send_again_to_distant()
        for name, peer in list(self.peers.items()):
            since = peer.unlisted_since
            if since is not None and now - since >= PEER_MEMORY_S:
                del self.peers[name]
            else:
                self._fire(peer, "retry")

    def _send_again_to_distant(self):
        listed = {e.name for group in self.by_service.values() for e in group}
        for name, peer in list(self.distant.items()):
            if peer.state == "idle" or name not in listed:
                del self.distant[name]
            else:
                self._fire(peer, "retry")

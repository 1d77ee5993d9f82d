"""Requests to other nodes for their state."""

from cyclamentally.store_health import PeerFallback
from cyclamentally_calls.http_codec import encode_request
from cyclamentally_calls.outcomes import Answered
from cyclamentally_calls.outgoing_request import OutgoingRequest
from cyclamentally_calls.peer_state import STATE_TARGET, decode_state
from cyclamentally_calls.store_client import CALL_TIMEOUT_S


class PeerStateReader:
    """Reads the state of other nodes as `PeerFallback` decides; owned by a task.

    Parameters
    ----------
    client : StoreClient
        Client of the store, whose connections are used.
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    in_force_s : float
        Time within which a new configuration must be in force, in seconds.
    on_state : callable
        Takes the `PeerState` of another node.
    """

    __slots__ = ("client", "counters", "fallback", "log", "on_state")

    def __init__(self, client, counters, log, in_force_s, on_state):
        self.client = client
        self.counters = counters
        self.log = log
        self.on_state = on_state
        self.fallback = PeerFallback(in_force_s)

    def consider(self, seen, own_version):
        """Request the state of a node if that may give a newer configuration.

        Parameters
        ----------
        seen : NewerVersionSeen
            The other node and its version.
        own_version : int or None
            Version of this node's configuration; None before the first.
        """
        now = self.client.loop.clock()
        health = self.client.health
        if not self.fallback.should_ask(seen.version, own_version, health, now):
            return
        self.counters.add("peers_asked_total")
        headers = [(b"Host", seen.address.encode())]
        data = encode_request(b"GET", STATE_TARGET, headers, b"", False)
        outgoing = OutgoingRequest(data, None, self._handle_result)
        self.client.pool.send(seen.address, outgoing, now + CALL_TIMEOUT_S)

    def _handle_result(self, result):
        state = None
        if isinstance(result, Answered):
            state = decode_state(result.response.body)
        if state is None:
            self.counters.add("peer_states_refused_total")
            detail = getattr(result, "detail", "the response is no valid state")
            self.log.write("peer_state_refused", detail=detail)
            return
        self.on_state(state)

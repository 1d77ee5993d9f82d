"""Client of the upstream on a node's host."""

from functools import partial

from cyclamentally.errors import Refused
from cyclamentally_calls.calls import echo_of
from cyclamentally_calls.client_connection import ConnectionPool
from cyclamentally_calls.fingerprint import format_fingerprint
from cyclamentally_calls.outcomes import NotSent
from cyclamentally_calls.outgoing_request import OutgoingRequest
from cyclamentally_calls.upstream_codec import (
    classify_result,
    decode_liveness,
    encode_liveness,
    encode_upstream_request,
)

# Idle timeout of pooled connections if the upstream announces none; must be below
# the 10 s after which upstreams close idle connections.
IDLE_TIMEOUT_S = 8.0
# The upstream is on the same host, so connecting takes no network round trip.
CONNECT_TIMEOUT_S = 0.5
# Timeout of the liveness check at start-up. If it fails, the node waits for the
# upstream's first heartbeat.
LIVENESS_TIMEOUT_S = 0.5


class UpstreamClient:
    """Sends requests and liveness checks to the upstream; owned by the gate task.

    Parameters
    ----------
    loop : Loop
        Event loop.
    local_upstream : LocalUpstream
        The upstream on this host.
    names : HeaderNames
        Headers shared with upstreams.
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    """

    __slots__ = ("counters", "local_upstream", "log", "loop", "names", "pool")

    def __init__(self, loop, local_upstream, names, counters, log):
        self.loop = loop
        self.local_upstream = local_upstream
        self.names = names
        self.counters = counters
        self.log = log
        self.pool = ConnectionPool(loop, IDLE_TIMEOUT_S, CONNECT_TIMEOUT_S, 0.0, True)

    def close(self):
        """Close the connections."""
        self.pool.close()

    def send(self, work, heartbeat, max_body_bytes, on_result):
        """Send an admitted request.

        Parameters
        ----------
        work : Work
            The request.
        heartbeat : Heartbeat
            Names the upstream and its address.
        max_body_bytes : int
            Limit of the response's body.
        on_result : callable
            Takes the result of sending it.
        """
        request = work.request
        left_s = work.ticket.expires - self.loop.clock()
        data = encode_upstream_request(request, heartbeat.upstream, left_s, self.names)
        work.outgoing = OutgoingRequest(
            data,
            echo_of(request, self.names),
            on_result,
            request.method == b"HEAD",
            max_body_bytes,
        )
        self.pool.send(heartbeat.address, work.outgoing, work.ticket.expires)

    def check_liveness(self, path, on_heartbeat):
        """Send one liveness check to learn the upstream's name and slots.

        A restarted node can then admit requests without waiting for the next
        heartbeat. A draining upstream responds with an error status.

        Parameters
        ----------
        path : str
            Path of the check.
        on_heartbeat : callable
            Takes the `Heartbeat` of a live upstream.
        """
        handle = partial(self._handle_liveness_result, on_heartbeat)
        self._send_check(self.local_upstream.address, path, handle)

    def check_reachable(self, address, path, on_unreachable):
        """Send one liveness check to find out whether the upstream takes connections.

        Parameters
        ----------
        address : str
            ``IP:port`` that its heartbeats name.
        path : str
            Path of the check.
        on_unreachable : callable
            Called if it takes none.
        """
        handle = partial(self._handle_reachability, on_unreachable)
        self._send_check(address, path, handle)

    def take_result(self, work, result):
        """Return the outcome of a request, ``Done`` or ``Refused``."""
        outcome = classify_result(result, self.names)
        if isinstance(outcome, Refused):
            self.counters.add("upstream_failures_total", outcome.kind)
            self.log.write(
                "upstream_failure",
                id=work.request_id,
                request=format_fingerprint(work.ticket.fingerprint),
                upstream=work.ticket.upstream,
                kind=outcome.kind,
                detail=outcome.detail,
            )
        return outcome

    def _send_check(self, address, path, handle):
        data = encode_liveness(address, path)
        outgoing = OutgoingRequest(data, None, handle)
        self.counters.add("probes_total")
        deadline = self.loop.clock() + LIVENESS_TIMEOUT_S
        self.pool.send(address, outgoing, deadline)

    def _handle_reachability(self, on_unreachable, result):
        if isinstance(result, NotSent):
            on_unreachable()

    def _handle_liveness_result(self, on_heartbeat, result):
        response = getattr(result, "response", None)
        heartbeat = decode_liveness(response, self.local_upstream, self.names)
        if heartbeat is None:
            detail = getattr(result, "detail", "not 200, or no upstream name or slots")
            self.log.write("liveness_check_failed", detail=detail)
            return
        on_heartbeat(heartbeat)

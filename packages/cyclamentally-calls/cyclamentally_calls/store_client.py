"""Client of the platform's store that tracks whether the store is available."""

from functools import partial

from cyclamentally.store_health import StoreHealth
from cyclamentally.store_outcomes import StoreFailed
from cyclamentally_calls.client_connection import ConnectionPool
from cyclamentally_calls.http_codec import encode_request
from cyclamentally_calls.outcomes import Answered, Lost
from cyclamentally_calls.outgoing_request import OutgoingRequest

# The store responds in milliseconds, a slow one in about 0.3 s.
CALL_TIMEOUT_S = 1.0
# Allows for a store in another region and one lost SYN.
CONNECT_TIMEOUT_S = 0.5
# A store that acknowledges no data for this long is partitioned.
ACK_TIMEOUT_S = 2.0
# Below the idle timeouts of common servers; calls are more frequent than this.
IDLE_TIMEOUT_S = 30.0


class StoreClient:
    """Make calls to the store and track its availability; owned by the store task.

    Parameters
    ----------
    loop : Loop
        Event loop.
    address : str
        ``IP:port`` of the store.
    dialect : StoreDialect
        Encoding of store calls.
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    on_recovery : callable
        Called when the store is available again.
    on_restore : callable
        Called when the store has been restored from a copy, with the era before and
        who has told the new one. Calls in flight have to be replaced: the store may
        have received them before or after.
    """

    __slots__ = (
        "address",
        "counters",
        "dialect",
        "era",
        "health",
        "log",
        "loop",
        "on_recovery",
        "on_restore",
        "pool",
    )

    def __init__(self, loop, address, dialect, counters, log, on_recovery, on_restore):
        self.loop = loop
        self.address = address
        self.dialect = dialect
        self.counters = counters
        self.log = log
        self.on_recovery = on_recovery
        self.on_restore = on_restore
        # The latest era known; None before the first answer.
        self.era = None
        self.pool = ConnectionPool(
            loop, IDLE_TIMEOUT_S, CONNECT_TIMEOUT_S, ACK_TIMEOUT_S
        )
        self.health = StoreHealth()

    def call(self, call, on_outcome, timeout_s=CALL_TIMEOUT_S, transfer_s=None):
        """Make a call; returns its `OutgoingRequest`, which can cancel it.

        Parameters
        ----------
        call : StoreCall
            The encoded call.
        on_outcome : callable
            Takes the outcome.
        timeout_s : float
            Timeout of the call, in seconds.
        transfer_s : float, optional
            Timeout of the rest of an answer that has begun, in seconds; without one,
            the whole answer has to arrive within ``timeout_s``.
        """
        headers = [(b"Host", self.address.encode())]
        if call.body:
            headers.append((b"Content-Type", b"application/json"))
        has_body = bool(call.body)
        data = encode_request(call.method, call.target, headers, call.body, has_body)
        self.counters.add("store_calls_total", call.method.decode())
        deliver = partial(self._deliver, call, on_outcome)
        outgoing = OutgoingRequest(data, None, deliver, transfer_s=transfer_s)
        self.pool.send(self.address, outgoing, self.loop.clock() + timeout_s)
        return outgoing

    def close(self):
        """Close the connections."""
        self.pool.close()

    def note_era(self, era, source):
        """Note an era of the store; returns whether it has been restored since.

        Parameters
        ----------
        era : int
            The era of an answer, or of an update of another node.
        source : str
            Who has told it, for log and metrics.
        """
        known = self.era
        if known is not None and era <= known:
            return False
        self.era = era
        if known is None:
            return False
        self.counters.add("store_restores_total", source)
        self.health.restored(self.loop.clock())
        self.on_restore(known, source)
        return True

    def _deliver(self, call, on_outcome, result):
        """Report the outcome; a call has failed if its outcome cannot be handled.

        The failure lets the caller, and others that wait for the store, try again.
        """
        if not self.loop.attempt(self._finish, call, on_outcome, result):
            failure = Lost("unexpected error")
            self.loop.attempt(self._finish, call, on_outcome, failure)

    def _finish(self, call, on_outcome, result):
        if not isinstance(result, Answered):
            self._report(StoreFailed(result.detail), on_outcome)
            return
        era = self.dialect.read_era(result.response)
        outcome = call.decode(result.response)
        if isinstance(outcome, StoreFailed):
            self._report(outcome, on_outcome)
        elif self.note_era(era, "store"):
            # The caller has already replaced the call.
            self._report(outcome, None)
        elif era < self.era:
            self.counters.add("store_answers_outdated_total")
            detail = f"the answer is of era {era}, before the known {self.era}"
            self._report(StoreFailed(detail), on_outcome)
        else:
            self._report(outcome, on_outcome)

    def _report(self, outcome, on_outcome):
        if isinstance(outcome, StoreFailed):
            self.counters.add("store_failures_total")
            self._log_changes(self.health.failed(outcome.detail))
        elif changes := self.health.answered(self.loop.clock()):
            self._log_changes(changes)
            self.on_recovery()
        if on_outcome is not None:
            on_outcome(outcome)

    def _log_changes(self, changes):
        for change in changes:
            self.log.write(
                "state",
                subject=change.subject,
                state=change.state,
                detail=change.detail,
            )

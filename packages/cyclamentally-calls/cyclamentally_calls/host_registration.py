"""Keeps the entry of this host in the platform's store."""

from functools import partial

from cyclamentally.effects import StartTimer
from cyclamentally.registration import (
    RELAY_RENEW_INTERVAL_S,
    RENEW_INTERVAL_S,
    KeepLease,
    Registration,
    RequestLease,
    WriteEntry,
)
from cyclamentally.store_outcomes import REGISTRATION_EVENTS, StoredItem
from cyclamentally_calls.entry_codec import encode_entry
from cyclamentally_calls.store_client import CALL_TIMEOUT_S

# Timeout of a relay's renewals. Together with their interval it is the time after
# which the followers of a relay that is cut off read the store themselves.
RELAY_CALL_TIMEOUT_S = 0.6


class HostRegistration:
    """Carries out the decisions of `Registration`; owned by the store task.

    Parameters
    ----------
    client : StoreClient
        Client of the store.
    dialect : StoreDialect
        Encoding of store calls.
    key : str
        Key of this host's entry.
    timers : EventTimers
        Timers of the owner.
    random : random.Random
        Source of the jitter of retries.
    """

    __slots__ = (
        "awaiting",
        "call",
        "client",
        "decisions",
        "dialect",
        "key",
        "renew_timeout_s",
        "timers",
    )

    def __init__(self, client, dialect, key, timers, random):
        self.client = client
        self.dialect = dialect
        self.key = key
        self.timers = timers
        self.decisions = Registration(random)
        self.renew_timeout_s = CALL_TIMEOUT_S
        # The last call.
        self.call = None
        # Called once the present entry is stored.
        self.awaiting = []

    @property
    def is_retrying(self):
        """Whether a retry of a failed call is due."""
        return self.decisions.state in ("pausing", "renewing")

    @property
    def is_stored(self):
        """Whether the store has confirmed the present entry, if there is one."""
        decisions = self.decisions
        return decisions.entry is None or decisions.state in ("listed", "renewing")

    @property
    def has_unstored_departure(self):
        """Whether the present entry names a departure that is not stored yet."""
        entry = self.decisions.entry
        return not self.is_stored and entry.upstream.names_departure

    def call_when_stored(self, callback):
        """Call back once the store has confirmed the present entry."""
        if self.is_stored:
            callback()
        else:
            self.awaiting.append(callback)

    def set_relay(self, is_relay):
        """Renew the lease more often while other nodes follow this one."""
        decisions = self.decisions
        decisions.renew_interval_s = (
            RELAY_RENEW_INTERVAL_S if is_relay else RENEW_INTERVAL_S
        )
        self.renew_timeout_s = RELAY_CALL_TIMEOUT_S if is_relay else CALL_TIMEOUT_S

    def check_listing(self, update):
        """Register again if a complete listing lacks the entry or has another one."""
        listed = next((item for item in update.changes if item.key == self.key), None)
        if listed is not None:
            self.check_change(listed)
        elif update.revision >= self.decisions.written_revision:
            self.fire("vanished")

    def check_change(self, change):
        """Register again if the entry was changed or removed by another."""
        written = self.decisions.written
        if change.revision < self.decisions.written_revision:
            return
        is_written = isinstance(change, StoredItem) and written is not None
        if not is_written or change.value != encode_entry(written):
            self.fire("vanished")

    def restore(self):
        """Write the entry again after a restore of the store."""
        if self.call is not None:
            self.call.cancel()
        self.fire("restored")

    def fire(self, event, message=None):
        """Run an event of the chart and make the calls that follow from it."""
        for effect in self.decisions.fire(event, message) or ():
            if isinstance(effect, StartTimer):
                run = partial(self.fire, effect.event)
                self.timers.start("registration", effect, run)
            elif not self.client.loop.attempt(self._call, effect):
                self.fire("failed")
        if self.awaiting and self.is_stored:
            awaiting, self.awaiting = self.awaiting, []
            for callback in awaiting:
                callback()

    def _call(self, effect):
        timeout_s = CALL_TIMEOUT_S
        if isinstance(effect, RequestLease):
            call = self.dialect.grant_lease(effect.ttl_s)
        elif isinstance(effect, KeepLease):
            call = self.dialect.keep_lease(effect.lease)
            timeout_s = self.renew_timeout_s
        elif isinstance(effect, WriteEntry):
            value = encode_entry(effect.entry)
            call = self.dialect.write(self.key, value, effect.lease)
        else:
            raise TypeError(f"unknown effect: {effect!r}")
        self.call = self.client.call(call, self._handle_outcome, timeout_s)

    def _handle_outcome(self, outcome):
        self.fire(REGISTRATION_EVENTS[type(outcome)], outcome)

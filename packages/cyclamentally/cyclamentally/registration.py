"""Registration of this host in the platform's store under a lease."""

from cyclamentally.chart import runs_chart
from cyclamentally.effects import StartTimer
from cyclamentally.limits import Backoff
from cyclamentally.records import Record
from cyclamentally.revisions import NO_REVISION
from cyclamentally.store_outcomes import FIRST_RETRY_S, LONGEST_RETRY_S

# A host that has lost power stays listed for at most this time.
LEASE_TTL_S = 8.0
# The lease outlasts two failed renewals.
RENEW_INTERVAL_S = 2.5
# Relays renew more often: the failed renewal is how they learn that they are cut off
# from the store, while their followers still rely on them.
RELAY_RENEW_INTERVAL_S = 0.75


class RequestLease(Record):
    """Effect: request a lease from the store, with its lifetime in seconds."""

    __slots__ = ("ttl_s",)

    def __init__(self, ttl_s):
        self.ttl_s = ttl_s


class KeepLease(Record):
    """Effect: renew a lease."""

    __slots__ = ("lease",)

    def __init__(self, lease):
        self.lease = lease


class WriteEntry(Record):
    """Effect: write this host's entry under a lease."""

    __slots__ = ("entry", "lease")

    def __init__(self, entry, lease):
        self.entry = entry
        self.lease = lease


@runs_chart("registration")
class Registration:
    """Keeps the entry listed; runs the chart ``registration``.

    Parameters
    ----------
    random : random.Random
        Source of the jitter of retries.
    """

    __slots__ = (
        "backoff",
        "entry",
        "lease",
        "random",
        "renew_interval_s",
        "state",
        "written",
        "written_revision",
    )

    def __init__(self, random):
        self.random = random
        self.state = self.chart.initial
        self.backoff = Backoff(FIRST_RETRY_S, LONGEST_RETRY_S, random)
        self.entry = None
        self.written = None
        # Revision of the written entry. Reports of earlier ones are outdated.
        self.written_revision = NO_REVISION
        self.renew_interval_s = RENEW_INTERVAL_S
        self.lease = 0

    def fire(self, event, message=None):
        """Run an event and return the effects."""
        return self.chart.fire(self, event, message)

    def has_entry(self, message):
        """Whether there is an entry to be listed."""
        return self.entry is not None

    def is_current(self, message):
        """Whether the written entry is the one to be listed."""
        return self.written == self.entry

    def adopt(self, entry):
        """Store the entry to be listed."""
        self.entry = entry

    def request_lease(self, message):
        """Request a new lease."""
        return [RequestLease(LEASE_TTL_S)]

    def note_lease(self, granted):
        """Store the identifier of the lease."""
        self.lease = granted.lease

    def write(self, message):
        """Write the entry under the lease."""
        self.written = self.entry
        return [WriteEntry(self.entry, self.lease)]

    def note_written(self, written):
        """Store the revision of the entry."""
        self.written_revision = written.revision

    def schedule_renewal(self, message):
        """Schedule the renewal of the lease."""
        self.backoff.reset()
        return [StartTimer("renew", self.renew_interval_s)]

    def keep_lease(self, message):
        """Renew the lease."""
        return [KeepLease(self.lease)]

    def schedule_retry(self, message):
        """Schedule a retry with backoff and jitter."""
        return [StartTimer("retry", FIRST_RETRY_S + self.backoff.next_delay())]

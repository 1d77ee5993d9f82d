"""Directory of the hosts in the mesh and their upstreams."""

from cyclamentally.chart import runs_chart
from cyclamentally.records import Record
from cyclamentally.revisions import NO_REVISION

# Required by the users: an entry that a recovered store has not listed by then is
# gone.
UNLISTED_GRACE_S = 2.5


class UpstreamEntry(Record):
    """An upstream as published by its host.

    Parameters
    ----------
    name : str
        Identifier of its lifetime.
    service : str
        Service that it belongs to.
    slots : int
        Requests that it runs concurrently.
    is_leaving : bool
        Whether it gets no new requests.
    started_ms : int
        Unix milliseconds. If it is leaving, the start of the lifetime of its name that
        has departed last, which may be an earlier one; tells a restarted node which
        heartbeats are of a later lifetime. Else the start of a lifetime that follows
        a departed one of its name; tells other nodes that the upstream is back. 0 if no
        lifetime of its name has departed.
    """

    __slots__ = ("name", "service", "slots", "is_leaving", "started_ms")

    def __init__(self, name, service, slots, is_leaving, started_ms=0):
        self.name = name
        self.service = service
        self.slots = slots
        self.is_leaving = is_leaving
        self.started_ms = started_ms

    @property
    def names_departure(self):
        """Whether a later process of the node reads in it who has departed."""
        return self.is_leaving and self.started_ms > 0


class HostEntry(Record):
    """A host of the mesh.

    Parameters
    ----------
    name : str
        Host.
    domain, region : str
        Failure domain and region.
    address : str
        ``IP:port`` where its node takes requests of other nodes.
    upstream : UpstreamEntry
        The upstream beside the node.
    """

    __slots__ = ("name", "domain", "region", "address", "upstream")

    def __init__(self, name, domain, region, address, upstream):
        self.name = name
        self.domain = domain
        self.region = region
        self.address = address
        self.upstream = upstream


@runs_chart("listed_host")
class ListedHost:
    """A host in the directory; runs the chart ``listed_host``."""

    __slots__ = ("entry", "revision", "state", "unlisted_since")

    def __init__(self):
        self.state = self.chart.initial
        self.entry = None
        self.revision = NO_REVISION
        self.unlisted_since = 0.0

    @property
    def is_used(self):
        """Whether requests may be offered to the host."""
        return self.state in ("listed", "unlisted")

    def fire(self, event, message=None):
        """Run an event of the chart."""
        self.chart.fire(self, event, message)

    def adopt(self, entry):
        """Store the entry."""
        self.entry = entry

    def note_absence(self, now):
        """Store the time in seconds since when the entry is missing."""
        self.unlisted_since = now


class HostDirectory:
    """Hosts by name, kept during outages of the store.

    An entry that disappears during an outage of the store does not show that the
    host is gone. The host stays in use until it does not answer, or until the store
    has been available for a grace period without listing it.
    """

    __slots__ = ("by_service", "hosts")

    def __init__(self):
        self.hosts = {}
        self.by_service = {}

    @property
    def used(self):
        """The hosts that requests may be offered to, by name."""
        return {name: host for name, host in self.hosts.items() if host.is_used}

    def put(self, entry, revision):
        """Add or update an entry unless a later revision is known."""
        host = self.hosts.setdefault(entry.name, ListedHost())
        if revision < host.revision:
            return
        host.revision = revision
        host.fire("left" if entry.upstream.is_leaving else "listed", entry)
        self._rebuild_index()

    def remove(self, name, revision, now):
        """Handle the removal of an entry from the store."""
        host = self.hosts.get(name)
        if host is not None and revision >= host.revision:
            host.revision = revision
            host.fire("removed", now)

    def replace(self, listed, now):
        """Apply a complete listing.

        Parameters
        ----------
        listed : list
            Pairs of `HostEntry` and `Revision`.
        now : float
            Time in seconds.
        """
        for entry, revision in listed:
            self.put(entry, revision)
        for name in self.hosts.keys() - {entry.name for entry, _ in listed}:
            self.hosts[name].fire("removed", now)

    def fail(self, name):
        """Drop a host that did not answer, unless it is listed.

        Returns whether it was dropped.
        """
        host = self.hosts.get(name)
        if host is None or not host.is_used:
            return False
        host.fire("unanswered")
        self._rebuild_index()
        return not host.is_used

    def tick(self, now, available_since):
        """Drop hosts that an available store does not list.

        Parameters
        ----------
        now : float
            Time in seconds.
        available_since : float or None
            Time since when the store has been available; None during an outage.

        Returns
        -------
        bool
            Whether any was dropped.
        """
        if available_since is None:
            return False
        dropped = False
        for host in self.hosts.values():
            since = max(host.unlisted_since, available_since)
            if host.state == "unlisted" and now - since >= UNLISTED_GRACE_S:
                host.fire("confirmed_absent")
                dropped = True
        if dropped:
            self._rebuild_index()
        return dropped

    def _rebuild_index(self):
        by_service = {}
        for host in self.used.values():
            service = host.entry.upstream.service
            by_service.setdefault(service, []).append(host.entry)
        self.by_service = by_service

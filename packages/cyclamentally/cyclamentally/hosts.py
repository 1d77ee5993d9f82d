"""The hosts of the mesh with their upstreams, as each publishes them."""

from cyclamentally.records import Record

# Users' promise: what a store that is back has not shown again by then is gone.
UNLISTED_S = 2.5


class UpstreamEntry(Record):
    """An upstream as its host publishes it.

    Parameters
    ----------
    name : str
        Identifier of its lifetime.
    service : str
        Service that it belongs to.
    started_ms : int
        Start of its lifetime, Unix milliseconds.
    slots : int
        Requests that it runs at once.
    cold_s : float
        Time for which it was still slow when published, in seconds.
    is_leaving : bool
        Whether it gets no new requests.
    """

    __slots__ = ("name", "service", "started_ms", "slots", "cold_s", "is_leaving")

    def __init__(self, name, service, started_ms, slots, cold_s, is_leaving):
        self.name = name
        self.service = service
        self.started_ms = started_ms
        self.slots = slots
        self.cold_s = cold_s
        self.is_leaving = is_leaving


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


class HostDirectory:
    """Hosts by name, kept through outages of the store.

    An entry that vanishes while the store is ill proves nothing: the host is
    used on until it fails, or until the store has been well for a while and
    still does not list it.
    """

    __slots__ = ("by_service", "entries", "revisions", "unlisted")

    def __init__(self):
        self.entries = {}
        self.revisions = {}
        self.unlisted = {}
        self.by_service = {}

    def put(self, entry, revision):
        """Take over a listed entry unless a later one is known."""
        if revision < self.revisions.get(entry.name, 0):
            return
        self.revisions[entry.name] = revision
        self.unlisted.pop(entry.name, None)
        if entry.upstream.is_leaving:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self._index()

    def remove(self, name, revision, now):
        """Note that an entry is no longer listed."""
        if revision < self.revisions.get(name, 0):
            return
        self.revisions[name] = revision
        if name in self.entries:
            self.unlisted.setdefault(name, now)

    def replace(self, listed, now):
        """Take over a whole listing.

        Parameters
        ----------
        listed : list
            Pairs of `HostEntry` and revision.
        now : float
            Time in seconds.
        """
        names = set()
        for entry, revision in listed:
            names.add(entry.name)
            self.put(entry, revision)
        for name in self.entries.keys() - names:
            self.unlisted.setdefault(name, now)

    def fail(self, name):
        """Forget a host that is not listed and does not answer."""
        if name in self.unlisted:
            self._drop(name)

    def tick(self, now, well_since):
        """Forget hosts that a store in good health does not list.

        Parameters
        ----------
        now : float
            Time in seconds.
        well_since : float or None
            Since when the store has answered; None while it is ill.
        """
        if well_since is None:
            return
        for name, since in list(self.unlisted.items()):
            if now - max(since, well_since) >= UNLISTED_S:
                self._drop(name)

    def of_service(self, service):
        """Return the entries of a service's upstreams."""
        return self.by_service.get(service, ())

    def _drop(self, name):
        self.unlisted.pop(name, None)
        self.entries.pop(name, None)
        self._index()

    def _index(self):
        by_service = {}
        for entry in self.entries.values():
            by_service.setdefault(entry.upstream.service, []).append(entry)
        self.by_service = by_service

"""Changes of the published entry of the upstream on a node's host."""

from cyclamentally.hosts import UpstreamEntry


class Publication:
    """Decides when the entry of the upstream has to be written again."""

    __slots__ = ("departed", "departed_ms", "is_withdrawn", "published")

    def __init__(self):
        # Name of the upstream that has left last, and the start of that lifetime.
        self.departed = None
        self.departed_ms = 0
        self.is_withdrawn = False
        self.published = None

    def withdraw(self):
        """Publish the upstream as leaving from now on."""
        self.is_withdrawn = True

    def update(self, gate, service):
        """Return the `UpstreamEntry` to publish, or None if nothing changed.

        Parameters
        ----------
        gate : Gate
            The gate of the upstream.
        service : str
            Service of this host, for an upstream that has left before it was known.
        """
        heartbeat = gate.heartbeat
        departure = gate.departure
        if heartbeat is None:
            if departure.upstream is None:
                return None
            entry = UpstreamEntry(
                departure.upstream, service, 1, True, departure.latest_start_ms
            )
            return self._replace(entry)
        is_open = gate.state == "open" and not self.is_withdrawn
        if self.published is None and not (is_open or heartbeat.is_leaving):
            return None
        if heartbeat.is_leaving:
            self.departed = heartbeat.upstream
            is_reported = departure.upstream == heartbeat.upstream
            reported_ms = departure.latest_start_ms if is_reported else 0
            self.departed_ms = heartbeat.started_ms or reported_ms
        started_ms = 0
        if heartbeat.upstream == self.departed:
            # A gate also closes for other reasons, which end no lifetime.
            started_ms = heartbeat.started_ms if is_open else self.departed_ms
        entry = UpstreamEntry(
            heartbeat.upstream,
            heartbeat.service,
            heartbeat.slots,
            not is_open,
            started_ms,
        )
        return self._replace(entry)

    def _replace(self, entry):
        if entry == self.published:
            return None
        self.published = entry
        return entry

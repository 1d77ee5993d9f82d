"""Reading of host entries, which other writers may have left invalid."""

from cyclamentally_calls.entry_codec import decode_entry

HOSTS_PREFIX = "cyclamentally/hosts/"
# Bounds the memory for keys of invalid entries; about one page of the store.
MAX_REFUSED_KEYS = 500


class HostEntryReader:
    """Decodes stored entries, and logs each revision of an invalid one once.

    Parameters
    ----------
    counters : Counters
        Metrics.
    log : DecisionLog
        Structured log.
    """

    __slots__ = ("counters", "log", "refused")

    def __init__(self, counters, log):
        self.counters = counters
        self.log = log
        # Revisions of the invalid entries by key, the oldest first.
        self.refused = {}

    def read(self, item):
        """Return the `HostEntry` of a `StoredItem`, or None if it is invalid."""
        entry = decode_entry(item.value)
        if entry is not None and HOSTS_PREFIX + entry.name == item.key:
            self.refused.pop(item.key, None)
            return entry
        self.counters.add("entries_refused_total", "unreadable")
        if self.refused.get(item.key) != item.revision:
            revision = str(item.revision)
            self.log.write("entry_refused", key=item.key, revision=revision)
            self.refused[item.key] = item.revision
        if len(self.refused) > MAX_REFUSED_KEYS:
            del self.refused[next(iter(self.refused))]
        return None

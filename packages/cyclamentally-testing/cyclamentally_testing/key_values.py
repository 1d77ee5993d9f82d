"""Key-value store of the platform stand-in, with revisions and watches."""

from threading import Condition

from cyclamentally.platform import Entry, Listing


class KeyValues:
    """Keys with revisions; one counter orders all writes.

    It is called from threads of the HTTP server; the condition guards its state.
    """

    __slots__ = ("calls", "condition", "cursor", "entries", "is_up")

    def __init__(self):
        self.condition = Condition()
        self.entries = {}
        self.cursor = 0
        self.calls = 0
        self.is_up = True

    def read(self, key):
        """Return the entry of a key; revision 0 if it is absent."""
        with self.condition:
            return self.entries.get(key) or Entry(key, b"", 0)

    def read_all(self, prefix):
        """Return a listing of the keys below a prefix."""
        return self._changed(prefix, 0)

    def write(self, key, value, revision):
        """Return the new revision, or None on a conflict."""
        with self.condition:
            current = self.entries.get(key)
            if (current.revision if current else 0) != revision:
                return None
            self.cursor += 1
            self.entries[key] = Entry(key, value, self.cursor)
            self.condition.notify_all()
            return self.cursor

    def watch(self, prefix, cursor, wait):
        """Return a listing of the changes after a cursor; waits up to ``wait`` s."""
        with self.condition:
            self.condition.wait_for(
                lambda: self._changed(prefix, cursor).entries, timeout=wait
            )
        return self._changed(prefix, cursor)

    def _changed(self, prefix, cursor):
        with self.condition:
            entries = [
                entry
                for key, entry in self.entries.items()
                if key.startswith(prefix) and entry.revision > cursor
            ]
            return Listing(entries, self.cursor)

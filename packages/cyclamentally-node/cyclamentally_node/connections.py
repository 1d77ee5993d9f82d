"""Connections to upstreams; a connection belongs to one request at a time."""

from queue import Empty, LifoQueue
from select import select

from urllib3.connection import HTTPConnection

from cyclamentally.records import Record
from cyclamentally_node.settings import split_address

CONNECT_TIMEOUT_S = 0.5
IDLE_S = 20.0
MAX_IDLE = 8


class Idle(Record):
    """A connection without a request, and since when in seconds."""

    __slots__ = ("connection", "since")

    def __init__(self, connection, since):
        self.connection = connection
        self.since = since


class ConnectionPool:
    """Hand out connections to upstreams.

    The queues pass each connection to the thread that takes it.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    """

    __slots__ = ("clock", "queues")

    def __init__(self, clock):
        self.clock = clock
        self.queues = {}

    def take(self, address):
        """Return a connection to an address; it may not be open yet."""
        queue = self._queue(address)
        while True:
            try:
                idle = queue.get_nowait()
            except Empty:
                return _new_connection(address)
            if self._is_usable(idle):
                return idle.connection
            idle.connection.close()

    def give(self, address, connection):
        """Keep a connection for the next request."""
        queue = self._queue(address)
        if queue.qsize() >= MAX_IDLE:
            connection.close()
            return
        queue.put(Idle(connection, self.clock()))

    def close_unused(self, addresses):
        """Close the connections to upstreams that are not listed."""
        for address in self.queues.keys() - set(addresses):
            queue = self.queues.pop(address)
            while not queue.empty():
                queue.get().connection.close()

    def close(self):
        """Close all idle connections."""
        self.close_unused([])

    def _queue(self, address):
        return self.queues.setdefault(address, LifoQueue())

    def _is_usable(self, idle):
        if self.clock() - idle.since > IDLE_S or idle.connection.sock is None:
            return False
        # Bytes or an end of file on an idle connection make it unusable.
        readable, _, _ = select([idle.connection.sock], [], [], 0)
        return not readable


def _new_connection(address):
    host, port = split_address(address)
    connection = HTTPConnection(host, port, timeout=CONNECT_TIMEOUT_S)
    connection.blocksize = 65_536
    return connection

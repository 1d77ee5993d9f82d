"""Ports that are reserved for processes which start later."""

from socket import SO_REUSEADDR, SOL_SOCKET, socket

LOOPBACK = "127.0.0.1"


class ReservedPorts:
    """Ports of the loopback interface that only their owner can listen on.

    A bound socket that does not listen keeps other processes from being given the
    port, but lets a listener with ``SO_REUSEADDR`` bind to it.

    Parameters
    ----------
    count : int
        Number of ports.
    """

    __slots__ = ("count", "ports", "sockets")

    def __init__(self, count):
        self.count = count
        self.ports = []
        self.sockets = []

    def start(self):
        """Choose the ports.

        Raises
        ------
        OSError
            If no port is free.
        """
        for _ in range(self.count):
            entry = socket()
            self.sockets.append(entry)
            entry.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
            entry.bind((LOOPBACK, 0))
            self.ports.append(entry.getsockname()[1])

    def addresses(self):
        """Return ``IP:port`` of each."""
        return [f"{LOOPBACK}:{port}" for port in self.ports]

    def close(self):
        """Give the ports up."""
        for entry in self.sockets:
            entry.close()

"""The node daemon: tasks that own the sockets and state of a node."""

__version__ = "0.1.0"

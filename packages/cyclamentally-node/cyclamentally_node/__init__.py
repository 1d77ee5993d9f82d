"""The node daemon: tasks that own sockets and state around the decisions."""

__version__ = "0.1.0"

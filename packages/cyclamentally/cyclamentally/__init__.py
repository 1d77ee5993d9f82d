"""Coordination decisions of a service mesh configuration system.

Nothing in this package opens a socket, reads a clock or starts a thread.
Decision objects take typed messages and the time in seconds and return
typed effects.
"""

__version__ = "0.1.0"

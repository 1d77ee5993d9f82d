"""Decision logic of a service mesh with distributed configuration.

Nothing in this package opens a socket, reads a clock or starts a thread.
Decision objects receive typed messages and the time in seconds, and return
typed effects.
"""

__version__ = "0.1.0"

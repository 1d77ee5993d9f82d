"""Memory of a node for bodies that are being received.

A faulty upstream may send a body without end. One with a declared length is bounded
by the limit of its request; one without is known to be too long only when memory is
short, so all of these share a smaller budget.
"""

from cyclamentally.routes import RequestKind

MIB = 1024 * 1024
# The slots of an upstream times half of the largest usual download (0.6 MB).
MAX_OPEN_ENDED_BYTES = 5 * MIB
# A quarter of the memory of the smallest hosts.
MAX_TOTAL_BYTES = 48 * MIB
# Limits of one body, by whether its route serves downloads.
MAX_BODY_BYTES = 16 * MIB
MAX_DOWNLOAD_BYTES = 32 * MIB


def max_body_bytes(rule):
    """Return the limit of a response's body by its `RouteRule`, None if unknown."""
    is_small = rule is not None and rule.kind != RequestKind.DOWNLOAD
    return MAX_BODY_BYTES if is_small else MAX_DOWNLOAD_BYTES


class BodyBudget:
    """Bytes of unfinished bodies, by the connection that receives them."""

    __slots__ = ("declared", "open_ended")

    def __init__(self):
        self.declared = {}
        self.open_ended = {}

    def grow(self, holder, amount, has_length):
        """Add received bytes.

        Parameters
        ----------
        holder : object
            The connection.
        amount : int
            Number of bytes.
        has_length : bool
            Whether the length of its body has been declared.

        Returns
        -------
        object or None
            The holder of the largest body that has to be given up, if any.
        """
        sizes = self.declared if has_length else self.open_ended
        sizes[holder] = sizes.get(holder, 0) + amount
        open_ended = sum(self.open_ended.values())
        if open_ended > MAX_OPEN_ENDED_BYTES:
            return max(self.open_ended, key=self.open_ended.get)
        if open_ended + sum(self.declared.values()) > MAX_TOTAL_BYTES:
            everything = self.declared | self.open_ended
            return max(everything, key=everything.get)
        return None

    def release(self, holder):
        """Forget the body of a holder, which is finished or given up."""
        self.declared.pop(holder, None)
        self.open_ended.pop(holder, None)

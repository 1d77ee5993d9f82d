"""Buffer for a body that arrives in parts of any size."""

# Smaller parts are joined, since each object costs more memory than a small part.
BLOCK_BYTES = 16 * 1024


class BodyBuffer:
    """The parts of a body, in blocks that are large compared with their overhead."""

    __slots__ = ("blocks", "size")

    def __init__(self):
        self.blocks = []
        self.size = 0

    def add(self, part):
        """Add a part."""
        self.size += len(part)
        if self.blocks and len(self.blocks[-1]) < BLOCK_BYTES:
            self.blocks[-1] += part
        else:
            is_small = len(part) < BLOCK_BYTES
            self.blocks.append(bytearray(part) if is_small else part)

    def take(self):
        """Return the whole body and empty the buffer."""
        body = b"".join(self.blocks)
        self.clear()
        return body

    def clear(self):
        """Drop all parts."""
        self.blocks = []
        self.size = 0

"""Base class of plain data classes with slots."""


class Record:
    """Data class that is compared and printed by the values of its slots."""

    __slots__ = ()

    def values(self):
        """Return the slot values in declaration order."""
        return [getattr(self, name) for name in self.__slots__]

    def __eq__(self, other):
        return type(self) is type(other) and self.values() == other.values()

    __hash__ = None

    def __repr__(self):
        pairs = [f"{name}={getattr(self, name)!r}" for name in self.__slots__]
        return f"{type(self).__name__}({', '.join(pairs)})"

"""Interface of the encoding of profile bodies."""

from abc import ABC, abstractmethod


class BodyCodec(ABC):
    """Turns profile documents into bytes and back."""

    __slots__ = ()

    @abstractmethod
    def canonical(self, document):
        """Return the one byte string that stands for a document."""

    @abstractmethod
    def parse(self, body):
        """Return ``Done`` with the document of a canonical body."""

    @abstractmethod
    def pack(self, body):
        """Return the compressed body."""

    @abstractmethod
    def unpack(self, packed):
        """Return ``Done`` with the body of compressed bytes."""

    @abstractmethod
    def pack_delta(self, base, body):
        """Return the compressed difference between two bodies."""

    @abstractmethod
    def apply_delta(self, base, packed):
        """Return ``Done`` with the body that a difference leads to."""

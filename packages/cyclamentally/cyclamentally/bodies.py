"""Interface of the encoding of profile bodies."""

from abc import ABC, abstractmethod


class BodyCodec(ABC):
    """Converts profile documents to bytes and back."""

    __slots__ = ()

    @abstractmethod
    def canonical(self, document):
        """Return the canonical encoding; equal documents give equal bytes."""

    @abstractmethod
    def parse(self, body):
        """Return ``Done`` with the document of a canonical body, or ``Refused``."""

    @abstractmethod
    def pack(self, body):
        """Return a body in compressed form."""

    @abstractmethod
    def unpack(self, packed):
        """Return ``Done`` with the decompressed body, or ``Refused``."""

    @abstractmethod
    def pack_delta(self, base, body):
        """Return the compressed difference between two bodies."""

    @abstractmethod
    def apply_delta(self, base, packed):
        """Return ``Done`` with the body that a difference yields, or ``Refused``."""

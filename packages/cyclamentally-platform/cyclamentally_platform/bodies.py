"""Profile bodies as JSON: canonical form, deltas and compression."""

from zlib import compress, decompressobj, error

from jsonpatch import JsonPatch, JsonPatchException
from jsonpointer import JsonPointerException
from msgspec import DecodeError
from msgspec.json import decode, encode

from cyclamentally.bodies import BodyCodec
from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.profiles import MAX_BODY_BYTES


class JsonBodyCodec(BodyCodec):
    """Sorted JSON, JSON patches and zlib."""

    __slots__ = ()

    def canonical(self, document):
        """Return sorted JSON."""
        return encode(document, order="sorted")

    def parse(self, body):
        """Return ``Done`` with the document, or ``Refused`` if it is invalid."""
        if len(body) > MAX_BODY_BYTES:
            return _too_large(len(body))
        try:
            return Done(decode(body))
        except (DecodeError, RecursionError) as reason:
            return Refused(Kind.PROFILE_INVALID, f"not JSON: {reason}")

    def pack(self, body):
        """Return the body compressed by zlib."""
        return compress(body)

    def unpack(self, packed):
        """Return ``Done`` with the body, or ``Refused``.

        Decompression stops at the size limit, so that a small input cannot use
        much memory.
        """
        decompressor = decompressobj()
        try:
            body = decompressor.decompress(packed, MAX_BODY_BYTES + 1)
        except error as reason:
            return Refused(Kind.MESSAGE_MALFORMED, f"not zlib: {reason}")
        if len(body) > MAX_BODY_BYTES:
            return _too_large(len(body))
        if not decompressor.eof:
            return Refused(
                Kind.MESSAGE_MALFORMED,
                f"zlib stream truncated after {len(packed)} bytes",
            )
        return Done(body)

    def pack_delta(self, base, body):
        """Return a compressed JSON patch."""
        patch = JsonPatch.from_diff(decode(base), decode(body))
        return compress(encode(patch.patch))

    def apply_delta(self, base, packed):
        """Return ``Done`` with the patched body, or ``Refused``."""
        unpacked = self.unpack(packed)
        if isinstance(unpacked, Refused):
            return unpacked
        try:
            patch = JsonPatch(decode(unpacked.value))
            return Done(self.canonical(patch.apply(decode(base), in_place=True)))
        except (
            DecodeError,
            JsonPatchException,
            JsonPointerException,
            TypeError,
            ValueError,
            KeyError,
            RecursionError,
        ) as reason:
            return Refused(Kind.DELTA_UNUSABLE, str(reason)[:200])


def _too_large(size):
    return Refused(
        Kind.PROFILE_TOO_LARGE,
        f"body of over {min(size, MAX_BODY_BYTES)} bytes, limit {MAX_BODY_BYTES}",
    )

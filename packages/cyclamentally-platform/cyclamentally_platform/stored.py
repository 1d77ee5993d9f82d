"""JSON encoding of profiles in the platform's store."""

from msgspec import DecodeError, ValidationError
from msgspec.json import decode, encode

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.publishing import PastWrite, StoredProfile, StoredProfileCodec
from cyclamentally.versions import ProfileVersion

# Versions are passed on as integers of 64 bits.
MAX_VERSION = 2**63 - 1


class JsonStoredCodec(StoredProfileCodec):
    """Encodes a stored profile as one JSON object.

    Parameters
    ----------
    body_codec : BodyCodec
        Encoding of the profile body.
    """

    __slots__ = ("body_codec",)

    def __init__(self, body_codec):
        self.body_codec = body_codec

    def encode(self, stored):
        """Return the JSON bytes of a `StoredProfile`."""
        version = stored.version
        document = decode(version.body) if version.body else None
        return encode(
            {
                "version": version.version,
                "deleted": version.deleted,
                "writer": version.writer,
                "operation": version.operation,
                "document": document,
                "recent": [write.values() for write in stored.recent],
            }
        )

    def decode(self, name, value):
        """Return ``Done`` with a `StoredProfile`, ``Refused`` if malformed."""
        try:
            return Done(self._decode(name, decode(value)))
        except (
            DecodeError,
            ValidationError,
            KeyError,
            TypeError,
            ValueError,
            RecursionError,
        ) as error:
            detail = f"{name}: malformed stored profile: {error!r}"[:200]
            return Refused(Kind.PROFILE_INVALID, detail)

    def _decode(self, name, document):
        number = document["version"]
        if not isinstance(number, int) or not 1 <= number <= MAX_VERSION:
            raise ValueError(
                f"version {number!r:.40} is not within 1 and {MAX_VERSION}"
            )
        deleted = bool(document["deleted"])
        body = b"" if deleted else self.body_codec.canonical(document["document"])
        version = ProfileVersion(
            name,
            number,
            deleted,
            str(document["writer"]),
            str(document["operation"]),
            body,
        )
        recent = [PastWrite(*fields) for fields in document.get("recent", [])]
        return StoredProfile(version, recent)

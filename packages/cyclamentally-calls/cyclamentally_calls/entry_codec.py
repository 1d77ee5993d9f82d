"""Encoding of host entries in the store."""

from msgspec import DecodeError
from msgspec.json import decode, encode

from cyclamentally.hosts import HostEntry, UpstreamEntry

HOST_FIELDS = (str, str, str, str, list)
UPSTREAM_FIELDS = (str, str, int, bool)


def encode_entry(entry):
    """Return the bytes of a `HostEntry`: its fields in order, as JSON."""
    host = entry.values()
    return encode([*host[:-1], entry.upstream.values()])


def decode_entry(value):
    """Return the `HostEntry` of stored bytes, or None if they are invalid."""
    try:
        host = decode(value)
    except (DecodeError, UnicodeDecodeError):
        return None
    if not _has_types(host, HOST_FIELDS) or not _has_types(host[-1], UPSTREAM_FIELDS):
        return None
    return HostEntry(*host[:-1], UpstreamEntry(*host[-1]))


def _has_types(values, types):
    if not isinstance(values, list) or len(values) != len(types):
        return False
    return all(isinstance(v, t) for v, t in zip(values, types, strict=True))

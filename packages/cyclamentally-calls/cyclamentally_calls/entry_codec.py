"""Encoding of host entries in the store."""

from msgspec import DecodeError
from msgspec.json import decode, encode

from cyclamentally.hosts import HostEntry, UpstreamEntry

HOST_FIELDS = (str, str, str, str, list)
# The start of a lifetime follows in entries of upstreams that are leaving.
UPSTREAM_FIELDS = (str, str, int, bool)
UPSTREAM_FIELDS_WITH_START = (*UPSTREAM_FIELDS, int)


def encode_entry(entry):
    """Return the bytes of a `HostEntry`: its fields in order, as JSON."""
    host = entry.values()
    upstream = entry.upstream.values()
    if not entry.upstream.started_ms:
        upstream = upstream[: len(UPSTREAM_FIELDS)]
    return encode([*host[:-1], upstream])


def decode_entry(value):
    """Return the `HostEntry` of stored bytes, or None if they are invalid."""
    try:
        host = decode(value)
    except (DecodeError, UnicodeDecodeError):
        return None
    if not _has_types(host, HOST_FIELDS):
        return None
    forms = (UPSTREAM_FIELDS, UPSTREAM_FIELDS_WITH_START)
    if not any(_has_types(host[-1], form) for form in forms):
        return None
    return HostEntry(*host[:-1], UpstreamEntry(*host[-1]))


def _has_types(values, types):
    if not isinstance(values, list) or len(values) != len(types):
        return False
    return all(isinstance(v, t) for v, t in zip(values, types, strict=True))

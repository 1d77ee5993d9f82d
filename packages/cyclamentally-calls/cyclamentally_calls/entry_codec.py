"""Encoding of host entries in the store."""

from msgspec.json import encode

from cyclamentally.hosts import HostEntry, UpstreamEntry
from cyclamentally_calls.decoding import (
    InvalidDataError,
    decode_json,
    has_fields,
    is_address,
    is_boolean,
    is_integer,
    is_name,
    is_slots,
)

# The start of a lifetime follows in entries of upstreams that are leaving.
UPSTREAM_FIELDS = (is_name, is_name, is_slots, is_boolean)
UPSTREAM_FIELDS_WITH_START = (*UPSTREAM_FIELDS, is_integer)


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
        host = decode_json(value)
    except InvalidDataError:
        return None
    if not has_fields(host, HOST_FIELDS):
        return None
    return HostEntry(*host[:-1], UpstreamEntry(*host[-1]))


def _is_upstream(value):
    forms = (UPSTREAM_FIELDS, UPSTREAM_FIELDS_WITH_START)
    return any(has_fields(value, form) for form in forms)


HOST_FIELDS = (is_name, is_name, is_name, is_address, _is_upstream)

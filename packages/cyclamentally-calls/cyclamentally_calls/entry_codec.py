"""Encoding of host entries in the platform's store."""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder, encode

from cyclamentally.hosts import HostEntry, UpstreamEntry


class StoredUpstream(Struct):
    """An upstream as it is stored."""

    name: str
    service: str
    started_ms: int
    slots: int
    cold_s: float
    is_leaving: bool


class StoredHost(Struct):
    """A host as it is stored."""

    name: str
    domain: str
    region: str
    address: str
    upstream: StoredUpstream


DECODER = Decoder(StoredHost)


def encode_entry(entry):
    """Return the bytes of a `HostEntry`."""
    u = entry.upstream
    upstream = StoredUpstream(
        u.name, u.service, u.started_ms, u.slots, u.cold_s, u.is_leaving
    )
    return encode(
        StoredHost(entry.name, entry.domain, entry.region, entry.address, upstream)
    )


def decode_entry(value):
    """Return the `HostEntry` of stored bytes, or None if they are none."""
    try:
        stored = DECODER.decode(value)
    except (DecodeError, ValidationError):
        return None
    u = stored.upstream
    upstream = UpstreamEntry(
        u.name, u.service, u.started_ms, u.slots, u.cold_s, u.is_leaving
    )
    return HostEntry(
        stored.name, stored.domain, stored.region, stored.address, upstream
    )

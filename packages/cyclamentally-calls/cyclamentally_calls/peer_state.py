"""State that a node serves to peers that cannot reach the store."""

from base64 import b64decode, b64encode

from msgspec.json import encode

from cyclamentally.records import Record
from cyclamentally.revisions import Revision
from cyclamentally.store_outcomes import StoredItem
from cyclamentally_calls.decoding import (
    InvalidDataError,
    decode_json,
    has_fields,
    is_integer,
    is_text,
)
from cyclamentally_calls.entry_codec import decode_entry, encode_entry
from cyclamentally_calls.http_codec import Response
from cyclamentally_calls.peer_codec import REFUSED_STATUS

HTTP_OK = 200
STATE_TARGET = b"/cyclamentally-peer/state"


class PeerState(Record):
    """The configuration and the hosts known to a node.

    Parameters
    ----------
    configuration : StoredItem
        The configuration as read from the store.
    hosts : list
        Pairs of `HostEntry` and `Revision`.
    """

    __slots__ = ("configuration", "hosts")

    def __init__(self, configuration, hosts):
        self.configuration = configuration
        self.hosts = hosts


def encode_state(state):
    """Return the bytes of a `PeerState`."""
    item = state.configuration
    content = {
        "key": item.key,
        "value": b64encode(item.value).decode(),
        "revision": item.revision.number,
        "hosts": [[encode_entry(e).decode(), r.number] for e, r in state.hosts],
    }
    eras = [item.revision.era, *(r.era for _, r in state.hosts)]
    if any(eras):
        # Of the configuration and of each host; an earlier build ignores the field.
        content["eras"] = eras
    return encode(content)


def decode_state(body):
    """Return the `PeerState` of bytes, or None if they are invalid.

    Invalid hosts are skipped.
    """
    try:
        content = decode_json(body)
        key, number, rows = (content[name] for name in ("key", "revision", "hosts"))
        value = b64decode(content["value"], validate=True)
        eras = content.get("eras", [0] * (1 + len(rows)))
    except (InvalidDataError, KeyError, TypeError, ValueError):
        return None
    if not has_fields([key, number], (is_text, is_integer)):
        return None
    if not isinstance(rows, list):
        return None
    if not has_fields(eras, [is_integer] * (1 + len(rows))):
        return None
    era, *host_eras = eras
    hosts = [_decode_host(*pair) for pair in zip(rows, host_eras, strict=True)]
    known = [host for host in hosts if host is not None]
    return PeerState(StoredItem(key, value, Revision(era, number)), known)


def _decode_host(row, era):
    """Return the `HostEntry` and `Revision` of a row, or None if it is invalid."""
    if not has_fields(row, (is_text, is_integer)):
        return None
    text, number = row
    entry = decode_entry(text)
    return None if entry is None else (entry, Revision(era, number))


def state_response(body):
    """Return the `Response` with an encoded state; 503 if this node has none."""
    return Response(HTTP_OK if body else REFUSED_STATUS, [], body)

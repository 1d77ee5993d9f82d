"""State that a node serves to peers that cannot reach the store."""

from base64 import b64decode, b64encode

from msgspec.json import encode

from cyclamentally.records import Record
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
        Pairs of `HostEntry` and revision.
    """

    __slots__ = ("configuration", "hosts")

    def __init__(self, configuration, hosts):
        self.configuration = configuration
        self.hosts = hosts


def encode_state(state):
    """Return the bytes of a `PeerState`."""
    item = state.configuration
    return encode(
        {
            "key": item.key,
            "value": b64encode(item.value).decode(),
            "revision": item.revision,
            "hosts": [[encode_entry(e).decode(), r] for e, r in state.hosts],
        }
    )


def decode_state(body):
    """Return the `PeerState` of bytes, or None if they are invalid.

    Invalid hosts are skipped.
    """
    try:
        content = decode_json(body)
        key, revision, rows = (content[name] for name in ("key", "revision", "hosts"))
        value = b64decode(content["value"], validate=True)
    except (InvalidDataError, KeyError, TypeError, ValueError):
        return None
    if not has_fields([key, revision], (is_text, is_integer)):
        return None
    if not isinstance(rows, list):
        return None
    valid = (row for row in rows if has_fields(row, (is_text, is_integer)))
    hosts = [(decode_entry(text), r) for text, r in valid]
    known = [pair for pair in hosts if pair[0] is not None]
    return PeerState(StoredItem(key, value, revision), known)


def state_response(body):
    """Return the `Response` with an encoded state; 503 if this node has none."""
    return Response(HTTP_OK if body else REFUSED_STATUS, [], body)

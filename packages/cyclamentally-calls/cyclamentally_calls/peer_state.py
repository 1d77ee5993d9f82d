"""State that a node serves to peers that cannot reach the store."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error

from msgspec import DecodeError
from msgspec.json import decode, encode

from cyclamentally.records import Record
from cyclamentally.store_outcomes import StoredItem
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
    """Return the `PeerState` of bytes, or None if they are invalid."""
    try:
        content = decode(body)
        value = b64decode(content["value"], validate=True)
        item = StoredItem(content["key"], value, int(content["revision"]))
        hosts = [(decode_entry(text), int(r)) for text, r in content["hosts"]]
    except (DecodeError, Base64Error, KeyError, TypeError, ValueError):
        return None
    return PeerState(item, [pair for pair in hosts if pair[0] is not None])


def state_response(body):
    """Return the `Response` with an encoded state; 503 if this node has none."""
    return Response(HTTP_OK if body else REFUSED_STATUS, [], body)

"""Encoding of the changes that a relay passes on to the nodes that follow it."""

from typing import Annotated
from zlib import compress, decompressobj
from zlib import error as ZlibError  # noqa: N812

from msgspec import Meta
from msgspec.msgpack import encode

from cyclamentally.feed_log import FeedUpdate
from cyclamentally.store_outcomes import RemovedKey, StoredItem
from cyclamentally_calls.decoding import (
    MAX_INTEGER,
    InvalidDataError,
    decode_msgpack,
    parse_digits,
)

FEED_TARGET = b"/cyclamentally-peer/feed?after="
# Configurations compress to about an eighth; higher levels gain little more.
COMPRESSION_LEVEL = 1
# A listing of 1,900 hosts and the largest item of the store, 1 MiB.
MAX_BODY_BYTES = 4 * 1024 * 1024


def encode_feed_target(revisions):
    """Return the path of a request for the changes after a revision of each prefix."""
    return FEED_TARGET + b",".join(b"%d" % revision for revision in revisions)


def decode_feed_target(target, count):
    """Return the revisions of a request's path, or None if it is invalid.

    Parameters
    ----------
    target : bytes
        Path with query.
    count : int
        Expected number of revisions.
    """
    texts = target.removeprefix(FEED_TARGET).split(b",")
    revisions = tuple(parse_digits(text) for text in texts)
    return None if len(texts) != count or None in revisions else revisions


def encode_updates(updates):
    """Return the body with a list of `FeedUpdate`."""
    rows = [
        [
            update.prefix,
            update.revision,
            update.is_listing,
            [[c.key, getattr(c, "value", None), c.revision] for c in update.changes],
        ]
        for update in updates
    ]
    return compress(encode(rows), COMPRESSION_LEVEL)


def decode_updates(body):
    """Return the list of `FeedUpdate` of a body, or None if it is invalid."""
    unpacker = decompressobj()
    try:
        data = unpacker.decompress(body, MAX_BODY_BYTES)
        rows = decode_msgpack(data, list[tuple[str, _Revision, bool, list[_Row]]])
    except (ZlibError, InvalidDataError):
        return None
    return [
        FeedUpdate(prefix, revision, is_listing, [_decode_row(row) for row in changes])
        for prefix, revision, is_listing, changes in rows
    ]


_Revision = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
_Row = tuple[str, bytes | None, _Revision]


def _decode_row(row):
    key, value, revision = row
    if value is None:
        return RemovedKey(key, revision)
    return StoredItem(key, value, revision)

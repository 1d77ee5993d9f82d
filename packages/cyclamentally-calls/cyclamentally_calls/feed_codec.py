"""Encoding of the changes that a relay passes on to the nodes that follow it."""

from zlib import compress, decompressobj
from zlib import error as ZlibError  # noqa: N812

from msgspec import DecodeError
from msgspec.msgpack import decode, encode

from cyclamentally.feed_log import FeedUpdate
from cyclamentally.store_outcomes import RemovedKey, StoredItem

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
    if len(texts) != count or not all(text.isdigit() for text in texts):
        return None
    return tuple(int(text) for text in texts)


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
        rows = decode(data, type=list[tuple[str, int, bool, list[_Row]]])
    except (ZlibError, DecodeError, UnicodeDecodeError):
        return None
    return [
        FeedUpdate(prefix, revision, is_listing, [_decode_row(row) for row in changes])
        for prefix, revision, is_listing, changes in rows
    ]


_Row = tuple[str, bytes | None, int]


def _decode_row(row):
    key, value, revision = row
    if value is None:
        return RemovedKey(key, revision)
    return StoredItem(key, value, revision)

"""Encoding of the changes that a relay passes on to the nodes that follow it."""

from typing import Annotated
from zlib import compress, decompressobj
from zlib import error as ZlibError  # noqa: N812

from msgspec import Meta
from msgspec.msgpack import encode

from cyclamentally.feed_log import FeedUpdate
from cyclamentally.revisions import Revision
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
    """Return the path of a request for the changes after a revision of each prefix.

    Revisions of an era above 0 are written as ``era.number``. An earlier build, which
    would take them for lower ones of its own, refuses such a path.
    """
    texts = [
        b"%d.%d" % (r.era, r.number) if r.era else b"%d" % r.number for r in revisions
    ]
    return FEED_TARGET + b",".join(texts)


def decode_feed_target(target, count):
    """Return the tuple of `Revision` of a request's path, or None if it is invalid.

    Parameters
    ----------
    target : bytes
        Path with query.
    count : int
        Expected number of revisions.
    """
    texts = target.removeprefix(FEED_TARGET).split(b",")
    revisions = tuple(_decode_revision(text) for text in texts)
    return None if len(texts) != count or None in revisions else revisions


def encode_updates(updates):
    """Return the body with a list of `FeedUpdate`.

    All rows have the era if one is above 0; an earlier build refuses such a body.
    """
    has_eras = any(update.revision.era for update in updates)
    rows = [_encode_update(update, has_eras) for update in updates]
    return compress(encode(rows), COMPRESSION_LEVEL)


def decode_updates(body):
    """Return the list of `FeedUpdate` of a body, or None if it is invalid."""
    unpacker = decompressobj()
    try:
        data = unpacker.decompress(body, MAX_BODY_BYTES)
        rows = _decode_rows(data)
    except (ZlibError, InvalidDataError):
        return None
    return [_decode_update(*row) for row in rows]


_Number = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
_ChangeRow = tuple[str, bytes | None, _Number]
_UpdateRow = tuple[str, _Number, bool, list[_ChangeRow]]
_UpdateRowWithEra = tuple[str, _Number, bool, list[_ChangeRow], _Number]


def _encode_update(update, has_era):
    changes = [
        [c.key, getattr(c, "value", None), c.revision.number] for c in update.changes
    ]
    revision = update.revision
    row = [update.prefix, revision.number, update.is_listing, changes]
    return [*row, revision.era] if has_era else row


def _decode_rows(data):
    try:
        return decode_msgpack(data, list[_UpdateRow])
    except InvalidDataError:
        return decode_msgpack(data, list[_UpdateRowWithEra])


def _decode_update(prefix, number, is_listing, rows, era=0):
    changes = [_decode_change(row, era) for row in rows]
    return FeedUpdate(prefix, Revision(era, number), is_listing, changes)


def _decode_change(row, era):
    key, value, number = row
    revision = Revision(era, number)
    if value is None:
        return RemovedKey(key, revision)
    return StoredItem(key, value, revision)


def _decode_revision(text):
    """Return the `Revision` of a text, or None if it is invalid."""
    era, separator, number = text.rpartition(b".")
    parts = [parse_digits(era) if separator else 0, parse_digits(number)]
    return None if None in parts else Revision(*parts)

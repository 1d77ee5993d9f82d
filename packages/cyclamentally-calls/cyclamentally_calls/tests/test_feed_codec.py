from random import Random
from zlib import compress

import pytest
from msgspec.msgpack import encode

from cyclamentally.feed_log import FeedUpdate
from cyclamentally.store_outcomes import RemovedKey, StoredItem
from cyclamentally_calls.feed_codec import (
    MAX_BODY_BYTES,
    decode_feed_target,
    decode_updates,
    encode_feed_target,
    encode_updates,
)


@pytest.fixture
def updates():
    return [
        FeedUpdate("a/", 7, True, [StoredItem("a/1", b"\x00\xff", 5)]),
        FeedUpdate("b/", 9, False, [RemovedKey("b/1", 8), StoredItem("b/2", b"", 9)]),
    ]


def test_updates_are_read_back(updates):
    assert decode_updates(encode_updates(updates)) == updates
    assert decode_updates(encode_updates([])) == []


def test_revisions_are_read_back():
    assert decode_feed_target(encode_feed_target([12, 0]), 2) == (12, 0)


@pytest.mark.parametrize("text", [b"", b"1", b"1,2,3", b"1,x", b"-1,2", b"1,"])
def test_invalid_revisions_are_refused(text):
    assert decode_feed_target(encode_feed_target([]) + text, 2) is None


@pytest.mark.parametrize(
    "rows",
    [1, {}, [1], [["a/", "7", True, []]], [["a/", 7, True, [["k", 3, 5]]]]],
)
def test_invalid_bodies_are_refused(rows):
    assert decode_updates(compress(encode(rows))) is None


def test_body_that_expands_without_end_is_refused():
    assert decode_updates(compress(b"\x00" * (3 * MAX_BODY_BYTES))) is None


@pytest.mark.parametrize("seed", range(200))
def test_damaged_bodies_raise_no_error(updates, seed):
    random = Random(seed)
    body = bytearray(encode_updates(updates))
    for _ in range(random.randint(1, 3)):
        body[random.randrange(len(body))] ^= 1 << random.randrange(8)
    decoded = decode_updates(bytes(body[: random.randint(0, len(body))]))
    assert decoded is None or isinstance(decoded, list)

from random import Random
from zlib import compress, decompress

import pytest
from msgspec import ValidationError
from msgspec.msgpack import decode, encode

from cyclamentally.feed_log import FeedUpdate
from cyclamentally.revisions import Revision
from cyclamentally.store_outcomes import RemovedKey, StoredItem
from cyclamentally_calls.feed_codec import (
    MAX_BODY_BYTES,
    decode_feed_target,
    decode_updates,
    encode_feed_target,
    encode_updates,
)


@pytest.fixture(params=[0, 3])
def updates(request):
    def at(number):
        return Revision(request.param, number)

    changes = [RemovedKey("b/1", at(8)), StoredItem("b/2", b"", at(9))]
    return [
        FeedUpdate("a/", at(7), True, [StoredItem("a/1", b"\x00\xff", at(5))]),
        FeedUpdate("b/", at(9), False, changes),
    ]


def test_updates_are_read_back(updates):
    assert decode_updates(encode_updates(updates)) == updates
    assert decode_updates(encode_updates([])) == []


def test_revisions_are_read_back():
    revisions = (Revision(0, 12), Revision(3, 4))
    assert decode_feed_target(encode_feed_target(revisions), 2) == revisions


@pytest.mark.parametrize(
    "text",
    [b"", b"1", b"1,2,3", b"1,x", b"-1,2", b"1,", b"1,.2", b"1,2.", b"1,1.2.3"],
)
def test_invalid_revisions_are_refused(text):
    assert decode_feed_target(encode_feed_target([]) + text, 2) is None


@pytest.mark.parametrize(
    "rows",
    [
        1,
        {},
        [1],
        [["a/", "7", True, []]],
        [["a/", 7, True, [["k", 3, 5]]]],
        [["a/", 7, True, [], "1"]],
    ],
)
def test_invalid_bodies_are_refused(rows):
    assert decode_updates(compress(encode(rows))) is None


def test_body_that_expands_without_end_is_refused():
    assert decode_updates(compress(b"\x00" * (3 * MAX_BODY_BYTES))) is None


def test_earlier_build_refuses_what_has_an_era():
    """It would take the number for a revision of its own era."""
    rows = list[tuple[str, int, bool, list[tuple[str, bytes | None, int]]]]
    update = FeedUpdate("a/", Revision(2, 7), True, [])
    with pytest.raises(ValidationError):
        decode(decompress(encode_updates([update])), type=rows)
    text = encode_feed_target([Revision(2, 7)]).rpartition(b"=")[2]
    assert not text.isdigit()


@pytest.mark.parametrize("seed", range(200))
def test_damaged_bodies_raise_no_error(updates, seed):
    random = Random(seed)
    body = bytearray(encode_updates(updates))
    for _ in range(random.randint(1, 3)):
        body[random.randrange(len(body))] ^= 1 << random.randrange(8)
    decoded = decode_updates(bytes(body[: random.randint(0, len(body))]))
    assert decoded is None or isinstance(decoded, list)

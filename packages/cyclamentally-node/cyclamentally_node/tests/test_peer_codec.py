from random import Random

import pytest
from msgspec.msgpack import encode

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.messages import ChangePush, Ping, StatusReply, Summary
from cyclamentally.model import Change, DomainStatus, MemberRecord, Upstream
from cyclamentally_node.peer_codec import (
    COMPRESSED,
    MAX_MESSAGE_BYTES,
    PLAIN,
    decode_message,
    encode_message,
)

SEED = 20261204
ROUNDS = 2_000


@pytest.fixture
def summary():
    return Summary("a", "10.0.0.1:7100", "gogledd", 2**63, 5, 7, True)


@pytest.fixture
def ping(summary):
    upstream = Upstream("standings", "night", "10.0.0.1:80", 10, 120, False)
    record = MemberRecord("b", 3, "alive", "d", "r", "10.0.0.2:7100", [upstream], 1)
    return Ping(summary, 9, [record])


def test_nested_message_is_decoded_unchanged(ping):
    assert decode_message(encode_message(ping)) == Done(ping)


def test_large_message_is_compressed(summary):
    change = Change("night", 1, 0, False, b"x" * 100_000, 3)
    push = ChangePush(summary, "a", [change])
    data = encode_message(push)
    assert len(data) < 2_000
    assert decode_message(data) == Done(push)


def test_status_reply_is_decoded_unchanged(summary):
    status = DomainStatus("d", "r", 3, 2, ["a"], [], ["night"], [4], 0)
    reply = StatusReply(summary, status)
    assert decode_message(encode_message(reply)) == Done(reply)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"x",
        PLAIN,
        PLAIN + b"\xff",
        PLAIN + encode([0]),
        PLAIN + encode([99, []]),
        PLAIN + encode([-1, []]),
        PLAIN + encode([0, []]),
        PLAIN + encode([0, [1, 2, 3]]),
        PLAIN + encode({"a": 1}),
        COMPRESSED + b"junk",
        COMPRESSED,
    ],
)
def test_malformed_bytes_are_refused(data):
    assert isinstance(decode_message(data), Refused)


def test_too_large_message_is_refused():
    refused = decode_message(PLAIN + b"x" * MAX_MESSAGE_BYTES)
    assert refused.kind == Kind.MESSAGE_TOO_LARGE


def test_decoding_a_corrupted_message_never_raises(ping):
    random = Random(SEED)
    data = encode_message(ping)
    for _ in range(ROUNDS):
        broken = bytearray(data)
        for _ in range(random.randint(1, 4)):
            broken[random.randrange(len(broken))] = random.randrange(256)
        del broken[random.randint(1, len(broken)) :]
        outcome = decode_message(bytes(broken))
        assert isinstance(outcome, Done | Refused)

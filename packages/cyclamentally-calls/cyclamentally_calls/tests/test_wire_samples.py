"""Messages as earlier builds have sent and stored them, and damaged copies of them.

Nodes of two builds run side by side during every release, so these samples stay.
"""

from random import Random
from zlib import decompress

import pytest

from cyclamentally.errors import Kind, Refused
from cyclamentally.feed_log import FeedUpdate
from cyclamentally.gate_messages import Load
from cyclamentally.hosts import HostEntry, UpstreamEntry
from cyclamentally.records import Record
from cyclamentally.revisions import NO_REVISION, Revision
from cyclamentally.store_outcomes import RemovedKey, StoredItem
from cyclamentally_calls.entry_codec import decode_entry, encode_entry
from cyclamentally_calls.feed_codec import (
    decode_feed_target,
    decode_updates,
    encode_feed_target,
    encode_updates,
)
from cyclamentally_calls.peer_codec import (
    PeerTicket,
    decode_load,
    decode_refusal,
    decode_ticket,
    encode_load,
    encode_refusal,
    encode_ticket,
)
from cyclamentally_calls.peer_state import PeerState, decode_state, encode_state

ENTRY = HostEntry(
    "h1", "d1", "r1", "10.0.0.1:80", UpstreamEntry("u1", "shop", 9, False)
)
LEAVING = HostEntry(
    "h1", "d1", "r1", "10.0.0.1:80", UpstreamEntry("u1", "shop", 9, True, 1_700)
)
TICKET = PeerTicket("u1", "shop", "r1", 1, 0.25, 1.5, "10.0.0.1:80", 7)
REPEAT = PeerTicket("u1", "shop", "r1", 1, 0.25, 1.5, "10.0.0.1:80", 7, True)


def updates(era):
    return [
        FeedUpdate(
            "a/", Revision(era, 7), True, [StoredItem("a/1", b"{}", Revision(era, 5))]
        ),
        FeedUpdate(
            "b/", Revision(era, 9), False, [RemovedKey("b/1", Revision(era, 8))]
        ),
    ]


def decode_target(target):
    return decode_feed_target(target, 2)


def state(*eras):
    configuration, host = [Revision(era, 5 - i) for i, era in enumerate(eras)]
    return PeerState(StoredItem("k", b"{}", configuration), [(ENTRY, host)])


def header(encode):
    """Return a function that encodes the value of a header."""
    return lambda message: encode(message)[1]


# Bytes, the message, its encoder and its decoder.
SAMPLES = [
    (
        b'["u1","shop","r1",1,250,1500,"10.0.0.1:80",7]',
        TICKET,
        header(encode_ticket),
        decode_ticket,
    ),
    (
        b'["u1","shop","r1",1,250,1500,"10.0.0.1:80",7,true]',
        REPEAT,
        header(encode_ticket),
        decode_ticket,
    ),
    (
        b'["queue_full","full",250]',
        Refused(Kind.QUEUE_FULL, "full", 0.25),
        header(encode_refusal),
        decode_refusal,
    ),
    (b"[3,1,9,50]", Load(3, 1, 9, 0.05), header(encode_load), decode_load),
    (b"[3,1,9,50,0.4]", Load(3, 1, 9, 0.05, 0.4), header(encode_load), decode_load),
    (
        b'["h1","d1","r1","10.0.0.1:80",["u1","shop",9,false]]',
        ENTRY,
        encode_entry,
        decode_entry,
    ),
    (
        b'["h1","d1","r1","10.0.0.1:80",["u1","shop",9,true,1700]]',
        LEAVING,
        encode_entry,
        decode_entry,
    ),
    (
        b'{"key":"k","value":"e30=","revision":5,"hosts":[["[\\"h1\\",\\"d1\\",'
        b'\\"r1\\",\\"10.0.0.1:80\\",[\\"u1\\",\\"shop\\",9,false]]",4]]}',
        state(0, 0),
        encode_state,
        decode_state,
    ),
    (
        b'{"key":"k","value":"e30=","revision":5,"hosts":[["[\\"h1\\",\\"d1\\",'
        b'\\"r1\\",\\"10.0.0.1:80\\",[\\"u1\\",\\"shop\\",9,false]]",4]],'
        b'"eras":[3,2]}',
        state(3, 2),
        encode_state,
        decode_state,
    ),
    (
        b"x\x01\x9b4eQ\xa2>\xfb\xe1\x89\x93\x17'\xea\x1b\x1ea\xaa\xaee\x9d\xb2(I"
        b"\x9f\xf3\x10P I\xdf\xf0\x00\x07\x00\xe4\xc0\rQ",
        updates(0),
        encode_updates,
        decode_updates,
    ),
    (
        b"x\x01\x9b4uQ\xa2>\xfb\xe1\x89\x93\x17'\xea\x1b\x1ea\xaa\xaeee\x9e\xba(I"
        b"\x9f\xf3\x10P$I\xdf\xf0\x00\x073\x00\xf9\xe2\rY",
        updates(3),
        encode_updates,
        decode_updates,
    ),
    (
        b"/cyclamentally-peer/feed?after=12,0",
        (Revision(0, 12), NO_REVISION),
        encode_feed_target,
        decode_target,
    ),
    (
        b"/cyclamentally-peer/feed?after=3.12,0",
        (Revision(3, 12), NO_REVISION),
        encode_feed_target,
        decode_target,
    ),
]
NAMES = [
    "ticket",
    "ticket-of-repeat",
    "refusal",
    "load",
    "load-with-share",
    "entry",
    "entry-leaving",
    "state",
    "state-with-eras",
    "updates",
    "updates-with-era",
    "request",
    "request-with-era",
]


def fields(message):
    """Return what a message holds, for classes without a comparison."""
    if isinstance(message, Record | Refused | list | tuple):
        return message
    return {name: getattr(message, name) for name in message.__slots__}


@pytest.fixture(params=SAMPLES, ids=NAMES)
def sample(request):
    return request.param


def test_message_of_an_earlier_build_is_read(sample):
    data, message, _, decode = sample
    assert fields(decode(data)) == fields(message)


def test_message_is_written_so_that_an_earlier_build_reads_it(sample):
    data, message, encode, decode = sample
    encoded = encode(message)
    if decode is decode_updates:
        # Other builds of zlib may compress to other bytes.
        encoded, data = decompress(encoded), decompress(data)
    assert encoded == data


@pytest.mark.parametrize("seed", range(300))
def test_damaged_message_raises_no_error(sample, seed):
    data, _, _, decode = sample
    random = Random(seed)
    damaged = bytearray(data)
    for _ in range(random.randint(1, 4)):
        damaged[random.randrange(len(damaged))] = random.randrange(256)
    decode(bytes(damaged[: random.randint(1, len(damaged))]))

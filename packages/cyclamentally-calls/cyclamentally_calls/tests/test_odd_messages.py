"""Well-formed and malformed messages with values that no node writes."""

from json import dumps, loads

import pytest

from cyclamentally.errors import ANSWERS, Ran
from cyclamentally.revisions import Revision
from cyclamentally_calls.entry_codec import decode_entry
from cyclamentally_calls.feed_codec import (
    decode_feed_target,
    decode_updates,
    encode_feed_target,
)
from cyclamentally_calls.peer_codec import decode_load, decode_refusal, decode_ticket
from cyclamentally_calls.peer_state import decode_state
from cyclamentally_calls.tests.test_wire_samples import SAMPLES
from cyclamentally_testing.odd_values import ODD_VALUES, with_odd_leaves, with_value

JSON_SAMPLES = [(data, read) for data, _, _, read in SAMPLES if data[:1] in b"[{"]
NAMES = [read.__name__ for _, read in JSON_SAMPLES]
ENTRY = ["h1", "d1", "r1", "10.0.0.1:80", ["u1", "shop", 9, False]]
# Values that are invalid in every field of an entry, ticket or load.
INVALID_ANYWHERE = [
    "nested list",
    "nested objects",
    "unclosed lists",
    "400 digits",
    "5000 digits",
    "beyond 64 bits",
    "fraction",
    "beyond floats",
    "null",
    "list in a list",
    "lone surrogate",
    "not UTF-8",
]


@pytest.mark.parametrize(("data", "read"), JSON_SAMPLES, ids=NAMES)
def test_odd_value_in_any_field_raises_no_error(data, read):
    for _, _, odd in with_odd_leaves(loads(data)):
        read(odd)


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_message_raises_no_error(value):
    for _, _, _, read in SAMPLES:
        read(value)


@pytest.mark.parametrize("name", INVALID_ANYWHERE)
@pytest.mark.parametrize(
    ("document", "read"),
    [
        (ENTRY, decode_entry),
        (["u1", "shop", "r1", 1, 250, 1500, "10.0.0.1:80", 7], decode_ticket),
        ([3, 1, 9, 50], decode_load),
    ],
    ids=["entry", "ticket", "load"],
)
def test_message_with_an_invalid_value_is_refused(document, read, name):
    odd = [data for _, found, data in with_odd_leaves(document) if found == name]
    assert [read(data) for data in odd] == [None] * len(odd)


@pytest.mark.parametrize(
    "value", [b"true", b"0", b"-1", b"65536", b'"9"'], ids=bytes.decode
)
def test_entry_with_an_impossible_number_of_slots_is_refused(value):
    assert decode_entry(with_value(ENTRY, (4, 2), value)) is None


def test_state_with_an_odd_host_keeps_the_others():
    hosts = [[odd.decode(), 3] for odd in (b"[" * 100_000, b"9" * 400, b"[5]")]
    hosts += [[dumps(ENTRY), 4], [dumps(ENTRY), "4"], [5, 4], None, [dumps(ENTRY)]]
    state = {"key": "k", "value": "e30=", "revision": 5, "hosts": hosts}
    found = decode_state(dumps(state).encode())
    known = [(entry.name, revision) for entry, revision in found.hosts]
    assert known == [("h1", Revision(0, 4))]


@pytest.mark.parametrize("eras", [3, [], [3], [3, 2, 1], [3, "2"], [3, -1], None, "32"])
def test_state_with_odd_eras_is_refused(eras):
    state = {"key": "k", "value": "e30=", "revision": 5, "hosts": [[dumps(ENTRY), 4]]}
    assert decode_state(dumps({**state, "eras": eras}).encode()) is None


@pytest.mark.parametrize("text", [b"9" * 5_000, b"9" * 400], ids=["5000", "400"])
def test_revision_with_too_many_digits_is_refused(text):
    for revision in (text, text + b".1", b"1." + text):
        assert decode_feed_target(encode_feed_target([]) + revision + b",1", 2) is None


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_refusal_does_not_say_that_the_request_has_not_run(value):
    for path in [(), (0,)]:
        odd = with_value(["queue_full", "full", 250], path, value)
        assert ANSWERS[decode_refusal(odd).kind].ran == Ran.UNKNOWN


def test_deeply_nested_updates_are_refused():
    assert decode_updates(b"\x91" * 100_000) is None

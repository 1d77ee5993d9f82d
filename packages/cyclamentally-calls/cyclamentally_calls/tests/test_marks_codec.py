import pytest

from cyclamentally.mark_delivery import MarkUpdate
from cyclamentally.model import CrashMark
from cyclamentally_calls.marks_codec import (
    MAX_BODY_BYTES,
    decode_marks,
    encode_marks,
)
from cyclamentally_testing.odd_values import with_odd_leaves

SAMPLE = [[["0000000000000001", "u1 1000", True]], ["0000000000000002"]]


def test_marks_are_read_back():
    marks = [CrashMark(2**64 - 1, "u1 1000", True), CrashMark(0, "u2 1000", False)]
    update = decode_marks(encode_marks(MarkUpdate(marks, [5])))
    assert update.marks == marks
    assert update.cleared == [5]


def test_odd_values_are_refused_or_read():
    for path, name, body in with_odd_leaves(SAMPLE):
        update = decode_marks(body)
        assert update is None or isinstance(update, MarkUpdate), (path, name)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"[[],[],[]]",
        b'[[["12","u",true]],[]]',
        b'[[["00000000000000zz","u",true]],[]]',
        b'[[["-000000000000001","u",true]],[]]',
        b'[[["0000000000000001","",true]],[]]',
        b'[[["0000000000000001","u",1]],[]]',
        b"[[],[1]]",
        b"[[], []" + b" " * MAX_BODY_BYTES + b"]",
    ],
)
def test_invalid_marks_are_refused(body):
    assert decode_marks(body) is None

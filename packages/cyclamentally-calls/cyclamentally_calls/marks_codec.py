"""Encoding of crash marks that nodes send each other."""

from msgspec.json import encode

from cyclamentally.mark_delivery import MarkUpdate
from cyclamentally.model import CrashMark
from cyclamentally_calls.decoding import (
    InvalidDataError,
    decode_json,
    has_fields,
    is_boolean,
    is_name,
    is_text,
)
from cyclamentally_calls.fingerprint import format_fingerprint

MARKS_TARGET = b"/cyclamentally-peer/marks"
# The marks of all suspects that a node holds take about a quarter of it.
MAX_BODY_BYTES = 1024 * 1024
FINGERPRINT_DIGITS = 16


def encode_marks(update):
    """Return the bytes of a `MarkUpdate`."""
    marks = [
        [format_fingerprint(mark.fingerprint), mark.address, mark.is_repeat]
        for mark in update.marks
    ]
    cleared = [format_fingerprint(fingerprint) for fingerprint in update.cleared]
    return encode([marks, cleared])


def decode_marks(body):
    """Return the `MarkUpdate` of bytes, or None if they are invalid."""
    if len(body) > MAX_BODY_BYTES:
        return None
    try:
        content = decode_json(body)
    except InvalidDataError:
        return None
    if not has_fields(content, (_is_list_of_marks, _is_list_of_fingerprints)):
        return None
    marks, cleared = content
    return MarkUpdate(
        [CrashMark(int(text, 16), crash, repeat) for text, crash, repeat in marks],
        [int(text, 16) for text in cleared],
    )


def _is_fingerprint(value):
    digits = "0123456789abcdef"
    return (
        is_text(value)
        and len(value) == FINGERPRINT_DIGITS
        and all(character in digits for character in value)
    )


def _is_list_of_marks(value):
    fields = (_is_fingerprint, is_name, is_boolean)
    return isinstance(value, list) and all(has_fields(row, fields) for row in value)


def _is_list_of_fingerprints(value):
    return isinstance(value, list) and all(_is_fingerprint(text) for text in value)

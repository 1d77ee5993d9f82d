"""Encoding of messages between nodes: MessagePack, compressed if large."""

from typing import get_type_hints
from zlib import compress, decompressobj, error

from msgspec import DecodeError, MsgspecError, convert
from msgspec.msgpack import decode, encode

from cyclamentally.errors import Done, Kind, Refused
from cyclamentally.message_types import MESSAGE_TYPES
from cyclamentally.records import Record

PLAIN = b"p"
COMPRESSED = b"z"
COMPRESSION_THRESHOLD_BYTES = 1_024
MAX_MESSAGE_BYTES = 8_000_000

_TYPE_CODES = {cls: code for code, cls in enumerate(MESSAGE_TYPES)}
_FIELD_TYPES = {}


def encode_message(message):
    """Return the bytes of a message."""
    body = encode(
        [_TYPE_CODES[type(message)], message.values()], enc_hook=Record.values
    )
    if len(body) >= COMPRESSION_THRESHOLD_BYTES:
        return COMPRESSED + compress(body, 1)
    return PLAIN + body


def decode_message(data):
    """Return ``Done`` with the message, or ``Refused``.

    Every field is validated against the annotations of the message class.
    """
    body = _decompress_body(data)
    if isinstance(body, Refused):
        return body
    try:
        code, values = decode(body.value, type=tuple[int, list])
        if not 0 <= code < len(MESSAGE_TYPES):
            return Refused(Kind.MESSAGE_MALFORMED, f"unknown message type {code}")
        return Done(_build_record(MESSAGE_TYPES[code], values))
    except (DecodeError, MsgspecError, TypeError, ValueError, RecursionError) as reason:
        return Refused(Kind.MESSAGE_MALFORMED, str(reason)[:200])


def _decompress_body(data):
    if len(data) > MAX_MESSAGE_BYTES:
        return Refused(
            Kind.MESSAGE_TOO_LARGE, f"{len(data)} bytes, limit {MAX_MESSAGE_BYTES}"
        )
    if data[:1] == PLAIN:
        return Done(data[1:])
    if data[:1] != COMPRESSED:
        return Refused(Kind.MESSAGE_MALFORMED, f"unknown format byte {data[:1]!r}")
    decompressor = decompressobj()
    try:
        body = decompressor.decompress(data[1:], MAX_MESSAGE_BYTES)
    except error as reason:
        return Refused(Kind.MESSAGE_MALFORMED, str(reason))
    if not decompressor.eof:
        return Refused(
            Kind.MESSAGE_TOO_LARGE,
            f"compressed body is truncated or over {MAX_MESSAGE_BYTES} bytes",
        )
    return Done(body)


def _build_record(cls, values):
    types = _field_types(cls)
    if not isinstance(values, list) or len(values) != len(types):
        raise ValueError(f"{cls.__name__} needs a list of {len(types)} fields")
    pairs = zip(values, types, strict=True)
    return cls(*[convert(value, kind, dec_hook=_build_record) for value, kind in pairs])


def _field_types(cls):
    if cls not in _FIELD_TYPES:
        hints = get_type_hints(cls.__init__)
        _FIELD_TYPES[cls] = [hints[name] for name in cls.__slots__]
    return _FIELD_TYPES[cls]

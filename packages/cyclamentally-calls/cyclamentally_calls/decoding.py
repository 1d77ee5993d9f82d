"""Decoding of data from other processes, which may be faulty, and checks of it."""

from socket import AF_INET, inet_pton

from msgspec import DecodeError
from msgspec.json import decode as decode_json_text
from msgspec.msgpack import decode as decode_msgpack_bytes

# Revisions, versions, times and sequence numbers fit into 64 bits.
MAX_INTEGER = 2**63 - 1
MAX_DIGITS = 18
MAX_NAME_LENGTH = 200
MAX_PORT = 65_535
# An upstream runs each request on a connection of its own from one address.
MAX_SLOTS = 65_535


class InvalidDataError(Exception):
    """Data that cannot be decoded; the text gives the reason."""


def decode_json(data):
    """Return the value of a JSON text.

    Raises
    ------
    InvalidDataError
        It is malformed, nested too deeply, or has a number out of range.
    """
    return _decode(decode_json_text, data)


def decode_msgpack(data, expected_type):
    """Return the value of MessagePack bytes that must have a type.

    Raises
    ------
    InvalidDataError
        They are malformed, nested too deeply, or of another type.
    """
    return _decode(decode_msgpack_bytes, data, type=expected_type)


def _decode(function, data, **options):
    try:
        return function(data, **options)
    except (DecodeError, UnicodeError, RecursionError) as error:
        raise InvalidDataError(str(error)) from error


def parse_digits(text):
    """Return the number of a text of ASCII digits, or None if it is not one.

    Parameters
    ----------
    text : str or bytes
        At most `MAX_DIGITS` characters; longer ones are not numbers.
    """
    if len(text) > MAX_DIGITS or not (text.isascii() and text.isdigit()):
        return None
    return int(text)


def parse_decimal(text):
    """Return the number of a text of ASCII digits with an optional fraction, or None.

    Parameters
    ----------
    text : bytes
        Each part at most `MAX_DIGITS` characters; signs and exponents are invalid.
    """
    whole, point, fraction = text.strip().partition(b".")
    if parse_digits(whole) is None or (point and parse_digits(fraction) is None):
        return None
    return float(whole + point + fraction)


def parse_address(text):
    """Return IP and port of ``IP:port``, or None if one cannot connect to it.

    Host names are invalid: their look-up would block the event loop.
    """
    host, _, digits = text.rpartition(":")
    port = parse_digits(digits)
    if port is None or not 1 <= port <= MAX_PORT:
        return None
    try:
        inet_pton(AF_INET, host)
    except (OSError, ValueError):
        return None
    return host, port


def has_fields(values, checks):
    """Whether a value is a list whose items pass the checks at their positions."""
    if not isinstance(values, list) or len(values) != len(checks):
        return False
    return all(check(value) for check, value in zip(checks, values, strict=True))


def is_integer(value, minimum=0, maximum=MAX_INTEGER):
    """Whether a value is an integer within bounds. Booleans are not integers."""
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return is_number and minimum <= value <= maximum


def is_signed_integer(value):
    """Whether a value is an integer of either sign that fits into 64 bits."""
    return is_integer(value, -MAX_INTEGER)


def is_slots(value):
    """Whether a value is a number of slots."""
    return is_integer(value, 1, MAX_SLOTS)


def is_boolean(value):
    """Whether a value is true or false."""
    return isinstance(value, bool)


def is_text(value):
    """Whether a value is a text."""
    return isinstance(value, str)


def is_name(value):
    """Whether a value is a name: not empty or too long, without control characters."""
    return is_text(value) and 0 < len(value) <= MAX_NAME_LENGTH and value.isprintable()


def is_address(value):
    """Whether a value is ``IP:port`` that one can connect to."""
    return is_text(value) and parse_address(value) is not None

"""Unusual JSON values, for tests of decoders whose sender is not trusted."""

from json import dumps

MARKER = "value to replace"
# JSON texts by name; some of them are malformed.
ODD_VALUES = {
    "nested list": b"[" * 5_000 + b"]" * 5_000,
    "nested objects": b'{"a":' * 5_000 + b"1" + b"}" * 5_000,
    "unclosed lists": b"[" * 100_000,
    "400 digits": b"9" * 400,
    "400 digits below zero": b"-" + b"9" * 400,
    "5000 digits": b"9" * 5_000,
    "beyond 64 bits": b"18446744073709551616",
    "below zero": b"-1",
    "zero": b"0",
    "fraction": b"1.5",
    "largest float": b"1e308",
    "beyond floats": b"1e999",
    "true": b"true",
    "null": b"null",
    "list": b"[]",
    "list in a list": b"[[]]",
    "object": b"{}",
    "empty text": b'""',
    "long text": b'"' + b"x" * 100_000 + b'"',
    "control characters": b'"a\\u0000\\r\\nb"',
    "lone surrogate": b'"\\ud800"',
    "not UTF-8": b'"\xff"',
    "digits that are not ASCII": '"r²١"'.encode(),
    "5000 digits in a text": b'"r' + b"9" * 5_000 + b'"',
}
# Texts in place of an ``IP:port``; a host name must not be looked up.
INVALID_ADDRESSES = [
    "",
    ":",
    ":80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1: 80",
    "127.0.0.1:8\u0660",
    "127.0.0.1\0:80",
    "127.0.0.1\r\nA: b:80",
    "127.1:80",
    "no-such-host.invalid:80",
    "localhost:80",
    "[::1]:80",
    "::1:80",
    "\ud800:80",
]


def leaf_paths(document, path=()):
    """Return the paths of all values in a document that are no containers."""
    if isinstance(document, dict):
        parts = document.items()
    elif isinstance(document, list):
        parts = enumerate(document)
    else:
        return [path]
    return [found for key, part in parts for found in leaf_paths(part, (*path, key))]


def with_value(document, path, value):
    """Return the JSON bytes of a document with another JSON text at a path."""
    marked = dumps(_replace(document, path)).encode()
    return marked.replace(dumps(MARKER).encode(), value)


def with_odd_leaves(document):
    """Return the JSON bytes of copies of a document with one odd value each.

    Returns
    -------
    list
        Triples of path, name of the odd value, and bytes.
    """
    return [
        (path, name, with_value(document, path, value))
        for path in leaf_paths(document)
        for name, value in ODD_VALUES.items()
    ]


def _replace(document, path):
    if not path:
        return MARKER
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = _replace(copy[path[0]], path[1:])
    return copy

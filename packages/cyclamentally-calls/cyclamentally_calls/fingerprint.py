"""Fingerprints of requests: equal for all attempts of the same request."""

from cyclamentally.hashing import hash_bytes

# Requests that differ only in later bytes of their bodies share a fingerprint.
MAX_HASHED_BODY_BYTES = 64 * 1024


def fingerprint_of_request(request):
    """Return the 64-bit hash of a `Request`: its method, host, target and body.

    Only the first `MAX_HASHED_BODY_BYTES` of the body and its length count.
    """
    parts = (
        request.method,
        request.find(b"host").lower(),
        request.target,
        b"%d" % len(request.body),
        request.body[:MAX_HASHED_BODY_BYTES],
    )
    return hash_bytes(b"\n".join(parts))


def format_fingerprint(fingerprint):
    """Return the text of a fingerprint, for logs."""
    return f"{fingerprint:016x}"

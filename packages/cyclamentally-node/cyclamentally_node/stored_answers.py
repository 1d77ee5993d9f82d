"""Conversion of answers stored under idempotency keys for replay."""

from cyclamentally.idempotency import MAX_ANSWER_BYTES
from cyclamentally.model import StoredAnswer
from cyclamentally_calls.http_codec import Response
from cyclamentally_node.caller_request import REPEATED_HEADER


def make_stored_answer(answer):
    """Return the `StoredAnswer` of a `Response`, or None if its body is too large."""
    if len(answer.body) > MAX_ANSWER_BYTES:
        return None
    names = [name.decode("latin-1") for name, _ in answer.headers]
    values = [value.decode("latin-1") for _, value in answer.headers]
    return StoredAnswer(str(answer.status), names, values, answer.body)


def replay_answer(stored):
    """Return the `Response` for a resend of a request that was answered."""
    pairs = zip(stored.header_names, stored.header_values, strict=True)
    headers = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in pairs]
    headers.append((REPEATED_HEADER, b"1"))
    # Nodes of earlier versions store the reason phrase after the status code.
    return Response(int(stored.status.split()[0]), headers, stored.body)

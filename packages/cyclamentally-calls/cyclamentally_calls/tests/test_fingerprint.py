import pytest

from cyclamentally_calls.fingerprint import fingerprint_of_request
from cyclamentally_calls.http_codec import Request

HEADERS = [(b"Host", b"h.example"), (b"X-Request-Id", b"a1")]


def fingerprint(method=b"POST", target=b"/a/1?x=2", headers=HEADERS, body=b"body"):
    return fingerprint_of_request(Request(method, target, headers, body, True, True))


def test_attempts_of_a_request_share_its_fingerprint():
    later = [(b"host", b"H.example"), (b"X-Request-Id", b"b2"), (b"X-Other", b"1")]
    assert fingerprint() == fingerprint(headers=later)


@pytest.mark.parametrize(
    "change",
    [
        {"method": b"PUT"},
        {"target": b"/a/1"},
        {"headers": [(b"Host", b"other.example")]},
        {"body": b"Body"},
        {"body": b"body" + b"\n"},
    ],
)
def test_other_requests_have_other_fingerprints(change):
    assert fingerprint(**change) != fingerprint()

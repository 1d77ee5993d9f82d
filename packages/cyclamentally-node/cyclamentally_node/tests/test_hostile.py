"""Random input: every codec and validator returns Done or Refused."""

from io import BytesIO

import pytest
from cyclamentally_platform.bodies import JsonBodyCodec
from cyclamentally_platform.client import _decode_listing, _decode_response
from cyclamentally_platform.stored import JsonStoredCodec
from hypothesis import given, settings
from hypothesis import strategies as st

from cyclamentally.errors import Done, Refused
from cyclamentally.keys import parse_key
from cyclamentally.profiles import SERVICE_LIMITS, check_profile
from cyclamentally_calls.http_codec import Request
from cyclamentally_node.admin import read_upstream
from cyclamentally_node.caller_request import read_request
from cyclamentally_node.peer_codec import COMPRESSED, PLAIN, decode_message
from cyclamentally_node.settings import DEFAULT_SETTINGS, SettingsReader, is_address
from cyclamentally_testing.odd_values import (
    INVALID_ADDRESSES,
    ODD_VALUES,
    leaf_paths,
    with_value,
)

SETTINGS = settings(max_examples=150, derandomize=True, deadline=None, database=None)
OUTCOME = Done | Refused
BODY = b'{"routes":{},"services":{"a":{}}}'

scalars = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=20)
)
documents = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=10), inner, max_size=4),
    ),
    max_leaves=12,
)
profile_like = st.fixed_dictionaries(
    {},
    optional={
        "services": st.dictionaries(
            st.sampled_from(["a", "b-1", "C", ""]),
            st.dictionaries(st.sampled_from(sorted(SERVICE_LIMITS)), scalars),
        )
        | documents,
        "routes": st.dictionaries(
            st.sampled_from(["/", "/a", "b", "/c d"]),
            st.fixed_dictionaries({"service": scalars | st.just("a")}) | documents,
        )
        | documents,
    },
)
settings_like = st.dictionaries(
    st.sampled_from(sorted({key.split(".")[0] for key in DEFAULT_SETTINGS})),
    st.dictionaries(
        st.sampled_from(sorted({key.split(".")[1] for key in DEFAULT_SETTINGS})),
        documents,
        max_size=5,
    )
    | scalars,
)
bytes_like = st.binary(max_size=300)


@SETTINGS
@given(profile_like | documents)
def test_checker_answers_any_document(document):
    outcome = check_profile("night", document)
    assert isinstance(outcome, OUTCOME)
    if isinstance(outcome, Done):
        services = outcome.value.services
        assert all(rule.service in services for rule in outcome.value.routes)
        for policy in services.values():
            for key, limit in SERVICE_LIMITS.items():
                assert limit.low <= getattr(policy, key) <= limit.high


@SETTINGS
@given(settings_like | st.dictionaries(st.text(), documents))
def test_settings_answer_any_document(document):
    assert isinstance(SettingsReader(document).read(), OUTCOME)


@SETTINGS
@given(bytes_like)
def test_codecs_answer_any_bytes(data):
    codec = JsonBodyCodec()
    outcomes = [
        decode_message(data),
        decode_message(PLAIN + data),
        decode_message(COMPRESSED + data),
        codec.parse(data),
        codec.unpack(data),
        codec.apply_delta(BODY, data),
        codec.apply_delta(BODY, codec.pack(data)),
        JsonStoredCodec(codec).decode("night", data),
    ]
    assert all(isinstance(outcome, OUTCOME) for outcome in outcomes)


@SETTINGS
@given(documents)
def test_codecs_answer_any_json(document):
    codec = JsonBodyCodec()
    try:
        data = codec.canonical(document)
    except ValueError:
        return
    assert isinstance(codec.apply_delta(BODY, codec.pack(data)), OUTCOME)
    assert isinstance(JsonStoredCodec(codec).decode("night", data), OUTCOME)
    environ = {"wsgi.input": BytesIO(data)}
    assert isinstance(read_upstream("10.0.0.1:1", environ), OUTCOME)


@SETTINGS
@given(st.text(max_size=80))
def test_keys_answer_any_text(text):
    assert isinstance(parse_key(text, 1_800_000_000_000), OUTCOME)


@SETTINGS
@given(st.binary(max_size=30), st.binary(max_size=30), st.binary(max_size=50))
def test_requests_answer_any_headers(path, deadline, body):
    headers = [(b"Cyclamentally-Deadline-Ms", deadline), (b"Idempotency-Key", path)]
    request = Request(b"POST", b"/" + path, headers, body, True, True)
    outcome = read_request(request)
    assert isinstance(outcome, OUTCOME)
    if isinstance(outcome, Done):
        assert (outcome.value.deadline_ms or 0) >= 0


def test_deadline_with_too_many_digits_is_refused():
    headers = [(b"Cyclamentally-Deadline-Ms", b"9" * 5_000)]
    request = Request(b"GET", b"/", headers, b"", False, True)
    assert isinstance(read_request(request), Refused)


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_values_are_answered(value):
    codec = JsonStoredCodec(JsonBodyCodec())
    fields = {"version": 1, "deleted": False, "writer": "w", "operation": "o"}
    document = {**fields, "document": {"services": {}}, "recent": [[1, "w", "o"]]}
    for path in [(), *leaf_paths(document), ("document",)]:
        odd = with_value(document, path, value)
        assert isinstance(codec.decode("night", odd), OUTCOME)
        assert isinstance(
            _decode_response(Answer(odd), _decode_listing, False), OUTCOME
        )
        environ = {"wsgi.input": BytesIO(odd)}
        assert isinstance(read_upstream("10.0.0.1:1", environ), OUTCOME)


class Answer:
    """An answer of the platform with status 200."""

    def __init__(self, data):
        self.status = 200
        self.data = data


@pytest.mark.parametrize("address", INVALID_ADDRESSES)
def test_invalid_address_is_none(address):
    assert not is_address(address) or address in ("[::1]:80", "::1:80", "127.0.0.1:0")


def test_stored_version_beyond_64_bits_is_refused():
    fields = {"version": 2**63, "deleted": True, "writer": "w", "operation": "o"}
    codec = JsonStoredCodec(JsonBodyCodec())
    assert isinstance(
        codec.decode("night", codec.body_codec.canonical(fields)), Refused
    )

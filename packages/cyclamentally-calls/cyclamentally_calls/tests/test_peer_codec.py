import pytest
from msgspec.json import decode, encode

from cyclamentally.gate_messages import Load
from cyclamentally_calls.peer_codec import (
    PeerTicket,
    decode_load,
    decode_ticket,
    encode_load,
    encode_ticket,
)


@pytest.fixture
def make_ticket():
    def make(is_repeat):
        return PeerTicket("u1", "shop", "r", 1, 0.3, 1.0, "a:1", 7, is_repeat)

    return make


@pytest.mark.parametrize("is_repeat", [True, False])
def test_ticket_tells_whether_it_is_a_repeat(make_ticket, is_repeat):
    _, value = encode_ticket(make_ticket(is_repeat))
    assert decode_ticket(value).is_repeat is is_repeat


def test_ticket_of_the_first_run_has_the_fields_of_former_builds_only(make_ticket):
    _, value = encode_ticket(make_ticket(False))
    assert len(decode(value)) == 8


def test_ticket_with_fields_of_a_later_build_is_understood(make_ticket):
    _, value = encode_ticket(make_ticket(True))
    later = encode([*decode(value), "later", 4])
    assert decode_ticket(later).is_repeat is True


@pytest.mark.parametrize("share", [0.0, 0.45])
def test_load_names_the_share_of_rejected_requests(share):
    _, value = encode_load(Load(1, 2, 9, 0.1, share))
    assert decode_load(value).shed_share == share


def test_load_of_a_former_build_names_no_share():
    assert decode_load(b"[1,2,9,100]").shed_share == 0.0


@pytest.mark.parametrize("value", [b"", b"[1,2]", b"[1,2,9,100,null]", b'{"a":1}'])
def test_malformed_load_is_no_load(value):
    assert decode_load(value) is None

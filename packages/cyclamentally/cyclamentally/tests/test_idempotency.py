from uuid import UUID

import pytest

from cyclamentally.call_messages import ClaimRequest, ClaimResult
from cyclamentally.effects import Count, PeerMessageRefused
from cyclamentally.errors import Kind
from cyclamentally.idempotency import (
    GRANTED,
    HANDOVER_MS,
    MAX_KEYS,
    REPEATED,
    KeyOwner,
)
from cyclamentally.keys import (
    KEY_WINDOW_MS,
    MAX_CLOCK_SKEW_MS,
    OWNERSHIP_DELAY_MS,
    find_owner,
    parse_key,
)
from cyclamentally.messages import Summary
from cyclamentally.model import MemberRecord, StoredAnswer

START = 1_000_000_000
NOW = START + 100_000
ANSWER = StoredAnswer("200 OK", [], [], b"done")
NODES = ["a", "b", "c", "d", "e"]


def record_of(node, started=START, status="alive", domain="d-1"):
    address = f"10.0.0.{ord(node[0])}:7100"
    return MemberRecord(node, started, status, domain, "r", address, [], started)


def key_at(minted_ms, number=1, home="d-1"):
    value = (minted_ms << 80) | (7 << 76) | (2 << 62) | number
    return f"{home}.{UUID(int=value)}"


def key_owned_by(node, minted_ms, records):
    for number in range(1_000):
        key = key_at(minted_ms, number)
        if find_owner(parse_key(key, minted_ms).value, records).node == node:
            return key
    raise AssertionError("no key found")


def request_of(key, ticket="t1", fingerprint=5):
    summary = Summary("x", "10.0.0.9:7100", "r", 0, 0, 0, True)
    return ClaimRequest(summary, key, fingerprint, ticket, 1_000)


def result_of(key, outcome, ticket="t1", answer=None):
    summary = Summary("x", "10.0.0.9:7100", "r", 0, 0, 0, True)
    return ClaimResult(summary, key, ticket, outcome, answer)


@pytest.fixture
def records():
    return [record_of(node) for node in NODES]


@pytest.fixture
def make_owner(records):
    def make(node):
        owner = KeyOwner(node, "d-1", lambda: None, START)
        owner.update(records, START)
        return owner

    return make


@pytest.fixture
def owner(make_owner):
    return make_owner("a")


@pytest.fixture
def key(records):
    return key_owned_by("a", NOW, records)


def test_first_claim_is_granted_and_a_resend_waits(owner, key):
    assert owner.claim(request_of(key), NOW).kind == GRANTED
    assert owner.claim(request_of(key, "t2"), NOW).kind == Kind.KEY_IN_PROGRESS


def test_answer_is_repeated(owner, key):
    owner.claim(request_of(key), NOW)
    owner.on_result(result_of(key, "answered", answer=ANSWER), NOW)
    verdict = owner.claim(request_of(key, "t2"), NOW)
    assert (verdict.kind, verdict.answer) == (REPEATED, ANSWER)


def test_request_that_did_not_run_may_run_later(owner, key):
    owner.claim(request_of(key), NOW)
    owner.on_result(result_of(key, "not_run"), NOW)
    assert owner.claim(request_of(key, "t2"), NOW).kind == GRANTED


@pytest.mark.parametrize("outcome", ["unknown", None])
def test_unknown_or_missing_result_is_never_run_again(owner, key, outcome):
    owner.claim(request_of(key), NOW)
    if outcome:
        owner.on_result(result_of(key, outcome), NOW)
    later = NOW + 60_000
    owner.tick(later)
    assert owner.claim(request_of(key, "t2"), later).kind == Kind.OUTCOME_UNKNOWN
    owner.on_result(result_of(key, "not_run"), later)
    assert owner.claim(request_of(key, "t2"), later).kind == Kind.OUTCOME_UNKNOWN


def test_late_answer_resolves_a_lost_claim(owner, key):
    owner.claim(request_of(key), NOW)
    owner.tick(NOW + 60_000)
    owner.on_result(result_of(key, "answered", answer=ANSWER), NOW)
    assert owner.claim(request_of(key, "t2"), NOW).kind == REPEATED


@pytest.mark.parametrize("outcome", ["not_run", "answered", "unknown"])
def test_result_of_another_ticket_changes_nothing(owner, key, outcome):
    owner.claim(request_of(key), NOW)
    owner.on_result(result_of(key, outcome, "t0", ANSWER), NOW)
    assert owner.claim(request_of(key, "t2"), NOW).kind == Kind.KEY_IN_PROGRESS


@pytest.mark.parametrize("outcome", ["bogus", "claim", "overdue", ""])
@pytest.mark.parametrize("is_claimed", [True, False], ids=["running", "unclaimed"])
def test_result_with_another_outcome_is_refused(owner, key, outcome, is_claimed):
    """A peer of another build may report an outcome that this node does not know."""
    owner.claim(request_of(key), NOW)
    if not is_claimed:
        owner.on_result(result_of(key, "not_run"), NOW)
    state = owner.claims[key].state
    effects = owner.on_result(result_of(key, outcome, answer=ANSWER), NOW)
    assert [e.name for e in effects if isinstance(e, Count)] == [
        "claim_results_refused_total"
    ]
    assert any(isinstance(e, PeerMessageRefused) for e in effects)
    assert owner.claims[key].state == state


def test_key_of_another_request_is_refused(owner, key):
    owner.claim(request_of(key), NOW)
    assert owner.claim(request_of(key, "t2", 6), NOW).kind == Kind.KEY_REUSED


def test_all_nodes_name_the_same_owner_whatever_their_order(records):
    key = parse_key(key_at(NOW), NOW).value
    assert find_owner(key, records) == find_owner(key, records[::-1])


def test_other_nodes_refuse_the_key(make_owner, key):
    for node in NODES[1:]:
        verdict = make_owner(node).claim(request_of(key), NOW)
        assert verdict.kind == Kind.OWNER_UNREACHABLE


def test_new_node_owns_only_keys_minted_well_after_its_start(records):
    new_node = record_of("f", NOW)
    both = [*records, new_node]
    for number in range(200):
        early = parse_key(
            key_at(NOW + OWNERSHIP_DELAY_MS, number), NOW + OWNERSHIP_DELAY_MS
        ).value
        assert find_owner(early, both) == find_owner(early, records)
    late = NOW + OWNERSHIP_DELAY_MS + 1
    owners = {
        find_owner(parse_key(key_at(late, n), late).value, both).node
        for n in range(200)
    }
    assert "f" in owners


@pytest.mark.parametrize("change", ["dead", "left", "replaced"])
def test_next_owner_does_not_run_what_the_lost_owner_may_have_run(
    make_owner, records, key, change
):
    lost = record_of("a", status=change)
    if change == "replaced":
        lost = record_of("a", started=NOW)
    remaining = [lost, *records[1:]]
    next_owner_node = find_owner(parse_key(key, NOW).value, remaining).node
    next_owner = make_owner(next_owner_node)
    next_owner.update(remaining, NOW + 6_000)
    verdict = next_owner.claim(request_of(key), NOW + 7_000)
    assert verdict.kind == Kind.OUTCOME_UNKNOWN


def test_next_owner_runs_keys_minted_after_the_handover(make_owner, records):
    remaining = [record_of("a", status="dead"), *records[1:]]
    later = NOW + HANDOVER_MS + MAX_CLOCK_SKEW_MS + 1
    key = key_owned_by("b", later, remaining)
    next_owner = make_owner("b")
    next_owner.update(remaining, NOW)
    assert next_owner.claim(request_of(key), later).kind == GRANTED


def test_loss_of_a_node_does_not_touch_keys_of_others(make_owner, records):
    remaining = [record_of("e", status="dead"), *records[:-1]]
    key = key_owned_by("b", NOW, records)
    owner = make_owner("b")
    owner.update(remaining, NOW)
    assert owner.claim(request_of(key), NOW).kind == GRANTED


def test_minority_of_a_domain_grants_nothing(make_owner, records):
    remaining = records[:2] + [record_of(n, status="dead") for n in "cde"]
    later = NOW + HANDOVER_MS + MAX_CLOCK_SKEW_MS + 1
    key = key_owned_by("a", later, remaining)
    owner = make_owner("a")
    owner.update(remaining, NOW)
    assert owner.claim(request_of(key), later).kind == Kind.OWNER_UNREACHABLE


def test_node_that_refuted_its_death_refuses_keys_minted_before(owner, records, key):
    owner.on_refuted(NOW)
    assert owner.claim(request_of(key), NOW).kind == Kind.OUTCOME_UNKNOWN
    later = NOW + HANDOVER_MS + MAX_CLOCK_SKEW_MS + 1
    fresh = key_owned_by("a", later, records)
    assert owner.claim(request_of(fresh), later).kind == GRANTED


def test_key_forgotten_early_is_not_run_again(owner, records, key):
    owner.claim(request_of(key), NOW)
    owner.on_result(result_of(key, "answered"), NOW)
    for number in range(MAX_KEYS):
        entry = parse_key(key_at(NOW + 1, number), NOW + 1).value
        owner.add(entry)
    assert key not in owner.claims
    assert owner.claim(request_of(key, "t2"), NOW).kind == Kind.OUTCOME_UNKNOWN


@pytest.mark.parametrize(
    ("text", "kind"),
    [
        ("", Kind.BAD_KEY),
        ("x", Kind.BAD_KEY),
        ("UP.x", Kind.BAD_KEY),
        ("d-1.00000000-0000-4000-8000-000000000000", Kind.BAD_KEY),
        (key_at(NOW + MAX_CLOCK_SKEW_MS + 1), Kind.BAD_KEY),
        (key_at(NOW - KEY_WINDOW_MS - 1), Kind.OUTCOME_UNKNOWN),
    ],
)
def test_bad_or_old_keys_are_refused(owner, text, kind):
    assert owner.claim(request_of(text), NOW).kind == kind

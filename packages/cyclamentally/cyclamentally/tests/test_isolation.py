from itertools import permutations

import pytest

from cyclamentally.errors import Kind
from cyclamentally.gate import Gate
from cyclamentally.gate_messages import Heartbeat, RefuseWork, StartWork, Ticket
from cyclamentally.model import CrashMark
from cyclamentally.suspects import Suspects, SuspectTable, SuspicionRule

FIRST, SECOND, OTHER = 11, 12, 13
LIFETIME_S = 600.0


@pytest.fixture
def gate():
    gate = Gate()
    gate.on_routes_known()
    gate.on_heartbeat(Heartbeat("u1", "shop", "10.0.0.1:80", 1_000, 1, 4, False), 0.0)
    return gate


@pytest.fixture
def table():
    return SuspectTable(SuspicionRule(3, LIFETIME_S))


def ticket(number, fingerprint, expires=5.0):
    return Ticket(number, "u1", "shop", "r", 1, 4.0, expires, fingerprint=fingerprint)


def started(effects):
    return [e.number for e in effects if isinstance(e, StartWork)]


def refused(effects):
    return {e.number: e.refusal.kind for e in effects if isinstance(e, RefuseWork)}


def suspects(marked=(), quarantined=()):
    return Suspects(frozenset(marked), frozenset(quarantined))


def test_suspects_run_one_at_a_time_beside_other_requests(gate):
    gate.on_suspects(suspects([FIRST, SECOND]), 0.0)
    assert started(gate.admit(ticket(1, FIRST), 0.0)) == [1]
    assert started(gate.admit(ticket(2, SECOND), 0.0)) == []
    assert started(gate.admit(ticket(3, OTHER), 0.0)) == [3]
    assert started(gate.finish(1, True, 0.1)) == [2]


def test_suspect_that_cannot_run_in_time_is_refused_at_once(gate):
    gate.on_suspects(suspects([FIRST, SECOND]), 0.0)
    gate.urgency.service_times.update("r", 0.5)
    gate.admit(ticket(1, FIRST), 0.0)
    gate.admit(ticket(2, SECOND), 0.0)
    effects = gate.admit(ticket(3, FIRST, expires=1.0), 0.0)
    assert refused(effects) == {3: Kind.QUEUE_FULL}


def test_suspended_request_is_refused_whether_it_arrives_or_waits(gate):
    gate.on_suspects(suspects([FIRST, SECOND]), 0.0)
    gate.admit(ticket(1, FIRST), 0.0)
    gate.admit(ticket(2, SECOND), 0.0)
    effects = gate.on_suspects(suspects([FIRST], [SECOND]), 0.1)
    assert refused(effects) == {2: Kind.REQUEST_SUSPENDED}
    effects = gate.admit(ticket(3, SECOND), 0.1)
    assert refused(effects) == {3: Kind.REQUEST_SUSPENDED}
    assert started(gate.admit(ticket(4, OTHER), 0.1)) == [4]


def test_request_without_marks_is_never_suspended(gate):
    gate.on_suspects(suspects([FIRST], [SECOND]), 0.0)
    assert started(gate.admit(ticket(1, None), 0.0)) == [1]


def test_three_ends_with_one_as_the_only_suspect_suspend_in_any_order(table):
    marks = [CrashMark(FIRST, f"u{n}", n == 2) for n in range(3)]
    for order in permutations(marks):
        table.suspects.clear()
        table.add(order[:2], 0.0)
        assert table.present == suspects([FIRST])
        table.add(order[2:], 0.0)
        assert table.present == suspects([], [FIRST])


def test_request_that_is_lost_with_others_each_time_is_not_suspended(table):
    table.add([CrashMark(FIRST, f"u{n}", False) for n in range(9)], 0.0)
    assert table.present == suspects([FIRST])


def test_answer_clears_the_marks(table):
    table.add([CrashMark(FIRST, f"u{n}", True) for n in range(2)], 0.0)
    assert table.clear([FIRST]).fresh == [FIRST]
    table.add([CrashMark(FIRST, "u3", True)], 0.1)
    assert table.present == suspects([FIRST])


def test_marks_end_after_their_lifetime(table):
    table.add([CrashMark(FIRST, f"u{n}", True) for n in range(3)], 0.0)
    assert not table.expire(LIFETIME_S - 1.0)
    assert table.expire(LIFETIME_S)
    assert table.present == suspects()


def test_marks_are_found_by_request(table):
    first, second = CrashMark(FIRST, "u1", True), CrashMark(SECOND, "u1", False)
    table.add([first, second], 0.0)
    assert table.marks_of([FIRST, OTHER]) == [first]
    assert table.marks_of(table.suspects) == [first, second]

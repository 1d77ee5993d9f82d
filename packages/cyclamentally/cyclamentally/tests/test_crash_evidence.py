import pytest

from cyclamentally.crash_evidence import LOSS_MEMORY_S, PROVEN_S, CrashEvidence

NONE = frozenset()
FATAL, FIRST, SECOND = 1, 2, 3


@pytest.fixture
def evidence():
    return CrashEvidence()


def marked(marks):
    return {mark.fingerprint: mark.is_repeat for mark in marks}


def test_all_requests_that_were_lost_together_are_marked_once(evidence):
    for request in (FATAL, FIRST, SECOND):
        evidence.note_loss(request, 10.0)
    marks = evidence.take_marks("u1", NONE, 10.02)
    assert marked(marks) == {FATAL: False, FIRST: False, SECOND: False}
    assert evidence.take_marks("u1", NONE, 10.03) == []


def test_popular_request_that_upstreams_answer_is_not_marked(evidence):
    evidence.note_answer(FIRST, 5.0)
    evidence.note_loss(FATAL, 10.0)
    evidence.note_loss(FIRST, 10.0)
    assert marked(evidence.take_marks("u1", NONE, 10.02)) == {FATAL: False}


def test_answer_that_is_too_long_ago_proves_nothing(evidence):
    evidence.note_answer(FIRST, 5.0)
    evidence.note_loss(FIRST, 5.0 + PROVEN_S)
    assert FIRST in marked(evidence.take_marks("u1", NONE, 5.0 + PROVEN_S))


def test_request_lost_before_the_end_of_the_upstream_is_not_marked(evidence):
    evidence.note_loss(FIRST, 9.0)
    evidence.note_loss(FATAL, 10.0)
    assert marked(evidence.take_marks("u1", NONE, 10.02)) == {FATAL: False}


def test_losses_are_forgotten_if_the_upstream_does_not_end(evidence):
    evidence.note_loss(FIRST, 10.0)
    assert evidence.take_marks("u1", NONE, 10.0 + LOSS_MEMORY_S) == []


def test_only_suspect_among_the_lost_counts_as_a_repeat(evidence):
    for request in (FATAL, FIRST):
        evidence.note_loss(request, 10.0)
    marks = evidence.take_marks("u1", frozenset({FATAL}), 10.02)
    assert marked(marks) == {FATAL: True, FIRST: False}


def test_suspects_that_were_lost_together_do_not_count_as_repeats(evidence):
    for request in (FATAL, FIRST):
        evidence.note_loss(request, 10.0)
    marks = evidence.take_marks("u1", frozenset({FATAL, FIRST}), 10.02)
    assert marked(marks) == {FATAL: False, FIRST: False}


def test_memory_for_answers_is_bounded(evidence, monkeypatch):
    monkeypatch.setattr("cyclamentally.crash_evidence.MAX_PROVEN", 2)
    for request in (FATAL, FIRST, SECOND):
        evidence.note_answer(request, 1.0)
    assert list(evidence.proven) == [FIRST, SECOND]

import pytest

from cyclamentally.mark_delivery import MAX_QUEUED, MarkDelivery, MarkUpdate
from cyclamentally.model import CrashMark


@pytest.fixture
def delivery():
    return MarkDelivery("10.0.0.1:1")


def update(*numbers):
    return MarkUpdate([CrashMark(n, "u1", False) for n in numbers])


def sent(effects):
    return [[mark.fingerprint for mark in effect.update.marks] for effect in effects]


def test_one_message_at_a_time_carries_all_that_was_queued(delivery):
    assert sent(delivery.fire("share", update(1))) == [[1]]
    assert sent(delivery.fire("share", update(2))) == []
    assert sent(delivery.fire("share", update(3))) == []
    assert sent(delivery.fire("answered")) == [[2, 3]]
    assert sent(delivery.fire("answered")) == []
    assert delivery.state == "idle"


def test_lost_message_is_sent_again_before_later_marks(delivery):
    delivery.fire("share", update(1))
    delivery.fire("share", update(2))
    assert sent(delivery.fire("failed")) == []
    assert sent(delivery.fire("retry")) == [[1, 2]]
    assert sent(delivery.fire("retry")) == []


def test_marks_for_a_node_that_does_not_answer_are_bounded(delivery):
    for number in range(MAX_QUEUED + 5):
        delivery.fire("share", update(number))
        delivery.fire("failed")
    assert len(delivery.queued.marks) == MAX_QUEUED
    assert delivery.queued.marks[-1].fingerprint == MAX_QUEUED + 4

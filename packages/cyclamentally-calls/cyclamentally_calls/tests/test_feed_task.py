import pytest

from cyclamentally.feed_log import FeedUpdate
from cyclamentally.feeds import Feed
from cyclamentally.revisions import Revision
from cyclamentally.store_outcomes import StoredItem
from cyclamentally_calls.call_events import (
    FeedRequest,
    ItemsChanged,
    PeerReply,
    ShutdownStarted,
    SourceChanged,
)
from cyclamentally_calls.counters import Counters
from cyclamentally_calls.feed_codec import decode_updates, encode_feed_target
from cyclamentally_calls.feed_task import HOLD_S, FeedTask
from cyclamentally_calls.http_codec import Request
from cyclamentally_calls.loop import Task


def update(number, is_listing, value, written, era=1):
    item = StoredItem("c/x", value, Revision(era, written))
    return FeedUpdate("c/", Revision(era, number), is_listing, [item])


LISTING = update(10, True, b"old", 4)
CHANGE = update(11, False, b"new", 11)
# The store came back from a copy.
RESTORED = update(5, True, b"old", 4, 2)


class Recorder(Task):
    """Keeps the messages that it receives."""

    def __init__(self):
        self.messages = []

    def start(self):
        pass

    def close(self):
        pass

    def receive(self, message):
        self.messages.append(message)


class Exchange:
    """A follower's request."""

    def __init__(self, target):
        self.request = Request(b"GET", target, [], b"", False, True)


@pytest.fixture
def store():
    return Recorder()


@pytest.fixture
def gate():
    return Recorder()


@pytest.fixture
def task(loop, store):
    feed = Feed("h1", "d1")
    task = FeedTask(loop, feed, ["c/", "h/"], 1.0, store, Counters(), None)
    task.start()
    yield task
    task.close()


@pytest.fixture
def ask(task, gate):
    def make(*revisions):
        target = encode_feed_target([Revision(1, number) for number in revisions])
        request = FeedRequest(gate, Exchange(target))
        task.receive(request)
        return request

    return make


@pytest.fixture
def bodies(gate, pump):
    def received():
        pump.for_s(0.01)
        assert all(isinstance(message, PeerReply) for message in gate.messages)
        return [message.body for message in gate.messages]

    return received


def become_source(task):
    task.receive(ItemsChanged(LISTING))
    task.receive(SourceChanged(True))


def test_follower_that_is_behind_is_answered_at_once(task, ask, bodies):
    become_source(task)
    ask(3, 0)
    (body,) = bodies()
    assert decode_updates(body) == [LISTING]


def test_request_is_held_until_a_change(task, ask, bodies):
    become_source(task)
    ask(10, 0)
    assert bodies() == []
    task.receive(ItemsChanged(CHANGE))
    (body,) = bodies()
    (update,) = decode_updates(body)
    assert [change.value for change in update.changes] == [b"new"]


def test_follower_hears_at_once_that_the_store_was_restored(task, ask, bodies):
    become_source(task)
    ask(10, 0)
    task.receive(ItemsChanged(RESTORED))
    ask(10, 0)
    assert [decode_updates(body) for body in bodies()] == [[RESTORED], [RESTORED]]


def test_request_without_changes_is_answered_in_time(task, ask, bodies, pump):
    become_source(task)
    ask(10, 0)
    pump.for_s(HOLD_S + 0.05)
    (body,) = bodies()
    assert decode_updates(body) == []


@pytest.mark.parametrize("message", [SourceChanged(False), ShutdownStarted(1.0, 2.0)])
def test_relay_that_is_no_source_any_more_refuses_its_followers(
    task, ask, bodies, message
):
    become_source(task)
    ask(10, 0)
    task.receive(message)
    ask(3, 0)
    assert bodies() == [b"", b""]


def test_relay_that_starts_answers_once_it_is_a_source(task, ask, bodies):
    """After a failure of the whole fleet, relays and followers start together."""
    ask(0, 0)
    assert bodies() == []
    become_source(task)
    (body,) = bodies()
    assert decode_updates(body) == [LISTING]


def test_relay_that_does_not_become_a_source_refuses(task, ask, bodies, pump):
    ask(0, 0)
    pump.for_s(HOLD_S + 0.05)
    assert bodies() == [b""]


def test_malformed_request_is_refused(task, ask, bodies):
    become_source(task)
    ask(1)
    assert bodies() == [b""]

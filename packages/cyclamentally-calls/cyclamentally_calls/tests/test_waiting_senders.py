"""Senders of messages get a reply from a task that fails to handle them."""

import pytest

from cyclamentally.errors import Kind
from cyclamentally.feed_log import FeedUpdate
from cyclamentally.feeds import Feed
from cyclamentally.hosts import HostEntry, UpstreamEntry
from cyclamentally.revisions import Revision
from cyclamentally.store_outcomes import StoredItem
from cyclamentally_calls import feed_task
from cyclamentally_calls.call_events import (
    FeedRequest,
    HostsReplaced,
    IdleQuery,
    IdleReply,
    ItemsChanged,
    ItemsRelayed,
    Offer,
    OfferDone,
    PeerReply,
    PeerStateRequest,
    SourceChanged,
    StoreLeft,
    StoreResumed,
)
from cyclamentally_calls.client_connection import ConnectionPool
from cyclamentally_calls.counters import Counters
from cyclamentally_calls.feed_codec import decode_updates, encode_feed_target
from cyclamentally_calls.feed_task import HOLD_S, TICK_S, FeedTask
from cyclamentally_calls.http_codec import Request, Response
from cyclamentally_calls.loop import Loop, Task
from cyclamentally_calls.outcomes import Answered

ITEM = StoredItem("c/x", b"new", Revision(1, 11))


class Recorder(Task):
    """Keeps its messages, and raises for those of one type."""

    def __init__(self, failing=()):
        self.messages = []
        self.failing = failing

    def start(self):
        pass

    def close(self):
        pass

    def receive(self, message):
        if isinstance(message, self.failing):
            raise RuntimeError("unexpected")
        self.messages.append(message)

    def write(self, event, **fields):
        """Stand in for the log."""


class Exchange:
    """A follower's request."""

    def __init__(self, *revisions):
        target = encode_feed_target([Revision(1, n) for n in revisions])
        self.request = Request(b"GET", target, [], b"", False, True)


@pytest.fixture
def loop():
    loop = Loop(on_error=lambda error, **fields: None)
    yield loop
    loop.close()


@pytest.fixture
def sender():
    return Recorder()


@pytest.fixture
def store():
    return Recorder((ItemsRelayed, PeerStateRequest))


@pytest.fixture
def feed(loop, store):
    task = FeedTask(
        loop, Feed("h1", "d1"), ["c/", "h/"], 1.0, store, Counters(), Recorder()
    )
    task.start()
    yield task
    task.close()


@pytest.fixture
def following(loop, feed, store, monkeypatch):
    """A feed task that follows a relay, whose node cannot be reached."""
    upstream = UpstreamEntry("u", "shop", 4, False)
    entries = [
        HostEntry(f"h{n}", "d1", "r1", "127.0.0.1:9", upstream) for n in range(1, 40)
    ]
    monkeypatch.setattr(ConnectionPool, "send", lambda *arguments: None)
    feed.receive(ItemsChanged(FeedUpdate("c/", Revision(1, 10), True, [])))
    feed.receive(HostsReplaced({"shop": entries}))
    loop.run_once(0.0)
    assert feed.feed.state == "following"
    return feed


@pytest.mark.parametrize(
    ("make", "reply"),
    [
        (lambda sender: PeerStateRequest(sender, "x"), PeerReply("x", b"")),
        (lambda sender: FeedRequest(sender, "x"), PeerReply("x", b"")),
        (IdleQuery, IdleReply(False)),
    ],
    ids=["state", "feed", "idle"],
)
def test_sender_is_answered_if_the_receiver_raises(loop, sender, make, reply):
    loop.post(Recorder(object), make(sender))
    loop.run_once(0.0)
    assert sender.messages == [reply]


def test_offer_is_refused_as_not_run_if_the_gate_raises(loop, sender):
    loop.post(Recorder(Offer), Offer(7, sender, None, None))
    loop.run_once(0.0)
    (done,) = sender.messages
    assert isinstance(done, OfferDone) and done.number == 7
    assert done.outcome.kind == Kind.INTERNAL_ERROR_NOT_RUN


def test_held_requests_are_answered_if_the_answer_to_one_raises(
    loop, feed, sender, pump, monkeypatch
):
    feed.receive(ItemsChanged(FeedUpdate("c/", Revision(1, 10), True, [])))
    feed.receive(SourceChanged(True))
    for revisions in ((10, 0), (10, 1)):
        feed.receive(FeedRequest(sender, Exchange(*revisions)))
    encode = feed_task.encode_updates
    calls = []

    def fail_once(updates):
        calls.append(updates)
        if len(calls) == 1:
            raise RuntimeError("unexpected")
        return encode(updates)

    monkeypatch.setattr(feed_task, "encode_updates", fail_once)
    loop.post(feed, ItemsChanged(FeedUpdate("c/", Revision(1, 11), False, [ITEM])))
    pump.for_s(HOLD_S + 0.1)
    first, second = [decode_updates(message.body) for message in sender.messages]
    assert [update.revision for update in first] == [Revision(1, 11)]
    assert second == []


def test_held_request_is_refused_if_its_reply_raises(
    loop, feed, sender, pump, monkeypatch
):
    feed.receive(SourceChanged(True))
    feed.receive(FeedRequest(sender, Exchange(0, 0)))
    monkeypatch.delattr(feed_task, "encode_updates")
    pump.for_s(HOLD_S + 0.1)
    assert [message.body for message in sender.messages] == [b""]


def test_relay_is_left_if_its_items_cannot_be_applied(loop, following, store):
    """They would be known here, and not in force, until the next change."""
    loop.post(
        store, ItemsRelayed(following, FeedUpdate("c/", Revision(1, 11), False, [ITEM]))
    )
    loop.run_once(0.0)
    assert following.feed.state == "watching"
    assert [type(message) for message in store.messages] == [StoreLeft, StoreResumed]


def test_relay_is_left_if_handling_its_answer_raises(
    loop, following, store, pump, monkeypatch
):
    monkeypatch.delattr(feed_task, "decode_updates")
    response = Response(200, [], b"")
    loop.call_after(0.0, lambda: following.outgoing.finish(Answered(response)))
    pump.for_s(TICK_S + 0.1)
    assert StoreResumed in [type(message) for message in store.messages]

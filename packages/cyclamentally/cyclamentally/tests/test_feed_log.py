from random import Random

import pytest

from cyclamentally.feed_log import FeedLog, FeedUpdate
from cyclamentally.store_outcomes import RemovedKey, StoredItem


def item(key, revision):
    return StoredItem(key, b"%d" % revision, revision)


@pytest.fixture
def log():
    log = FeedLog("p/", 3)
    log.apply(FeedUpdate("p/", 10, True, [item("p/a", 4), item("p/b", 9)]))
    return log


def test_complete_node_gets_nothing(log):
    assert log.since(10) is None
    assert log.since(99) is None


def test_node_behind_the_listing_gets_a_listing(log):
    update = log.since(9)
    assert update.is_listing
    assert [change.key for change in update.changes] == ["p/a", "p/b"]


def test_node_behind_gets_the_later_changes_in_order(log):
    log.apply(FeedUpdate("p/", 11, False, [item("p/a", 11)]))
    log.apply(FeedUpdate("p/", 13, False, [RemovedKey("p/b", 12), item("p/c", 13)]))
    update = log.since(11)
    assert not update.is_listing
    assert update.revision == 13
    assert [change.revision for change in update.changes] == [12, 13]


def test_node_behind_the_kept_changes_gets_a_listing(log):
    for revision in range(11, 16):
        log.apply(FeedUpdate("p/", revision, False, [item("p/a", revision)]))
    assert log.since(11).is_listing
    assert not log.since(12).is_listing


def test_log_without_changes_always_gives_listings():
    log = FeedLog("p/", 0)
    log.apply(FeedUpdate("p/", 10, True, [item("p/a", 4)]))
    log.apply(FeedUpdate("p/", 11, False, [item("p/a", 11)]))
    assert log.since(10) == FeedUpdate("p/", 11, True, [item("p/a", 11)])


def test_equal_listing_is_not_sent_again(log):
    """A relay lists all items anew whenever the store has failed."""
    same = [item("p/a", 4), item("p/b", 9)]
    assert not log.apply(FeedUpdate("p/", 20, True, same))
    assert log.since(10) is None


def test_older_update_is_ignored(log):
    assert not log.apply(FeedUpdate("p/", 9, True, []))
    assert set(log.items) == {"p/a", "p/b"}


@pytest.mark.parametrize("seed", range(20))
def test_followers_have_the_same_items_whatever_they_missed(seed):
    """A removal is never undone and no item is older, over random histories."""
    random = Random(seed)
    relay, follower = FeedLog("p/", 5), FeedLog("p/", 5)
    store, revision = {}, 10
    relay.apply(FeedUpdate("p/", revision, True, []))
    for _ in range(200):
        changes = []
        for _ in range(random.randrange(4)):
            revision += 1
            key = f"p/{random.randrange(6)}"
            if store.pop(key, None) is None or random.random() < 0.5:
                store[key] = item(key, revision)
                changes.append(store[key])
            else:
                changes.append(RemovedKey(key, revision))
        if random.random() < 0.1:
            relay.apply(FeedUpdate("p/", revision, True, list(store.values())))
        elif changes:
            relay.apply(FeedUpdate("p/", revision, False, changes))
        if random.random() < 0.3:
            update = relay.since(follower.revision)
            if update is not None:
                follower.apply(update)
            assert follower.items == store

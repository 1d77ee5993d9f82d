from random import Random

import pytest

from cyclamentally.feed_log import FeedLog, FeedUpdate
from cyclamentally.revisions import Revision
from cyclamentally.store_outcomes import RemovedKey, StoredItem


def at(number, era=1):
    return Revision(era, number)


def item(key, number, era=1):
    return StoredItem(key, b"%d" % number, at(number, era))


def update(number, is_listing, changes, era=1):
    return FeedUpdate("p/", at(number, era), is_listing, changes)


@pytest.fixture
def log():
    log = FeedLog("p/", 3)
    log.apply(update(10, True, [item("p/a", 4), item("p/b", 9)]))
    return log


def test_complete_node_gets_nothing(log):
    assert log.since(at(10)) is None
    assert log.since(at(99)) is None


def test_node_behind_the_listing_gets_a_listing(log):
    missed = log.since(at(9))
    assert missed.is_listing
    assert [change.key for change in missed.changes] == ["p/a", "p/b"]


def test_node_behind_gets_the_later_changes_in_order(log):
    log.apply(update(11, False, [item("p/a", 11)]))
    log.apply(update(13, False, [RemovedKey("p/b", at(12)), item("p/c", 13)]))
    missed = log.since(at(11))
    assert not missed.is_listing
    assert missed.revision == at(13)
    assert [change.revision.number for change in missed.changes] == [12, 13]


def test_node_behind_the_kept_changes_gets_a_listing(log):
    for revision in range(11, 16):
        log.apply(update(revision, False, [item("p/a", revision)]))
    assert log.since(at(11)).is_listing
    assert not log.since(at(12)).is_listing


def test_log_without_changes_always_gives_listings():
    log = FeedLog("p/", 0)
    log.apply(update(10, True, [item("p/a", 4)]))
    log.apply(update(11, False, [item("p/a", 11)]))
    assert log.since(at(10)) == update(11, True, [item("p/a", 11)])


def test_equal_listing_is_not_sent_again(log):
    """A relay lists all items anew whenever the store has failed."""
    same = [item("p/a", 4), item("p/b", 9)]
    assert not log.apply(update(20, True, same))
    assert log.since(at(10)) is None


def test_older_update_is_ignored(log):
    assert not log.apply(update(9, True, []))
    assert set(log.items) == {"p/a", "p/b"}


def test_lower_revision_of_a_later_era_replaces_all_items(log):
    assert log.apply(update(6, True, [item("p/a", 4, 2)], 2))
    missed = log.since(at(10))
    assert missed.is_listing
    assert missed.revision == at(6, 2)
    assert [change.key for change in missed.changes] == ["p/a"]
    log.apply(update(7, False, [item("p/c", 7, 2)], 2))
    assert [change.key for change in log.since(at(6, 2)).changes] == ["p/c"]


def test_update_of_an_earlier_era_is_ignored(log):
    log.apply(update(6, True, [item("p/a", 4, 2)], 2))
    assert not log.apply(update(11, False, [item("p/b", 11)]))
    assert set(log.items) == {"p/a"}


@pytest.mark.parametrize("seed", range(20))
def test_followers_have_the_same_items_whatever_they_missed(seed):
    """A removal is never undone and no item is older, over random histories."""
    random = Random(seed)
    relay, follower = FeedLog("p/", 5), FeedLog("p/", 5)
    store, revision, era = {}, 10, 1
    copy = (store, revision)
    relay.apply(update(revision, True, []))
    for _ in range(200):
        changes = []
        if random.random() < 0.05:
            copy = (dict(store), revision)
        if random.random() < 0.03:
            (store, revision), era = copy, era + 1
            store = {
                key: StoredItem(key, kept.value, at(kept.revision.number, era))
                for key, kept in store.items()
            }
            relay.apply(update(revision, True, list(store.values()), era))
        for _ in range(random.randrange(4)):
            revision += 1
            key = f"p/{random.randrange(6)}"
            if store.pop(key, None) is None or random.random() < 0.5:
                store[key] = item(key, revision, era)
                changes.append(store[key])
            else:
                changes.append(RemovedKey(key, at(revision, era)))
        if random.random() < 0.1:
            relay.apply(update(revision, True, list(store.values()), era))
        elif changes:
            relay.apply(update(revision, False, changes, era))
        if random.random() < 0.3:
            missed = relay.since(follower.revision)
            if missed is not None:
                follower.apply(missed)
            assert follower.items == store

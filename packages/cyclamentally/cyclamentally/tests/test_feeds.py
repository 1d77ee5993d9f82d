import pytest

from cyclamentally.feeds import (
    AVOID_S,
    MIN_DOMAIN_HOSTS,
    MIN_RELAYS,
    MIN_STAY_S,
    AskRelay,
    Feed,
    FollowRelay,
    WatchStore,
)
from cyclamentally.hashing import rank_by_rendezvous
from cyclamentally.hosts import HostEntry, UpstreamEntry

SETTLED = MIN_STAY_S + 0.1


def entries(count, domain="d1"):
    upstream = UpstreamEntry("u", "shop", 4, False)
    names = [f"{domain}-h{number}" for number in range(count)]
    return [HostEntry(n, domain, "r1", f"{n}:1", upstream) for n in names]


def make_feed(name, hosts):
    feed = Feed(name, "d1")
    feed.update_hosts(hosts)
    feed.on_listing()
    return feed


def types(effects):
    return [type(effect) for effect in effects]


@pytest.fixture
def hosts():
    return entries(20)


@pytest.fixture
def follower(hosts):
    """A feed of a host that is no relay, in the state ``following``."""
    feeds = [make_feed(host.name, hosts) for host in hosts]
    feed = next(feed for feed in feeds if not feed.is_relay)
    effects = feed.check(SETTLED)
    assert FollowRelay in types(effects)
    assert AskRelay in types(effects)
    return feed


@pytest.mark.parametrize("count", [MIN_DOMAIN_HOSTS, 12, 24, 60, 380])
def test_each_domain_has_a_few_relays_that_share_the_followers(count):
    hosts = entries(count)
    feeds = [make_feed(host.name, hosts) for host in hosts]
    relays = [feed for feed in feeds if feed.is_relay]
    assert len(relays) == max(MIN_RELAYS, -(-count // 12))
    followed = [next(iter(feed.relays)) for feed in feeds if not feed.is_relay]
    assert max(followed.count(name) for name in followed) <= 24


def test_relays_follow_no_one_and_nodes_of_small_domains_neither(hosts):
    relay = next(f for f in (make_feed(h.name, hosts) for h in hosts) if f.is_relay)
    assert relay.check(SETTLED) == []
    small = entries(MIN_DOMAIN_HOSTS - 1) + entries(30, "d2")
    for host in small[: MIN_DOMAIN_HOSTS - 1]:
        assert make_feed(host.name, small).check(SETTLED) == []


def test_store_is_watched_until_the_hosts_have_been_listed(hosts):
    feed = Feed("d1-new", "d1")
    feed.update_hosts(hosts)
    assert feed.check(SETTLED) == []
    feed.on_listing()
    assert FollowRelay in types(feed.check(SETTLED))


def test_failed_relay_is_left_for_the_store_and_avoided(follower):
    failed = follower.relay.name
    effects = follower.on_failure("no answer", 2.0)
    assert WatchStore in types(effects)
    assert follower.state == "watching"
    assert follower.check(2.1) == []
    follower.check(2.0 + SETTLED)
    assert follower.state == "following"
    assert follower.relay.name != failed


def test_store_is_watched_while_all_relays_are_avoided(follower):
    now = 2.0
    for _ in range(MIN_RELAYS):
        follower.on_failure("no answer", now)
        now += SETTLED
        follower.check(now)
    assert follower.state == "watching"
    follower.check(now + AVOID_S)
    assert follower.state == "following"


def test_relay_that_leaves_is_replaced_without_calls_to_the_store(follower, hosts):
    left = follower.relay.name
    follower.update_hosts([host for host in hosts if host.name != left])
    effects = follower.check(3.0)
    assert AskRelay in types(effects)
    assert WatchStore not in types(effects)
    assert follower.relay.name != left


def test_follower_that_becomes_a_relay_watches_the_store(hosts):
    ranked = rank_by_rendezvous("relay", [host.name for host in hosts])
    feed = make_feed(ranked[MIN_RELAYS], hosts)
    feed.check(SETTLED)
    assert feed.state == "following"
    feed.update_hosts([host for host in hosts if host.name != ranked[0]])
    assert WatchStore in types(feed.check(3.0))
    assert feed.state == "watching"


def test_follower_in_a_domain_that_has_shrunk_watches_the_store(follower, hosts):
    follower.update_hosts(hosts[: MIN_DOMAIN_HOSTS - 1])
    assert WatchStore in types(follower.check(3.0))
    assert follower.state == "watching"


def test_next_changes_are_requested_after_an_answer(follower):
    assert types(follower.on_answer(2.0)) == [AskRelay]


def test_late_answer_of_a_relay_that_was_left_is_ignored(follower):
    follower.on_failure("no answer", 2.0)
    assert follower.on_answer(2.1) == []
    assert follower.on_failure("late", 2.1) == []


def test_node_that_restarts_follows_a_relay_at_once(hosts):
    feeds = [make_feed(host.name, hosts) for host in hosts]
    feed = next(feed for feed in feeds if not feed.is_relay)
    assert FollowRelay in types(feed.check(0.01))

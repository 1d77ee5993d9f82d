from collections import Counter
from random import Random

import pytest

from cyclamentally.routes import (
    DEFAULT_LIMITS,
    Destination,
    RequestKind,
    RouteRule,
    RouteTable,
    WeightedRoundRobin,
)


def make_rule(prefix="/a/", weights=(("shop", 1),), name="r"):
    parts = tuple(Destination(service, weight) for service, weight in weights)
    return RouteRule(name, "h", prefix, parts, RequestKind.IDEMPOTENT, 1.0, 0.3, 2, 1)


@pytest.fixture
def round_robin():
    return WeightedRoundRobin(Random(1))


@pytest.mark.parametrize("weights", [(1, 1), (90, 10), (5, 3, 2)])
def test_each_part_of_a_split_gets_its_share(round_robin, weights):
    rule = make_rule(weights=[(f"s{n}", weight) for n, weight in enumerate(weights)])
    chosen = Counter(round_robin.choose(rule) for _ in range(1_000))
    for number, weight in enumerate(weights):
        share = 1_000 * weight / sum(weights)
        assert abs(chosen[f"s{number}"] - share) <= len(weights)


def test_changed_split_drops_the_old_weights(round_robin):
    round_robin.choose(make_rule(weights=[("s0", 1), ("s1", 1)]))
    only = make_rule(weights=[("s2", 1), ("s3", 3)])
    assert Counter(round_robin.choose(only) for _ in range(4)).keys() <= {"s2", "s3"}


@pytest.mark.parametrize(
    ("path", "found"),
    [("/a/x", "/a/"), ("/a/b/x", "/a/b/"), ("/a/bc", "/a/"), ("/b/", None)],
)
def test_the_longest_prefix_selects_the_route(path, found):
    rules = {prefix: make_rule(prefix) for prefix in ("/a/", "/a/b/")}
    table = RouteTable(1, {"h": rules}, {}, DEFAULT_LIMITS)
    rule = table.find("h", path)
    assert (rule and rule.prefix) == found
    assert table.find("other", path) is None

import pytest

from cyclamentally.store_health import (
    MIN_PEER_INTERVAL_S,
    PeerFallback,
    StoreHealth,
)

IN_FORCE_S = 2.0


@pytest.fixture
def health():
    health = StoreHealth()
    health.answered(0.0)
    return health


@pytest.fixture
def fallback():
    return PeerFallback(IN_FORCE_S)


def test_another_node_is_asked_at_once_while_the_store_is_away(fallback, health):
    health.failed("reset")
    assert fallback.should_ask(8, 7, health, 10.0)
    assert not fallback.should_ask(8, 7, health, 10.0 + MIN_PEER_INTERVAL_S / 2)
    assert fallback.should_ask(8, 7, health, 10.0 + MIN_PEER_INTERVAL_S)


@pytest.mark.parametrize("known", [6, 7])
def test_node_without_a_newer_version_is_not_asked(fallback, health, known):
    health.failed("reset")
    assert not fallback.should_ask(known, 7, health, 10.0)


def test_available_store_has_time_to_report_a_newer_version(fallback, health):
    """After that, it may have come back from a copy without the version."""
    assert not fallback.should_ask(8, 7, health, 10.0)
    assert not fallback.should_ask(8, 7, health, 10.0 + IN_FORCE_S - 0.1)
    assert fallback.should_ask(8, 7, health, 10.0 + IN_FORCE_S)


def test_node_that_keeps_up_asks_no_other(fallback, health):
    """In a series of versions it is always behind, but never for long."""
    for step in range(10):
        now = 10.0 + 0.7 * step
        assert not fallback.should_ask(8 + step, 7 + step, health, now)


def test_restored_store_counts_as_available_from_then_on(health):
    health.restored(5.0)
    assert health.available_since == 5.0
    health.failed("reset")
    health.restored(6.0)
    assert health.available_since is None

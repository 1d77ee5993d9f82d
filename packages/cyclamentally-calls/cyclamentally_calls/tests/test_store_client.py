import pytest

from cyclamentally.store_outcomes import LeaseKept, StoreCall, StoreFailed
from cyclamentally_calls.counters import Counters
from cyclamentally_calls.http_codec import Response
from cyclamentally_calls.outcomes import Answered, Lost
from cyclamentally_calls.store_client import StoreClient

OK = 200


class Pool:
    """Keeps the requests for the test to answer."""

    def __init__(self):
        self.sent = []

    def send(self, address, outgoing, deadline):
        self.sent.append(outgoing)

    def close(self):
        pass


class Dialect:
    """Reads the era from the body."""

    def read_era(self, response):
        return int(response.body)


class Log:
    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))


def decode(response):
    return LeaseKept() if response.status == OK else StoreFailed("busy")


CALL = StoreCall(b"POST", b"/keep/1", b"", decode)


class Owner:
    """Makes calls and keeps what the client reports."""

    def __init__(self, loop):
        self.outcomes = []
        self.reports = []
        self.client = StoreClient(
            loop,
            "127.0.0.1:9",
            Dialect(),
            Counters(),
            Log(),
            lambda: self.reports.append("recovery"),
            lambda known, source: self.reports.append((known, source)),
        )
        self.client.pool.close()
        self.client.pool = Pool()

    def call(self):
        self.client.call(CALL, self.outcomes.append)
        return self.client.pool.sent[-1]

    def answer(self, outgoing, era, status=OK):
        outgoing.finish(Answered(Response(status, [], b"%d" % era)))


@pytest.fixture
def owner(loop):
    """An owner whose client has had an answer of era 4."""
    owner = Owner(loop)
    owner.answer(owner.call(), 4)
    assert owner.reports == ["recovery"]
    owner.reports.clear()
    owner.outcomes.clear()
    return owner


def test_answers_of_the_same_era_are_reported(owner):
    owner.answer(owner.call(), 4)
    assert owner.outcomes == [LeaseKept()]
    assert owner.reports == []


def test_rise_of_the_era_is_reported_once_and_its_answer_is_not_used(owner):
    """The call may have been meant for what the store held before."""
    calls = [owner.call(), owner.call()]
    owner.answer(calls[0], 6)
    assert owner.reports == [(4, "store")]
    assert owner.outcomes == []
    owner.answer(calls[1], 6)
    assert owner.reports == [(4, "store")]
    assert owner.client.counters.sums["store_restores_total", "store"] == 1


def test_late_answer_of_an_earlier_era_has_failed(owner):
    early, late = owner.call(), owner.call()
    owner.answer(late, 5)
    owner.answer(early, 4)
    (outcome,) = owner.outcomes
    assert isinstance(outcome, StoreFailed)
    assert owner.client.era == 5


def test_refusal_tells_no_era(owner):
    """Whoever refuses in the place of the store may not know it."""
    owner.answer(owner.call(), 9, 503)
    owner.call().finish(Lost("reset"))
    assert owner.client.era == 4
    assert owner.reports == []


def test_era_told_by_another_node_is_a_restore_too(owner):
    assert owner.client.note_era(5, "relay")
    assert not owner.client.note_era(5, "relay")
    assert not owner.client.note_era(4, "relay")
    owner.answer(owner.call(), 5)
    assert owner.reports == [(4, "relay")]
    assert owner.outcomes == [LeaseKept()]


def test_restore_starts_the_time_in_which_entries_have_to_be_back(owner):
    before = owner.client.health.available_since
    owner.answer(owner.call(), 5)
    assert owner.client.health.available_since > before

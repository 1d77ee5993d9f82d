import pytest

from cyclamentally.gate_messages import Ticket
from cyclamentally_calls.http_codec import Response
from cyclamentally_calls.peer_codec import is_final, mark_final
from cyclamentally_calls.requesters import LocalRequester
from cyclamentally_calls.work import Work, WorkTable


@pytest.fixture
def table():
    return WorkTable()


@pytest.fixture
def make_work(table):
    def make(number, request_id):
        ticket = Ticket(number, "u1", "shop", "r", 1, 1.0, 2.0)
        requester = LocalRequester(None, None, number)
        work = Work(requester, None, request_id, ticket, False)
        table.add(work)
        return work

    return make


def test_run_whose_call_lacked_retry_budget_is_marked(table, make_work):
    marked, other, queued = make_work(1, "a"), make_work(2, "b"), make_work(3, "c")
    table.start(marked)
    table.start(other)
    table.note_call_not_retried("a.1.2")
    table.note_call_not_retried("c.1")
    assert marked.call_lacked_budget
    assert not other.call_lacked_budget
    assert not queued.call_lacked_budget


def test_removed_work_is_found_no_more(table, make_work):
    work = make_work(1, "a")
    table.start(work)
    table.remove(work)
    table.note_call_not_retried("a.1")
    assert not work.call_lacked_budget
    assert len(table) == 0
    assert table.by_source == {}


def test_repeated_id_keeps_the_run_that_started_last(table, make_work):
    first, second = make_work(1, "a"), make_work(2, "a")
    table.start(first)
    table.start(second)
    table.remove(first)
    table.note_call_not_retried("a.1")
    assert second.call_lacked_budget


def test_mark_of_a_final_failure_is_read_back():
    response = Response(500, [(b"X", b"y")], b"body")
    assert not is_final(response)
    assert is_final(mark_final(response))

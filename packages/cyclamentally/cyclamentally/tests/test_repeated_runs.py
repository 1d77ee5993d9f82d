import pytest

from cyclamentally.repeated_runs import RepeatedRuns


@pytest.fixture
def runs():
    runs = RepeatedRuns()
    runs.update("a1", True)
    return runs


@pytest.mark.parametrize("call_id", ["a1.b2", "a1.b2.c3"])
def test_calls_of_a_repeated_run_are_found_at_any_depth(runs, call_id):
    assert runs.has_made(call_id)


@pytest.mark.parametrize("call_id", ["a1", "a2.b2", "a11.b2", "", ".", ".a1", "a1b.c"])
def test_other_requests_are_not_calls_of_a_repeated_run(runs, call_id):
    assert not runs.has_made(call_id)


def test_calls_after_the_end_of_the_run_are_not_found(runs):
    runs.update("a1", False)
    assert not runs.has_made("a1.b2")

import pytest

from cyclamentally.body_budget import (
    MAX_OPEN_ENDED_BYTES,
    MAX_TOTAL_BYTES,
    BodyBudget,
)


@pytest.fixture
def budget():
    return BodyBudget()


def test_largest_body_without_length_is_given_up_when_the_budget_is_spent(budget):
    assert budget.grow("small", 1_000, False) is None
    assert budget.grow("large", MAX_OPEN_ENDED_BYTES - 1_000, False) is None
    assert budget.grow("small", 1, False) == "large"
    budget.release("large")
    assert budget.grow("small", 1, False) is None


def test_declared_bodies_do_not_use_the_budget_of_those_without_length(budget):
    assert budget.grow("declared", 2 * MAX_OPEN_ENDED_BYTES, True) is None
    assert budget.grow("open", MAX_OPEN_ENDED_BYTES, False) is None


def test_all_bodies_together_are_bounded(budget):
    assert budget.grow("a", MAX_TOTAL_BYTES // 2 + 1, True) is None
    assert budget.grow("b", MAX_TOTAL_BYTES // 2, True) == "a"

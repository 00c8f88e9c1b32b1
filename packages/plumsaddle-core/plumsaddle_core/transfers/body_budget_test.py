"""
Tests of the bound on bodies of requests.
"""

import pytest

from .body_budget import (
    DEFAULT_LIMIT,
    MAX_RETRY_AFTER,
    BodyBudget,
    body_cost,
    compute_limit,
)

SIZE = 100_000


def test_bodies_without_a_length_are_counted_while_they_are_read():
    """Guards against a process that is ended for its memory by bodies in chunks."""
    budget = BodyBudget(3 * body_cost(SIZE))
    holdings = [budget.open(0.0) for _ in range(5)]
    for size in range(0, SIZE + 1, SIZE // 10):
        for holding in list(holdings):
            if not holding.resize(size):
                holdings.remove(holding)
                holding.close(1.0)
        assert budget.held <= budget.limit
    assert len(holdings) == 3
    for holding in holdings:
        holding.close(1.0)
    assert budget.held == 0


def test_callers_that_are_refused_together_return_one_after_the_other():
    """Guards against refused callers that find no room again when they return."""
    budget = BodyBudget(10 * body_cost(SIZE))
    for _ in range(10):
        assert budget.open(0.0).resize(SIZE)
    delays = [budget.retry_after(SIZE, 0.0) for _ in range(100)]
    # One of ten bodies is released every 0.05 s, as each is held for 0.5 s.
    assert delays[:4] == pytest.approx([0.05, 0.1, 0.15, 0.2])
    assert delays[-1] == MAX_RETRY_AFTER


def test_the_bound_follows_the_memory_limit():
    assert compute_limit(200_000_000) == 50_000_000
    assert compute_limit(None) == DEFAULT_LIMIT

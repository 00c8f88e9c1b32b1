"""
Tests of the bounds on incomplete heads.
"""

from .head_budget import FREE_BYTES, LINE_BYTES, HeadBudget, HeadHolding


def test_a_head_beyond_its_limit_ends():
    """Guards against a head without end that takes all memory."""
    holding = HeadHolding(HeadBudget(lambda: 10**9, lambda: 16384))
    assert holding.add(16384 + LINE_BYTES)
    assert not holding.add(1)


def test_many_long_heads_share_a_budget_and_short_ones_pass():
    """Guards against short heads that are refused for others' long ones."""
    budget = HeadBudget(lambda: 100_000, lambda: 65536)
    first, second, short = (HeadHolding(budget) for _ in range(3))
    assert first.add(60_000)
    assert not second.add(60_000)
    assert short.add(FREE_BYTES)
    first.clear()
    assert budget.held == 0
    assert second.add(1)
    second.clear()
    assert budget.held == 0

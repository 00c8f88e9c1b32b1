"""
Tests of the model of bodies that arrive while a host drains.
"""

from .drain_model import compare


def test_bodies_are_awaited_until_the_latest_start():
    """Guards against refusing bodies that would have arrived, and cutting orders."""
    rows = compare(seed=1, draws=1000)
    kept, by_pace = rows["await_until_latest_start"], rows["refuse_by_pace"]
    assert kept["served"] + kept["moved"] > by_pace["served"] + by_pace["moved"]
    assert kept["cut"] < 0.1 * rows["await_until_end"]["cut"]

"""
Tests of the floor under the targets in use.
"""

from .floor import TROUBLED_OVER, UNUSED_AFTER, Results, find_unused

USED = {"a": 10.0, "b": 9.9, "c": 5.0, "d": 6.0}


def test_unused_targets_get_work_while_requests_fail():
    """
    Sound targets stand idle for seconds while a fifth of the requests fails.

    Failures on the targets in use raise no doubt about the beliefs that keep work
    from the others.
    """
    assert find_unused(list(USED), USED.get, 0.7, 10.0) == {"c", "d"}
    used = {**USED, "c": 9.5}
    assert find_unused(list(used), used.get, 0.7, 10.0) == {"d"}
    assert find_unused(["a", "b"], USED.get, 0.7, 10.0) == set()


def test_a_target_is_unused_after_a_while():
    used = {"a": 10.0}
    assert find_unused(["a"], used.get, 0.7, 9.9 + UNUSED_AFTER) == set()
    assert find_unused(["a"], used.get, 0.7, 10.1 + UNUSED_AFTER) == {"a"}


def test_trouble_needs_a_share_and_passes():
    results = Results()
    results.add(7, 7, 0.0)
    assert not results.is_troubled(0.1)
    results.add(13, 0, 0.5)
    lone = Results()
    lone.add(9, 1, 0.0)
    assert not lone.is_troubled(0.1)
    assert results.is_troubled(0.6)
    results.add(200, 1, 0.7)
    assert not results.is_troubled(0.8)
    results.add(10, 2, 0.7 + TROUBLED_OVER)
    assert results.is_troubled(0.8 + TROUBLED_OVER)

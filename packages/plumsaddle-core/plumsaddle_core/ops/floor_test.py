"""
Tests of the floor under the targets in use.
"""

from .floor import TROUBLED_OVER, UNUSED_AFTER, Results, find_unused

FAILS = {"a": 0.02, "b": 0.02, "c": 0.1, "d": 0.6}
USED = {"a": 10.0, "b": 9.9, "c": 5.0, "d": 6.0}


def test_unused_targets_get_work():
    """
    Sound targets stand idle for seconds while a fifth of the requests fails.

    Failures on the targets in use raise no doubt about the beliefs that keep work
    from the others.
    """
    assert find_unused(FAILS, USED.get, 0.7, False, 10.0) == {"c"}
    used = {**USED, "c": 9.5}
    assert find_unused(FAILS, used.get, 0.7, False, 10.0) == set()


def test_suspects_get_work_while_requests_fail():
    assert find_unused(FAILS, USED.get, 0.7, True, 10.0) == {"c", "d"}
    used = {**USED, "c": 9.5}
    assert find_unused(FAILS, used.get, 0.7, True, 10.0) == {"d"}


def test_a_target_is_unused_after_a_while():
    used = {"a": 10.0}
    assert find_unused({"a": 0.1}, used.get, 0.7, False, 10.0 + UNUSED_AFTER) == set()
    assert find_unused({"a": 0.1}, used.get, 0.7, False, 10.1 + UNUSED_AFTER) == {"a"}


def test_trouble_needs_a_share_and_passes():
    results = Results()
    results.add(7, 7, 0.0)
    assert not results.is_troubled(0.1)
    results.add(13, 0, 0.5)
    assert results.is_troubled(0.6)
    results.add(200, 1, 0.7)
    assert not results.is_troubled(0.8)
    results.add(10, 2, 0.7 + TROUBLED_OVER)
    assert results.is_troubled(0.8 + TROUBLED_OVER)

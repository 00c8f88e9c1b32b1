"""
Tests of the model of draining connections with several requests.
"""

import pytest

from .seal_model import PACES, Draw, compare, play, seal_at_end, seal_at_first


@pytest.mark.parametrize("pace", ["slow", "very slow"])
def test_sealing_at_the_first_response_cuts_fewer_slow_readers(pace):
    """Guards against a drain that takes on more than callers can receive in time."""
    rows = compare(PACES[pace], seed=1, draws=300)
    assert rows["seal_at_first"][2] < 0.5 * rows["seal_at_end"][2]


def test_what_is_behind_the_closing_response_is_sent_again():
    caller = Draw([0.0, 0.05, 0.1, 0.2], [1000] * 4, 1e6)
    result = play(caller, seal_at_first)
    assert (len(result.seconds), result.cut, result.moved) == (4, 0, 1)
    assert play(caller, seal_at_end).moved == 0

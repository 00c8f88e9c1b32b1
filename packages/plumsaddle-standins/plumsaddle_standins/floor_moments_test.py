"""
Tests of the floor while many targets of a service are disturbed at once.
"""

import pytest

from .floor_moments import FLEETS, SECONDS, WAYS, MomentModel


@pytest.mark.parametrize(
    "hosts, seed",
    [(40, 4), (40, 8), (40, 13), (40, 14), (40, 17), (40, 22), (40, 59), (133, 6)],
)
def test_undisturbed_targets_get_requests_while_many_others_are_disturbed(hosts, seed):
    """Sound targets that were in doubt were idle while a tenth of the orders failed."""
    model = MomentModel(FLEETS[hosts], WAYS["ours"], seed)
    model.run(SECONDS)
    assert model.checked
    assert model.broken == 0, f"{model.worst:.2f} of the sound targets in use"

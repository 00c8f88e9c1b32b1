"""
Ways for hosts to follow a store that comes back from an older copy, in virtual time.
"""

import pytest

from .restore_model import KNOWN_WITHIN, READ_LIMIT, Case, RestoreModel

# Topics that each host lists.
TOPICS = 3


@pytest.mark.parametrize("hosts, centres", [(40, 3), (133, 3), (293, 5)])
@pytest.mark.parametrize("is_twice", [False, True])
def test_versions_after_a_restoration_are_known_in_time(hosts, centres, is_twice):
    """Guards against hosts that skip versions, and too many calls to the store."""
    for has_exchange in (False, True):
        case = Case(hosts, centres, 8, is_twice)
        outcome = RestoreModel(case, "spread", has_exchange=has_exchange).run()
        assert outcome.worst <= KNOWN_WITHIN
        assert TOPICS * outcome.calls <= READ_LIMIT


def test_offsets_without_eras_make_hosts_late():
    """Shows that the model reaches the failure that eras prevent."""
    case = Case(40, 3, 8)
    assert RestoreModel(case, "offset", has_exchange=False).run().late > 0.5

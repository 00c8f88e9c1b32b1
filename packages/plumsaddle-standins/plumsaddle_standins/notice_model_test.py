"""
Notices of targets over a whole fleet.
"""

import pytest
from hypothesis import HealthCheck, Phase, given, settings, strategies as st

from .notice_model import BACKOFF_CASES, DRAIN_CASES, SIZES, Case, NoticeModel

SMALL = SIZES["40 hosts"]


def _cases():
    return st.builds(
        Case,
        hosts=st.sampled_from([3, 12, 24]),
        centres=st.sampled_from([1, 3]),
        targets=st.sampled_from([3, 12]),
        load=st.sampled_from([0.2, 0.6]),
        peak=st.sampled_from([0.0, 1.3, 2.0]),
        draining=st.sampled_from([0.0, 0.34, 1.0]),
        drains_for=st.sampled_from([1.0, 8.0]),
        successors=st.sampled_from([0.0, 1.0]),
        backoff=st.sampled_from([0.6, 3.0]),
        rejecting=st.sampled_from([0.0, 0.34, 1.0]),
    )


@settings(
    max_examples=12,
    deadline=None,
    derandomize=True,
    # Nothing is shrunk: a play takes too long for that.
    phases=[Phase.explicit, Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(
    case=_cases(), way=st.sampled_from(["alone", "gossiped"]), seed=st.integers(0, 9)
)
def test_no_host_acts_against_what_it_was_told(case, way, seed):
    """Guards against rules of choice by which a notice is forgotten."""
    assert NoticeModel(case, way, seed).run().broken == 0


def test_hosts_that_read_no_notice_break_both_rules():
    """Guards against a model that would call any way safe."""
    drain = SMALL._replace(backoff=0.0, **DRAIN_CASES["a third drains"])
    assert NoticeModel(drain, "none").run().broken > 0
    backoff = SMALL._replace(**BACKOFF_CASES["a peak of 2 times the slots"])
    assert NoticeModel(backoff, "none").run().broken > 0


@pytest.mark.parametrize("name", DRAIN_CASES)
def test_gossiped_notices_empty_a_target_before_it_exits(name):
    """Guards against requests lost at a target that some hosts still use."""
    case = SMALL._replace(backoff=0.0, **DRAIN_CASES[name])
    alone, gossiped = (NoticeModel(case, w).run() for w in ("alone", "gossiped"))
    assert gossiped.lost <= max(1, alone.lost)
    assert gossiped.exposed == 0

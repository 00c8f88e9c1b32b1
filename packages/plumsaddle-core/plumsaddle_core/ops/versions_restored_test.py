"""
An accepted version stays in force although the log comes back from an older copy.
"""

import itertools

import pytest

from .versions import (
    Proposal,
    RestoredVersion,
    Version,
    Versions,
    apply_proposal,
    restored_version,
)


def _proposal(name, base):
    return Proposal(name, base, f"text of {name}", "operator")


def _version(number, name):
    return Version(number, name, f"text of {name}", "operator", "")


def _fold(*events):
    versions = Versions()
    for event in events:
        apply_proposal(versions, event, 0)
    return versions


FIRST = _proposal("a", 0)
LOST = _version(2, "lost")


def test_a_version_that_the_log_has_lost_is_written_again():
    """Guards against a second text under the number of a version in force."""
    log = _fold(FIRST)
    event = restored_version(LOST, log, 2)
    log = _fold(FIRST, event, _proposal("late", 1), _proposal("b", 2))
    assert log.results["late"] < 0
    assert log.current.id == "b"
    assert log.current.number == 3


def test_a_proposal_without_knowledge_of_a_lost_version_does_not_replace_it():
    """Guards against a version that is replaced by one of the same number."""
    unaware = _proposal("unaware", 1)
    log = _fold(FIRST, unaware)
    assert log.current.id == "unaware"
    log = _fold(FIRST, unaware, restored_version(LOST, log, 2))
    assert log.current == LOST
    assert log.results["unaware"] == -2
    assert log.results["lost"] == 2


def test_a_host_that_knows_less_does_not_hide_a_version():
    """Guards against a lost version if the first host that tells never had it."""
    first = restored_version(_version(1, "a"), _fold(FIRST), 2)
    log = _fold(FIRST, first)
    assert log.era == 2
    assert log.current.number == 1
    assert _fold(FIRST, first, restored_version(LOST, log, 2)).current == LOST
    # A version that was accepted since with knowledge of the era stays.
    log = _fold(FIRST, first, _proposal("b", 1))
    assert restored_version(LOST, log, 2) is None


def test_versions_that_the_log_has_beyond_a_lost_one_stay():
    log = _fold(FIRST, _proposal("b", 1), _proposal("c", 2))
    event = restored_version(LOST, log, 2)
    assert _fold(FIRST, _proposal("b", 1), _proposal("c", 2), event).current.id == "c"


def test_a_host_tells_once_what_is_in_force():
    log = _fold(FIRST, RestoredVersion(2, *LOST))
    assert restored_version(LOST, log, 2) is None
    assert restored_version(LOST, log, 3) == RestoredVersion(3, *LOST)


@pytest.mark.parametrize("count", [1, 2, 3])
def test_restored_versions_of_several_hosts_lead_to_the_newest(count):
    events = [RestoredVersion(2, *_version(n + 1, f"v{n + 1}")) for n in range(count)]
    for order in itertools.permutations(events):
        assert _fold(*order).current.number == count

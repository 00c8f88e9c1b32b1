"""
Tests of what a host concludes from the versions that others have in force.
"""

import random

from .version_reports import (
    ARRIVAL_GRACE,
    FIRST_REPORT_WAIT,
    FIRST_VERSION_WAIT,
    REPORT_TTL,
    VersionReports,
)


def _make(**versions):
    reports = VersionReports(random.Random(1))
    for host, version in versions.items():
        reports.note(host, version, 0.0)
    return reports


def test_a_version_that_is_about_to_arrive_is_not_asked_for():
    """Guards against hundreds of requests for each version that is published."""
    reports = _make(a=5, b=7)
    assert reports.choose_source(5, 0.1) is None
    assert reports.choose_source(5, ARRIVAL_GRACE) == "b"
    assert reports.choose_source(7, ARRIVAL_GRACE) is None


def test_a_host_that_has_stopped_is_not_a_source():
    reports = _make(a=5, b=7)
    reports.note("a", 6, REPORT_TTL)
    reports.evict(REPORT_TTL)
    assert reports.choose_source(5, 2 * REPORT_TTL) == "a"
    assert reports.newest() == 6


def test_a_starting_host_does_not_begin_with_an_older_version():
    """Guards against the version of a restored store at hosts that start after it."""
    reports = _make(a=7, b=0)
    assert not reports.may_begin_with(5, 0.0, 0.5)
    assert reports.choose_source(0, 0.0) == "a"
    assert reports.may_begin_with(7, 0.0, 0.0)
    assert reports.may_begin_with(8, 0.0, 0.0)
    # A host that can't get the newer version serves what it has.
    assert reports.may_begin_with(5, 0.0, FIRST_VERSION_WAIT)


def test_hosts_that_start_together_do_not_wait_for_each_other():
    """Guards against refused requests after all hosts have restarted."""
    assert _make(a=0).may_begin_with(5, 0.0, 0.0)
    assert not _make().may_begin_with(5, 0.0, 0.0)
    assert _make().may_begin_with(5, 0.0, FIRST_REPORT_WAIT)

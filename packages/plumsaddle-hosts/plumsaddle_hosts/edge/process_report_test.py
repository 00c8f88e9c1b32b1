"""
Tests of what a host reports of its own process.
"""

import logging

import pytest

from .process_report import MemoryReport, read_memory

STATUS = "Name:\tpython3\nVmHWM:\t  2000 kB\nVmRSS:\t  1000 kB\nThreads:\t1\n"
MEGABYTE = 1_000_000


def test_memory_is_read_from_the_kernels_status():
    assert read_memory(STATUS) == (1_024_000, 2_048_000)
    resident, peak = read_memory()
    assert 0 < resident <= peak


@pytest.mark.parametrize("text", ["", "VmRSS:\t\n", "VmRSS: x kB\nVmHWM: 1 kB\n"])
def test_a_status_without_memory_is_none(text):
    """Guards against a host that ends because its kernel reports no memory."""
    assert read_memory(text) is None


def test_peaks_are_logged_before_the_limit(caplog):
    """Guards against an end for lack of memory that leaves no trace."""
    report = MemoryReport(100 * MEGABYTE)
    with caplog.at_level(logging.WARNING):
        for megabytes in (40, 55, 56, 64, 66, 90):
            report.note(megabytes * MEGABYTE, {"in_flight": megabytes})
    assert [record.in_flight for record in caplog.records] == [55, 66, 90]


def test_a_host_without_a_limit_logs_no_peaks(caplog):
    MemoryReport(None).note(10**12, {})
    assert not caplog.records

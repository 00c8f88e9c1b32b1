"""
Short soaks, and the check of what they look for.
"""

import asyncio
from types import SimpleNamespace

import pytest

from .paced_callers import Exchanged, digest, find_all_broken
from .soak import Fault, count_hosts, play
from .worker import Seen, WorkerStandin


@pytest.mark.parametrize("seed", [1, 2])
def test_no_promise_breaks_beside_stops_and_slow_callers(seed, tmp_path):
    """Guards against responses and bodies that are lost when hosts are stopped."""
    ended, broken = asyncio.run(play(12.0, seed, tmp_path))
    assert not broken
    assert sum(end.is_whole for end in ended) > 0.6 * len(ended)


START_FAULTS = set(Fault) - {Fault.STORE}


@pytest.mark.parametrize("seed", [3, 4])
def test_no_promise_breaks_beside_starts_on_machines_that_are_not_ready(seed, tmp_path):
    """Guards against hosts that do not start, or end by themselves."""
    ended, broken = asyncio.run(play(10.0, seed, tmp_path, faults=START_FAULTS))
    assert not broken
    assert any(end.is_whole for end in ended)


@pytest.mark.parametrize("seed", [5])
def test_no_host_ends_while_the_store_answers_without_end(seed, tmp_path):
    """Guards against hosts that end all at once for their memory."""
    _, broken = asyncio.run(play(10.0, seed, tmp_path, faults={Fault.STORE}))
    assert not broken


@pytest.mark.parametrize("seed", [6])
def test_no_promise_breaks_beside_late_entries_and_lost_seeds(seed, tmp_path):
    """Guards against hosts that go by late entries, or start and know nobody."""
    faults = {Fault.ENTRIES, Fault.SEEDS, Fault.FLEET}
    ended, broken = asyncio.run(play(10.0, seed, tmp_path, faults=faults))
    assert not broken
    assert any(end.is_whole for end in ended)


@pytest.mark.parametrize("seed", [7])
def test_no_promise_breaks_beside_herds_and_hostile_callers(seed, tmp_path):
    """Guards against hosts that cut herds' responses or end for hostile callers."""
    faults = {Fault.HERDS, Fault.HOSTILE}
    ended, broken = asyncio.run(play(10.0, seed, tmp_path, faults=faults))
    assert not broken
    assert any(end.is_whole for end in ended)


@pytest.mark.parametrize("kilobytes, count", [(1_200_000, 10), (10**9, 200)])
def test_a_soak_takes_at_most_half_of_the_memory(kilobytes, count):
    """Guards against soaks that disturb all other work of the machine."""
    assert count_hosts(f"MemAvailable: {kilobytes} kB\n") == count


def _exchanged(request_id, **fields):
    """Return an upload that was sent from 101.0 to 101.5 and ended unanswered."""
    times, body = (101.0, 101.5, 102.5), digest(b"body")
    exchanged = Exchanged(request_id, "/up/a", "host-0", *times, None, False, body)
    return exchanged._replace(**fields)


def test_the_check_finds_what_is_lost_or_changed():
    worker = WorkerStandin("up-0", "up")
    for request_id in ("lost", "killed", "changed", "twice", "promised", "ran-behind"):
        worker.runs[request_id] = worker.done[request_id] = 1
    worker.runs["at-work"] = 1
    worker.runs["twice"] = 2
    body = b"another"
    worker.seen = [Seen("changed", "POST", "/up/a", {}, body, 102.0)]
    hosts = [
        SimpleNamespace(name="host-0", stopped_at=[100.0], killed_at=[]),
        SimpleNamespace(name="host-1", stopped_at=[100.0], killed_at=[99.0]),
        SimpleNamespace(name="host-2", stopped_at=[], killed_at=[]),
    ]
    exchanged = [
        _exchanged("lost"),
        _exchanged("never-sent"),
        _exchanged("ran-behind", is_behind=True),
        # All that follows is allowed, but for the last four.
        _exchanged("killed", host="host-1"),
        _exchanged("not-stopped", host="host-2"),
        _exchanged("incomplete", sent_at=None),
        _exchanged("at-once", ended_at=101.6),
        _exchanged("behind", is_behind=True),
        _exchanged("late", ended_at=103.1),
        _exchanged("gave-up", has_left=True),
        _exchanged("at-work", began_at=102.9, sent_at=103.8, ended_at=104.7),
        _exchanged("changed", status=200, is_whole=True),
        _exchanged("twice", status=500),
        _exchanged("promised", status=503),
        _exchanged("half", status=200),
    ]
    broken = find_all_broken(exchanged, [worker], hosts)
    found = sorted(line.partition(":")[0] for line in broken)
    expected = "at-work changed half lost never-sent promised ran-behind twice"
    assert found == expected.split()

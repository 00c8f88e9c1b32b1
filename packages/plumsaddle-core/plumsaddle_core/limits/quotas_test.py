"""
Tests of workspace quotas on several hosts, with messages passed by the tests.
"""

import random

import pytest

from ..core.traffic import Workspace
from ..ops.shared_state import SharedState
from .liveness import EVICTION_TIMEOUT, HostCount
from .meter import DecayingSum, Tolerance
from .quotas import IDLE_TIMEOUT, Quotas
from .sums import workspace_tag

EXACT = Tolerance(5.0, 0.0, 0.0)
ONE = Workspace("one", (), rate=20.0, burst=20.0)
UNLIMITED = Workspace("free", ())
START = 1000.0


def _hosts(count, workspaces=(ONE,), tolerance=EXACT, data_centre_count=1):
    hosts = [
        Quotas(tolerance, data_centre_count, random.Random(number))
        for number in range(count)
    ]
    for own, host in enumerate(hosts):
        host.configure(workspaces, START)
        for number in range(count):
            if number != own:
                # The hosts have known each other for a while.
                host.merge_local(f"host-{number}", 1, [], START - 10.0)
                host.merge_local(f"host-{number}", 1, [], START)
    return hosts


def _gossip(sender, name, receivers, now, incarnation=1):
    rows = sender.local_rows(now)
    for receiver in receivers:
        receiver.merge_local(name, incarnation, rows, now)
    return rows


def _count_admitted(host, count, now, workspace=ONE):
    """Send requests to a host and return how many were admitted."""
    return sum(host.acquire(workspace, now).is_admitted for _ in range(count))


def test_a_sum_decays_exponentially():
    total = DecayingSum(5.0)
    total.add(2.0, 10.0)
    assert total.at(10.0) == 2.0
    assert total.at(15.0) == pytest.approx(2.0 / 2.718281828)
    assert total.add(1.0, 15.0) == pytest.approx(1.0 + 2.0 / 2.718281828)


def test_a_workspace_without_a_limit_is_neither_refused_nor_counted():
    (host,) = _hosts(1, (UNLIMITED,))
    assert _count_admitted(host, 5000, START, UNLIMITED) == 5000
    assert _count_admitted(host, 5, START, None) == 5
    assert not host.workspace_count
    assert host.local_rows(START) == []


def test_any_window_admits_the_rate_and_the_burst():
    (host,) = _hosts(1)
    # Before its start the host assumes that the rate was used up.
    assert 14 <= _count_admitted(host, 100, START) <= 20
    admitted = [_count_admitted(host, 10, START + 0.1 * step) for step in range(1, 301)]
    windows = [sum(admitted[step : step + 50]) for step in range(250)]
    assert max(windows) <= 5 * 20 + 20
    assert min(windows) >= 5 * 20 * 0.9


def test_bursts_within_the_limit_are_admitted():
    """Guards against refusing bursts for which every window has room."""
    (host,) = _hosts(1)
    bursts = [_count_admitted(host, 15, START + second) for second in range(10, 60)]
    assert bursts == [15] * 50


def test_requests_that_other_hosts_admit_count():
    """Guards against a workspace that gets its whole limit from each host."""
    hosts = _hosts(3)
    admitted = 0
    for step in range(100):
        now = START + 0.1 * step
        for number, host in enumerate(hosts):
            admitted += _count_admitted(host, 6, now)
            others = [other for other in hosts if other is not host]
            _gossip(host, f"host-{number}", others, now)
    assert 180 <= admitted <= 2 * (5 * 20 + 20)


def test_a_duplicate_message_counts_once():
    first, second = _hosts(2)
    _count_admitted(first, 8, START)
    rows = first.local_rows(START)
    for _ in range(5):
        second.merge_local("host-0", 1, rows, START)
    assert 9 <= _count_admitted(second, 50, START) <= 12


def test_a_lost_message_is_made_up_for_by_the_next_one():
    first, second = _hosts(2)
    second.merge_local("host-0", 1, [], START)
    _count_admitted(first, 10, START)
    first.local_rows(START)
    first.local_rows(START)
    _count_admitted(first, 1, START)
    _gossip(first, "host-0", [second], START)
    assert _count_admitted(second, 50, START) <= 11


def test_a_restarted_host_releases_no_requests():
    """
    Guards against a limit that is granted again with each restart of a host.

    A restarted host reports smaller sums than the other hosts have received before.
    """
    first, second = _hosts(2)
    _count_admitted(first, 18, START)
    _gossip(first, "host-0", [second], START)
    (restarted,) = _hosts(1)
    _count_admitted(restarted, 1, START)
    _gossip(restarted, "host-0", [second], START, incarnation=2)
    # One request remains, and one slot of 0.25 s expires at a time.
    assert _count_admitted(second, 50, START) <= 1 + 5


def test_two_reporters_for_a_data_centre_do_not_add_up():
    """
    Guards against refusing a workspace that is within its limit.

    When hosts with different sums report for a data centre in turn, the difference must
    not be counted as new requests each time.
    """
    here, more, less = _hosts(3, data_centre_count=2)
    _count_admitted(more, 12, START)
    _count_admitted(less, 4, START)
    for _ in range(20):
        for reporter in (more, less):
            reporter._remote_pending = dict.fromkeys(reporter._states, 1)
            rows = reporter.remote_rows(START)
            here.merge_remote("y", HostCount(2), rows, START)
    assert _count_admitted(here, 50, START) >= 5


def test_workspaces_far_from_their_limits_are_not_reported_to_other_data_centres():
    """Guards against messages that grow with the number of all active workspaces."""
    big = Workspace("big", (), rate=500.0, burst=500.0)
    (host,) = _hosts(1, (ONE, big), data_centre_count=2)
    for step in range(50):
        now = START + 0.1 * step
        _count_admitted(host, 1, now, ONE)
        _count_admitted(host, 1, now, big)
    assert len(host.local_rows(now)) == 2
    assert len(host.remote_rows(now)) == 1


def test_a_request_that_did_not_run_is_released():
    (host,) = _hosts(1)
    for _ in range(100):
        assert host.acquire(ONE, START).is_admitted
        host.release(ONE, START)
    assert host.local_rows(START)[0].admitted == 0


def test_a_lower_limit_binds_at_once():
    (host,) = _hosts(1)
    host.acquire(ONE, START)
    host.configure([ONE._replace(rate=2.0, burst=2.0)], START)
    admitted = sum(_count_admitted(host, 2, START + 0.1 * step) for step in range(100))
    assert admitted <= 2.0 * 10 + 2.0 + 4


def test_a_lowered_limit_admits_its_new_rate_at_once():
    """
    Guards against refusing all requests for seconds after a limit was lowered.

    Requests admitted under the previous limit may exceed the new window's capacity.
    """
    (host,) = _hosts(1)
    for step in range(60):
        _count_admitted(host, 2, START + 0.1 * step)
    now = START + 6.0
    host.configure([ONE._replace(rate=5.0, burst=5.0)], now)
    first = sum(_count_admitted(host, 2, now + 0.1 * step) for step in range(1, 21))
    assert first >= 0.7 * 5.0 * 2
    then = sum(_count_admitted(host, 2, now + 0.1 * step) for step in range(21, 71))
    assert then <= 5.0 * 5 + 5.0


def test_a_removed_workspace_is_evicted():
    (host,) = _hosts(1)
    host.acquire(ONE, START)
    host.configure([], START)
    assert not host.workspace_count
    assert host.acquire(ONE, START).is_admitted


def test_idle_workspaces_are_evicted():
    """Guards against memory that grows with each workspace ever seen."""
    first, second = _hosts(2)
    first.acquire(ONE, START)
    _gossip(first, "host-0", [second], START)
    for host in (first, second):
        host.tick(START + IDLE_TIMEOUT + 1.0)
        assert not host.workspace_count
    assert not any(len(source.received) for source in second._liveness.sources())


def _run_partition(requests_per_step, seconds, workspace=ONE):
    """
    Return the requests that three hosts admit while the third one is isolated.

    All hosts receive the same demand. After six seconds the third one is cut off.
    """
    hosts = _hosts(3, (workspace,))
    counts = [0, 0, 0]
    for step in range(int((6.0 + seconds) * 10)):
        now = START + 0.1 * step
        is_partitioned = step >= 60
        for number, host in enumerate(hosts):
            count = _count_admitted(host, requests_per_step, now, workspace)
            if step >= 60 + 20:
                counts[number] += count
            receivers = [
                other
                for n, other in enumerate(hosts)
                if n != number and not (is_partitioned and 2 in (n, number))
            ]
            _gossip(host, f"host-{number}", receivers, now)
            if step % 10 == 0:
                host.tick(now)
    return counts


def test_an_isolated_host_keeps_to_its_share():
    """Guards against admitting a limit on each side of a partition."""
    counts = _run_partition(requests_per_step=10, seconds=12.0)
    assert sum(counts) <= 1.15 * ONE.rate * 10
    assert counts[2] <= 0.45 * ONE.rate * 10


def test_a_partition_refuses_no_workspace_within_its_limit():
    modest = Workspace("one", (), rate=60.0, burst=60.0)
    counts = _run_partition(requests_per_step=1, seconds=12.0, workspace=modest)
    assert sum(counts) >= 0.97 * 3 * 10 * 10


def _press(hosts, heard, steps, count):
    """
    Send requests to hosts that hear each other, a step each tenth of a second.

    Returns:
      How many they admitted.
    """
    admitted = 0
    for step in steps:
        now = START + 0.1 * step
        for number, host in enumerate(hosts):
            if number not in heard:
                continue
            admitted += _count_admitted(host, count, now)
            others = [hosts[n] for n in heard if n != number]
            _gossip(host, f"host-{number}", others, now)
            if step % 10 == 0:
                host.tick(now)
    return admitted


def test_shares_do_not_follow_demand_during_a_partition():
    """Guards against a limit that is admitted twice when demand rises at a cut."""
    hosts = _hosts(4)
    _press(hosts, range(4), range(100), 1)
    _press(hosts, range(2), range(100, 130), 6)
    state = hosts[0]._get_state(workspace_tag("one"), START + 13.0)
    share = hosts[0]._reachable_share(workspace_tag("one"), state, START + 13.0)
    assert share == pytest.approx(0.5, abs=0.05)


def test_hosts_that_become_unreachable_have_admitted_in_proportion():
    """Guards against a limit that is exceeded when most hosts are cut off at a rise."""
    workspace = ONE._replace(burst=200.0)
    hosts = _hosts(8, (workspace,))
    _press(hosts, range(8), range(100), 0)
    for step in range(100, 160):
        _press(hosts, [step % 8], [step], 1)
        for number, host in enumerate(hosts):
            others = [other for other in hosts if other is not host]
            _gossip(host, f"host-{number}", others, START + 0.1 * step)
    meter = hosts[0]._get_state(workspace_tag("one"), START + 16.0).meter
    used = meter.capacity - meter.remaining(START + 16.0)
    admitted = _press(hosts, range(2), range(160, 177), 2)
    # The other six have three times as much of the limit.
    at = START + 17.7
    hosts[0].acquire(workspace, at)
    assert meter.capacity - meter.remaining(at) >= used + 3.5 * admitted


def test_an_evicted_host_has_no_share():
    first, second = _hosts(2)
    for step in range(100):
        now = START + 0.1 * step
        for number, host in enumerate((first, second)):
            _count_admitted(host, 1, now)
            _gossip(host, f"host-{number}", [second if host is first else first], now)
        first.tick(now)
    for elapsed in range(int(EVICTION_TIMEOUT) + 3):
        first.note_any_message(now + elapsed)
        first.tick(now + elapsed)
    decision = [first.acquire(ONE, now + elapsed) for _ in range(100)][-1]
    assert (decision.reachable_share, decision.unreachable_hosts) == (1.0, 0)


def test_retries_of_refused_requests_are_spread():
    """Guards against retries at once, all at the same time, or after too long."""
    (host,) = _hosts(1)
    delays = [
        decision.retry_after
        for decision in (host.acquire(ONE, START) for _ in range(200))
        if not decision.is_admitted
    ]
    assert 0.04 < min(delays) < max(delays) <= 5.0
    assert max(delays) - min(delays) > 0.3


def test_shared_state_keeps_the_quotas_that_it_is_given():
    """Guards against replacing quotas that have no state yet by default ones."""
    quotas = Quotas(EXACT)
    assert SharedState(0.2, 10.0, START, quotas=quotas).quotas is quotas


def test_hosts_that_restart_together_do_not_grant_a_burst_again():
    """Guards against a burst that is admitted before and after a kill of all hosts."""
    host = Quotas(EXACT, rng=random.Random(1), assumes_bursts=True)
    host.configure([ONE], START)
    admitted = [_count_admitted(host, 10, START + 0.1 * step) for step in range(100)]
    assert sum(admitted[:50]) <= ONE.rate * 5.0
    assert sum(admitted[50:]) >= 0.9 * ONE.rate * 5.0


def test_a_workspace_within_its_rate_is_served_after_a_restart():
    """Guards against refusing everyone for a window after a kill of all hosts."""
    host = Quotas(Tolerance(), rng=random.Random(1), assumes_bursts=True)
    host.configure([ONE], START)
    admitted = [_count_admitted(host, 1, START + 0.1 * step) for step in range(50)]
    # Only at first may some be refused, while the demand is unknown.
    assert sum(admitted[3:]) == 47


def test_sums_from_before_a_restart_are_not_counted_twice():
    """Guards against a restarted host that refuses since it hears what it assumed."""
    first, second = _hosts(2, tolerance=Tolerance())
    for step in range(50):
        _count_admitted(first, 1, START + 0.1 * step)
    now = START + 5.0
    restarted = Quotas(Tolerance(), rng=random.Random(1), assumes_bursts=True)
    restarted.configure([ONE], now)
    admitted = 0
    for step in range(1, 50):
        _gossip(first, "host-0", [second, restarted], now + 0.1 * step)
        admitted += _count_admitted(restarted, 1, now + 0.1 * step)
    assert admitted >= 45


def test_silent_hosts_keep_their_part_of_a_burst():
    """Guards against a burst that is admitted by hosts that are cut off and others."""
    hosts = _hosts(4, (ONE._replace(burst=200.0),))
    for step in range(70):
        now = START + 0.1 * step
        for number, host in enumerate(hosts):
            _count_admitted(host, 1 if step % 4 == number else 0, now)
            others = [other for other in hosts if other is not host]
            _gossip(host, f"host-{number}", others, now)
            if step % 10 == 0:
                host.tick(now)
    heard, admitted = hosts[:2], 0
    for step in range(70, 82):
        now = START + 0.1 * step
        for number, host in enumerate(heard):
            admitted += _count_admitted(host, 20, now)
            others = [other for other in heard if other is not host]
            _gossip(host, f"host-{number}", others, now)
    # The other two hosts have as much of the limit, and may serve on.
    assert admitted <= 0.75 * (5 * 20 + 200 - 50)

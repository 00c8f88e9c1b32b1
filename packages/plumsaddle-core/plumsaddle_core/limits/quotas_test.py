"""
Tests of limits that several hosts keep together, told to each other by hand.
"""

import random

import pytest

from ..core.traffic import Workspace
from ..ops.shared_state import SharedState
from .liveness import EVICTION_TIMEOUT, HostCount
from .meter import DecayingSum, Tolerance
from .quotas import IDLE_TIMEOUT, Quotas

EXACT = Tolerance(5.0, 0.0, 0.0)
ONE = Workspace("one", (), rate=20.0, burst=20.0)
FREE = Workspace("free", ())
START = 1000.0


def _hosts(count, workspaces=(ONE,), tolerance=EXACT, centres=1):
    hosts = [
        Quotas(tolerance, centres, random.Random(number)) for number in range(count)
    ]
    for own, host in enumerate(hosts):
        host.configure(workspaces, START)
        for number in range(count):
            if number != own:
                # They have heard of each other a while ago.
                host.merge_local(f"host-{number}", 1, [], START - 10.0)
                host.merge_local(f"host-{number}", 1, [], START)
    return hosts


def _tell(sender, name, takers, now, life=1):
    rows = sender.local_rows(now)
    for taker in takers:
        taker.merge_local(name, life, rows, now)
    return rows


def _ask(host, count, now, workspace=ONE):
    """Return how many of some requests were let through."""
    return sum(host.acquire(workspace, now).is_admitted for _ in range(count))


def test_a_sum_fades():
    total = DecayingSum(5.0)
    total.add(2.0, 10.0)
    assert total.at(10.0) == 2.0
    assert total.at(15.0) == pytest.approx(2.0 / 2.718281828)
    assert total.add(1.0, 15.0) == pytest.approx(1.0 + 2.0 / 2.718281828)


def test_a_workspace_without_a_limit_is_never_refused_nor_counted():
    (host,) = _hosts(1, (FREE,))
    assert _ask(host, 5000, START, FREE) == 5000
    assert _ask(host, 5, START, None) == 5
    assert not host.workspace_count
    assert host.local_rows(START) == []


def test_any_window_holds_the_rate_and_the_burst():
    (host,) = _hosts(1)
    # What came before the host began is taken for the rate.
    assert 14 <= _ask(host, 100, START) <= 20
    admitted = [_ask(host, 10, START + 0.1 * step) for step in range(1, 301)]
    windows = [sum(admitted[step : step + 50]) for step in range(250)]
    assert max(windows) <= 5 * 20 + 20
    assert min(windows) >= 5 * 20 * 0.9


def test_a_workspace_below_its_limit_never_notices():
    """Requests that come in clumps are refused though any window has room for them."""
    (host,) = _hosts(1)
    clumps = [_ask(host, 15, START + second) for second in range(10, 60)]
    assert clumps == [15] * 50


def test_what_other_hosts_let_through_counts():
    """
    A workspace asks each of three hosts for its whole limit and gets it three times.
    """
    hosts = _hosts(3)
    admitted = 0
    for step in range(100):
        now = START + 0.1 * step
        for number, host in enumerate(hosts):
            admitted += _ask(host, 6, now)
            others = [other for other in hosts if other is not host]
            _tell(host, f"host-{number}", others, now)
    assert 180 <= admitted <= 2 * (5 * 20 + 20)


def test_a_message_counts_once_however_often_it_comes():
    first, second = _hosts(2)
    _ask(first, 8, START)
    rows = first.local_rows(START)
    for _ in range(5):
        second.merge_local("host-0", 1, rows, START)
    assert 9 <= _ask(second, 50, START) <= 12


def test_a_lost_message_is_made_up_for_by_the_next_one():
    first, second = _hosts(2)
    second.merge_local("host-0", 1, [], START)
    _ask(first, 10, START)
    first.local_rows(START)
    first.local_rows(START)
    _ask(first, 1, START)
    _tell(first, "host-0", [second], START)
    assert _ask(second, 50, START) <= 11


def test_a_host_that_starts_again_gives_nothing_back():
    """
    A workspace has its limit once more with each restart of a host.

    The host forgets what it has let through, and the sum that it tells from then on is
    smaller than the one that the others know.
    """
    first, second = _hosts(2)
    _ask(first, 18, START)
    _tell(first, "host-0", [second], START)
    (reborn,) = _hosts(1)
    _ask(reborn, 1, START)
    _tell(reborn, "host-0", [second], START, life=2)
    # One is left, and a quarter of a second's rate comes back at a time.
    assert _ask(second, 50, START) <= 1 + 5


def test_two_speakers_for_a_data_centre_do_not_add_up():
    """
    A workspace is refused while it asks little.

    Two hosts speak for another data centre by turns, and one of them knows less. Each
    time the other one's turn comes, the difference looks like new requests.
    """
    here, more, less = _hosts(3, centres=2)
    _ask(more, 12, START)
    _ask(less, 4, START)
    for _ in range(20):
        for speaker in (more, less):
            speaker._remote_pending = dict.fromkeys(speaker._states, 1)
            rows = speaker.remote_rows(START)
            here.merge_remote("y", HostCount(2), rows, START)
    assert _ask(here, 50, START) >= 5


def test_another_data_centre_is_not_told_of_workspaces_far_from_their_limits():
    """What is told grows with all workspaces, also with those that ask little."""
    big = Workspace("big", (), rate=500.0, burst=500.0)
    (host,) = _hosts(1, (ONE, big), centres=2)
    for step in range(50):
        now = START + 0.1 * step
        _ask(host, 1, now, ONE)
        _ask(host, 1, now, big)
    assert len(host.local_rows(now)) == 2
    assert len(host.remote_rows(now)) == 1


def test_a_request_that_did_not_run_is_given_back():
    (host,) = _hosts(1)
    for _ in range(100):
        assert host.acquire(ONE, START).is_admitted
        host.release(ONE, START)
    assert host.local_rows(START)[0].admitted == 0


def test_a_lower_limit_binds_at_once():
    (host,) = _hosts(1)
    host.acquire(ONE, START)
    host.configure([ONE._replace(rate=2.0, burst=2.0)], START)
    admitted = sum(_ask(host, 2, START + 0.1 * step) for step in range(100))
    assert admitted <= 2.0 * 10 + 2.0 + 4


def test_a_lower_limit_lets_through_what_it_allows_from_the_first_second():
    """
    All requests of a workspace are refused for seconds after its limit was lowered.

    What it had asked under the former limit was more than the new one allows in a
    window, so nothing was left until that window was over.
    """
    (host,) = _hosts(1)
    for step in range(60):
        _ask(host, 2, START + 0.1 * step)
    now = START + 6.0
    host.configure([ONE._replace(rate=5.0, burst=5.0)], now)
    first = sum(_ask(host, 2, now + 0.1 * step) for step in range(1, 21))
    assert first >= 0.7 * 5.0 * 2
    then = sum(_ask(host, 2, now + 0.1 * step) for step in range(21, 71))
    assert then <= 5.0 * 5 + 5.0


def test_a_workspace_that_is_gone_is_forgotten():
    (host,) = _hosts(1)
    host.acquire(ONE, START)
    host.configure([], START)
    assert not host.workspace_count
    assert host.acquire(ONE, START).is_admitted


def test_workspaces_that_ask_nothing_are_forgotten():
    """Memory grows with each workspace that ever asked."""
    first, second = _hosts(2)
    first.acquire(ONE, START)
    _tell(first, "host-0", [second], START)
    for host in (first, second):
        host.tick(START + IDLE_TIMEOUT + 1.0)
        assert not host.workspace_count
    assert not any(len(source.received) for source in second._liveness.sources())


def _play_cut(asked, seconds, workspace=ONE):
    """
    Return what two of three hosts and the third, cut off by itself, let through.

    For six seconds all hear each other and are asked the same, then one hears nobody.
    """
    hosts = _hosts(3, (workspace,))
    counts = [0, 0, 0]
    for step in range(int((6.0 + seconds) * 10)):
        now = START + 0.1 * step
        is_cut = step >= 60
        for number, host in enumerate(hosts):
            count = _ask(host, asked, now, workspace)
            if step >= 60 + 20:
                counts[number] += count
            takers = [
                other
                for n, other in enumerate(hosts)
                if n != number and not (is_cut and 2 in (n, number))
            ]
            _tell(host, f"host-{number}", takers, now)
            if step % 10 == 0:
                host.tick(now)
    return counts


def test_a_host_that_is_cut_off_keeps_to_its_part():
    """
    A workspace gets its limit twice while a host is cut off from the others.

    The host knows nothing of what these let through, nor do they of it, and both serve.
    """
    counts = _play_cut(asked=10, seconds=12.0)
    assert sum(counts) <= 1.15 * ONE.rate * 10
    assert counts[2] <= 0.45 * ONE.rate * 10


def test_a_cut_refuses_nobody_who_keeps_to_his_limit():
    modest = Workspace("one", (), rate=60.0, burst=60.0)
    counts = _play_cut(asked=1, seconds=12.0, workspace=modest)
    assert sum(counts) >= 0.97 * 3 * 10 * 10


def test_a_host_that_is_gone_for_long_has_no_part():
    first, second = _hosts(2)
    for step in range(100):
        now = START + 0.1 * step
        for number, host in enumerate((first, second)):
            _ask(host, 1, now)
            _tell(host, f"host-{number}", [second if host is first else first], now)
        first.tick(now)
    for second_ in range(int(EVICTION_TIMEOUT) + 3):
        first.note_hub(now + second_)
        first.tick(now + second_)
    decision = [first.acquire(ONE, now + second_) for _ in range(100)][-1]
    assert (decision.reachable_share, decision.unreachable_hosts) == (1.0, 0)


def test_a_refusal_says_when_there_is_room():
    """
    Callers are told to come back at once, or all at the same moment, or never.
    """
    (host,) = _hosts(1)
    pauses = [
        decision.retry_after
        for decision in (host.acquire(ONE, START) for _ in range(200))
        if not decision.is_admitted
    ]
    assert 0.04 < min(pauses) < max(pauses) <= 5.0
    assert max(pauses) - min(pauses) > 0.3


def test_a_zone_keeps_the_limits_that_it_is_given():
    """
    The settings of an installation are without effect.

    Limits of which nothing is kept yet were taken for none, and replaced by others.
    """
    quotas = Quotas(EXACT)
    assert SharedState(0.2, 10.0, START, quotas=quotas).quotas is quotas

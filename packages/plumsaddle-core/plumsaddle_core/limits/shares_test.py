"""
The shares of hosts in the rate limits of targets.
"""

import pytest
from hypothesis import given, strategies as st

from .shares import MIN_HOSTS, HostDemand, LimitedTarget, compute_shares


def _hosts(count, demand=1.0):
    return [HostDemand(f"host-{number}", demand) for number in range(count)]


def _targets(count, rate):
    return [LimitedTarget(f"target-{number}", rate) for number in range(count)]


def _all_shares(targets, hosts):
    return {host: compute_shares(targets, hosts, host) for host, _ in hosts}


@given(
    st.lists(st.sampled_from([0.2, 1.4, 2.3, 20.0, 200.0]), min_size=1, max_size=40),
    st.lists(st.floats(0.0, 50.0), min_size=1, max_size=60),
)
def test_the_shares_of_a_target_add_up_to_its_limit(rates, demands):
    """Guards against hosts that together send more than a target takes, or less."""
    targets = [LimitedTarget(f"target-{n}", rate) for n, rate in enumerate(rates)]
    hosts = [HostDemand(f"host-{n}", demand) for n, demand in enumerate(demands)]
    shares = _all_shares(targets, hosts).values()
    for life, rate in targets:
        total = sum(share.get(life, 0.0) for share in shares)
        assert total == pytest.approx(rate, rel=1e-6)


@pytest.mark.parametrize("hosts", [14, 45, 59, 100])
@pytest.mark.parametrize("rate", [0.2, 1.4, 2.3, 20.0, 200.0])
@pytest.mark.parametrize("count", [1, 5, 36])
def test_few_hosts_hold_a_token_of_one_target(hosts, rate, count):
    """Guards against a full bucket on each host, which adds up to a burst."""
    shares = _all_shares(_targets(count, rate), _hosts(hosts)).values()
    for life, _ in _targets(count, rate):
        senders = sum(1 for share in shares if life in share)
        assert senders <= max(MIN_HOSTS, rate) + 2


def test_each_host_has_a_share_while_the_limits_allow_it():
    """Guards against hosts that must refuse all callers while others have room."""
    shares = _all_shares(_targets(5, 2.9), _hosts(14))
    assert all(sum(share.values()) > 0.9 for share in shares.values())


def test_shares_follow_the_demand():
    hosts = [HostDemand("busy", 9.0), HostDemand("idle", 0.0), HostDemand("new", 1.0)]
    shares = _all_shares(_targets(4, 5.0), hosts)
    sums = {host: sum(share.values()) for host, share in shares.items()}
    assert sums["busy"] > 0.8 * 20.0
    assert 0.0 < sums["idle"] < sums["new"] < 0.15 * 20.0


def test_a_small_change_of_demand_moves_shares_by_little():
    """Guards against hosts that see each other's demand at different times."""
    hosts = _hosts(14, 3.0)
    changed = [HostDemand(h, d + 0.1 * (n % 3)) for n, (h, d) in enumerate(hosts)]
    for host, _ in hosts:
        before = compute_shares(_targets(5, 4.0), hosts, host)
        after = compute_shares(_targets(5, 4.0), changed, host)
        lives = before.keys() | after.keys()
        moved = sum(abs(before.get(x, 0.0) - after.get(x, 0.0)) for x in lives)
        assert moved < 0.5 * 20.0 / 14


def test_without_demand_all_hosts_are_equal():
    shares = _all_shares(_targets(2, 10.0), _hosts(4, 0.0))
    assert all(sum(s.values()) == pytest.approx(5.0) for s in shares.values())

"""
Tests of the shares of hosts in the rate limits of targets.
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
    """Guards against hosts that together exceed or underuse a limit."""
    targets = [LimitedTarget(f"target-{n}", rate) for n, rate in enumerate(rates)]
    hosts = [HostDemand(f"host-{n}", demand) for n, demand in enumerate(demands)]
    all_shares = _all_shares(targets, hosts).values()
    for incarnation, rate in targets:
        total = sum(shares.get(incarnation, 0.0) for shares in all_shares)
        assert total == pytest.approx(rate, rel=1e-6)


@pytest.mark.parametrize("hosts", [14, 45, 59, 100])
@pytest.mark.parametrize("rate", [0.2, 1.4, 2.3, 20.0, 200.0])
@pytest.mark.parametrize("count", [1, 5, 36])
def test_few_hosts_have_a_share_in_a_target(hosts, rate, count):
    """Guards against bursts from full buckets on many hosts."""
    all_shares = _all_shares(_targets(count, rate), _hosts(hosts)).values()
    for incarnation, _ in _targets(count, rate):
        senders = sum(1 for shares in all_shares if incarnation in shares)
        assert senders <= max(MIN_HOSTS, rate) + 2


def test_each_host_has_a_share_while_the_limits_allow_it():
    """Guards against hosts that refuse all callers while others have shares left."""
    all_shares = _all_shares(_targets(5, 2.9), _hosts(14))
    assert all(sum(shares.values()) > 0.9 for shares in all_shares.values())


def test_shares_follow_the_demand():
    hosts = [HostDemand("busy", 9.0), HostDemand("idle", 0.0), HostDemand("new", 1.0)]
    all_shares = _all_shares(_targets(4, 5.0), hosts)
    totals = {host: sum(shares.values()) for host, shares in all_shares.items()}
    assert totals["busy"] > 0.8 * 20.0
    assert 0.0 < totals["idle"] < totals["new"] < 0.15 * 20.0


def test_a_small_change_of_demand_changes_shares_by_little():
    """Guards against large errors when hosts see a demand at different times."""
    hosts = _hosts(14, 3.0)
    changed = [HostDemand(h, d + 0.1 * (n % 3)) for n, (h, d) in enumerate(hosts)]
    for host, _ in hosts:
        before = compute_shares(_targets(5, 4.0), hosts, host)
        after = compute_shares(_targets(5, 4.0), changed, host)
        incarnations = before.keys() | after.keys()
        change = sum(abs(before.get(x, 0.0) - after.get(x, 0.0)) for x in incarnations)
        assert change < 0.5 * 20.0 / 14


def test_without_demand_all_hosts_are_equal():
    all_shares = _all_shares(_targets(2, 10.0), _hosts(4, 0.0))
    assert all(sum(s.values()) == pytest.approx(5.0) for s in all_shares.values())

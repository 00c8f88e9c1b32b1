"""
Tests of limits at hosts that have started and know no other host yet.
"""

import random

import pytest

from ..core.traffic import Workspace
from .meter import Tolerance
from .quotas import ASSUMED_HOSTS, DISCOVERY_TIME, START_TIME, Quotas

START = 1000.0
ONE = Workspace("one", (), rate=40.0, burst=20.0)
TOLERANCE = Tolerance()
ALLOWED = (40.0 * 5.0 + 20.0) * (1.0 + TOLERANCE.overshoot) + TOLERANCE.slack
LISTED_AT = 0.25


class _Fleet:
    """Hosts that have started together; each gets the same number of requests."""

    def __init__(self, count):
        self.hosts = [
            Quotas(TOLERANCE, 1, random.Random(n), True, ASSUMED_HOSTS)
            for n in range(count)
        ]
        for host in self.hosts:
            host.configure([ONE], START)
        self.at = 0.0
        # When requests were admitted and refused, in seconds from the start.
        self.admitted = []
        self.refused = []

    def press(self, per_host, until, listed=None, found_at=None):
        """Send requests, evenly in time, until so many seconds after the start."""
        step = 1.0 / (per_host * len(self.hosts))
        number = 0
        while self.at < until:
            if listed and self.at >= LISTED_AT:
                for host in self.hosts:
                    host.expect_hosts(listed)
                listed = None
            if found_at is not None and self.at >= found_at:
                self._gossip()
            host = self.hosts[number % len(self.hosts)]
            is_admitted = host.acquire(ONE, START + self.at).is_admitted
            (self.admitted if is_admitted else self.refused).append(self.at)
            number += 1
            self.at += step

    def _gossip(self):
        for own, host in enumerate(self.hosts):
            rows = host.local_rows(START + self.at)
            for other, receiver in enumerate(self.hosts):
                if other != own:
                    receiver.merge_local(f"h{own}", 1, rows, START + self.at)

    def most_in_window(self):
        """Return the most that was admitted in five seconds."""
        times = self.admitted
        return max(sum(1 for t in times if at <= t <= at + 5.0) for at in times)


@pytest.mark.parametrize(
    ("count", "listed"), [(5, None), (5, 8), (30, None), (30, 30), (30, 50)]
)
def test_hosts_that_know_nobody_share_a_limit(count, listed):
    """Guards against each host that finds no other one admitting the whole limit."""
    fleet = _Fleet(count)
    fleet.press(180.0 / count, DISCOVERY_TIME, listed)
    # The rest of the window lies before the start, and the rate was used then.
    before = ONE.rate * (TOLERANCE.window - DISCOVERY_TIME)
    assert len(fleet.admitted) <= ALLOWED - before


@pytest.mark.parametrize("listed", [None, 8])
def test_hosts_that_find_each_other_keep_the_limit_and_use_it(listed):
    """Guards against counts for others that are still used once these report."""
    fleet = _Fleet(5)
    fleet.press(36.0, 14.0, listed, found_at=2.0)
    assert fleet.most_in_window() <= ALLOWED
    assert sum(1 for at in fleet.admitted if at >= 7.0) >= 0.85 * 40.0 * 7.0


@pytest.mark.parametrize("listed", [None, 4])
def test_a_host_that_is_alone_uses_the_whole_limit(listed):
    """Guards against a share that waits for hosts which don't come back."""
    fleet = _Fleet(1)
    fleet.press(36.0, 15.0, listed)
    assert sum(1 for at in fleet.admitted if 5.0 <= at < 15.0) >= 0.9 * 360


def test_a_workspace_below_its_limit_is_served_while_hosts_find_each_other():
    """Guards against refusals that no limit asks for after the loss of all hosts."""
    fleet = _Fleet(5)
    fleet.press(4.0, 10.0, listed=8, found_at=0.6)
    assert not [at for at in fleet.refused if at > START_TIME]


def test_a_host_that_the_list_names_alone_has_the_whole_limit_at_once():
    """Guards against a first start that waits for hosts which never existed."""
    fleet = _Fleet(1)
    fleet.press(20.0, 5.0, listed=1)
    assert not [at for at in fleet.refused if at > START_TIME]

"""
Tests of the bound on what hosts tell each other, at data centres of three sizes.
"""

import random

import pytest

from .pacing import (
    OVERDRAWN_FOR,
    SAVED_FOR,
    TOLD_DATAGRAMS,
    TOLD_SHARE,
    Allowance,
    SendPacer,
    told_rate,
)

# A link of 10 Mbit/s, in bytes a second.
LINK = 1_250_000.0
# A message with its datagram's headers: some work in flight and two outcomes. One that
# tells eight outcomes, all counts and each outcome at once has 800 bytes.
MESSAGE = 230
LONG_MESSAGE = 800
EVENTS_PER_S = 20.0
SECONDS = 20.0


def _play(hosts, rate, message=MESSAGE, seed=1):
    """Tell events as they come; return bytes a second and the oldest news in ms."""
    rng = random.Random(seed)
    allowance = Allowance(rate)
    at, sent, oldest, due = 0.0, 0, 0.0, None
    while at < SECONDS:
        at += rng.expovariate(EVENTS_PER_S)
        if due is None:
            due = at + allowance.wait(False, at)
            told_from = at
        if due <= at:
            size = message * (hosts - 1)
            allowance.spend(size, due)
            sent += size
            oldest = max(oldest, due - told_from)
            due = None
    return sent / SECONDS, oldest * 1000


@pytest.mark.parametrize("hosts", [12, 45, 100])
def test_telling_takes_a_small_part_of_the_link(hosts):
    """
    Requests wait half a second at their own host, and versions come seconds late.

    Forty-five hosts tell each other each start and end at once and fill their small
    links; nothing that a host sends or reads gets through in time.
    """
    bounded, oldest = _play(hosts, told_rate(LINK))
    assert bounded <= LINK * TOLD_SHARE * (1 + SAVED_FOR)
    # The news of a hundred hosts is half a second old at most.
    assert oldest <= 1000 * MESSAGE * hosts / (LINK * TOLD_SHARE) + 1
    unbounded, _ = _play(hosts, None, LONG_MESSAGE)
    assert unbounded > 3 * bounded
    if hosts > 12:
        assert unbounded > LINK / 2


@pytest.mark.parametrize(
    ("others", "events", "usual_wait"), [(13, 7.4, 0.03), (44, 20, 0.25)]
)
def test_small_data_centres_tell_at_once_and_large_ones_together(
    others, events, usual_wait
):
    """
    Hosts of a large data centre spend more on telling each other than on requests.

    Four requests a second and 13 other hosts are today's small deployments; ten and 44
    are the larger size.
    """
    rng = random.Random(1)
    datagrams = Allowance(TOLD_DATAGRAMS)
    at, sent, due, waits = 0.0, 0, None, []
    while at < SECONDS:
        at += rng.expovariate(events)
        if due is None:
            waits.append(datagrams.wait(False, at))
            due = at + waits[-1]
        if due <= at:
            datagrams.spend(others, at)
            sent += others
            due = None
    assert sent <= TOLD_DATAGRAMS * (SECONDS + SAVED_FOR) + others
    assert sorted(waits)[len(waits) // 2] <= usual_wait
    # Nothing waits longer than one message of all datagrams takes to earn.
    assert max(waits) <= others / TOLD_DATAGRAMS + 0.001


def test_failures_go_out_while_other_news_waits():
    allowance = Allowance(1000.0)
    allowance.spend(1000 * SAVED_FOR + 300, 0.0)
    assert allowance.wait(False, 0.0) == pytest.approx(0.3)
    assert allowance.wait(True, 0.0) == 0.0
    allowance.spend(1000 * OVERDRAWN_FOR, 0.0)
    assert allowance.wait(True, 0.0) == pytest.approx(0.3)


def test_a_quiet_host_saves_little():
    allowance = Allowance(1000.0)
    allowance.wait(False, 0.0)
    allowance.spend(1000 * SAVED_FOR + 100, 1000.0)
    assert allowance.wait(False, 1000.0) == pytest.approx(0.1)


def test_failures_have_datagrams_of_their_own():
    """
    Four to seven hosts lose an order to a target that has begun to fail.

    The hub had used up its datagrams for other news when the first failure came.
    """
    allowances = SendPacer(None)
    spent = TOLD_DATAGRAMS * SAVED_FOR + 60
    allowances.spend(spent, 0, 0.0)
    assert allowances.wait(False, 0.0) == pytest.approx(60 / TOLD_DATAGRAMS)
    assert allowances.wait(True, 0.0) == 0.0
    unbounded = SendPacer(None, is_bounded=False)
    unbounded.spend(1_000_000, 1_000_000, 0.0)
    assert unbounded.wait(False, 0.0) == 0.0

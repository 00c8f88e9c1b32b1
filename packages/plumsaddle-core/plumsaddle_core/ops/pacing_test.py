"""
Tests of the pacing of updates between hosts, in data centres of several sizes.
"""

import random

import pytest

from .pacing import (
    BURST_SECONDS,
    LINK_FRACTION,
    MAX_DATAGRAM_RATE,
    OVERDRAFT_SECONDS,
    OverdraftBucket,
    SendPacer,
    max_byte_rate,
)

# A link of 10 Mbit/s, in bytes per second.
LINK = 1_250_000.0
# Sizes of an update with headers: with few entries, and with eight outcomes.
MESSAGE = 230
LONG_MESSAGE = 800
EVENTS_PER_S = 20.0
DURATION = 20.0


def _simulate(hosts, rate, message=MESSAGE, seed=1):
    """Send events as updates; return bytes per second and the longest delay in ms."""
    rng = random.Random(seed)
    bucket = OverdraftBucket(rate)
    at, sent, oldest, due = 0.0, 0, 0.0, None
    while at < DURATION:
        at += rng.expovariate(EVENTS_PER_S)
        if due is None:
            due = at + bucket.wait(False, at)
            queued_at = at
        if due <= at:
            size = message * (hosts - 1)
            bucket.spend(size, due)
            sent += size
            oldest = max(oldest, due - queued_at)
            due = None
    return sent / DURATION, oldest * 1000


@pytest.mark.parametrize("hosts", [12, 45, 100])
def test_updates_use_a_small_part_of_the_link(hosts):
    """Unlimited updates of 45 hosts would saturate a slow link and delay requests."""
    limited, oldest = _simulate(hosts, max_byte_rate(LINK))
    assert limited <= LINK * LINK_FRACTION * (1 + BURST_SECONDS)
    # With a hundred hosts, updates are delayed by half a second at most.
    assert oldest <= 1000 * MESSAGE * hosts / (LINK * LINK_FRACTION) + 1
    unlimited, _ = _simulate(hosts, None, LONG_MESSAGE)
    assert unlimited > 3 * limited
    if hosts > 12:
        assert unlimited > LINK / 2


@pytest.mark.parametrize(
    ("others", "events", "max_median_wait"), [(13, 7.4, 0.03), (44, 20, 0.25)]
)
def test_small_data_centres_send_at_once_and_large_ones_batch(
    others, events, max_median_wait
):
    """Guards against updates that cost more than requests in large data centres."""
    rng = random.Random(1)
    datagrams = OverdraftBucket(MAX_DATAGRAM_RATE)
    at, sent, due, waits = 0.0, 0, None, []
    while at < DURATION:
        at += rng.expovariate(events)
        if due is None:
            waits.append(datagrams.wait(False, at))
            due = at + waits[-1]
        if due <= at:
            datagrams.spend(others, at)
            sent += others
            due = None
    assert sent <= MAX_DATAGRAM_RATE * (DURATION + BURST_SECONDS) + others
    assert sorted(waits)[len(waits) // 2] <= max_median_wait
    # No update waits longer than the tokens of one update to all hosts take to refill.
    assert max(waits) <= others / MAX_DATAGRAM_RATE + 0.001


def test_urgent_updates_may_overdraw():
    bucket = OverdraftBucket(1000.0)
    bucket.spend(1000 * BURST_SECONDS + 300, 0.0)
    assert bucket.wait(False, 0.0) == pytest.approx(0.3)
    assert bucket.wait(True, 0.0) == 0.0
    bucket.spend(1000 * OVERDRAFT_SECONDS, 0.0)
    assert bucket.wait(True, 0.0) == pytest.approx(0.3)


def test_an_idle_host_saves_few_tokens():
    bucket = OverdraftBucket(1000.0)
    bucket.wait(False, 0.0)
    bucket.spend(1000 * BURST_SECONDS + 100, 1000.0)
    assert bucket.wait(False, 1000.0) == pytest.approx(0.1)


def test_urgent_updates_have_datagrams_of_their_own():
    """Guards against load updates that delay the first report of a failure."""
    pacer = SendPacer(None)
    spent = MAX_DATAGRAM_RATE * BURST_SECONDS + 60
    pacer.spend(spent, 0, 0.0)
    assert pacer.wait(False, 0.0) == pytest.approx(60 / MAX_DATAGRAM_RATE)
    assert pacer.wait(True, 0.0) == 0.0
    unlimited = SendPacer(None, is_limited=False)
    unlimited.spend(1_000_000, 1_000_000, 0.0)
    assert unlimited.wait(False, 0.0) == 0.0

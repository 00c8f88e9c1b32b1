"""
Tests of the pacing of long responses.
"""

import heapq

from .link_share import MAX_BACKLOG, LinkShare, chunk_size

SLOW = 5 * 125_000.0
LONG = 540_000


def _play(link_rate, streams, seconds, is_paced):
    """Write long responses to a link, and return its longest queue and bytes sent."""
    share, idle_at, longest, sent = LinkShare(), 0.0, 0.0, [0] * streams
    size = chunk_size(link_rate) if is_paced else LONG
    writes = [(0.0, number) for number in range(streams)]
    while writes[0][0] < seconds:
        at, number = heapq.heappop(writes)
        if is_paced and (wait := share.reserve(size, link_rate, at)):
            at += wait
        longest = max(longest, idle_at - at)
        idle_at = max(idle_at, at) + size / link_rate
        sent[number] += size
        heapq.heappush(writes, (at if is_paced else idle_at, number))
    return longest, sent


def test_a_short_response_waits_little_behind_long_ones_on_a_slow_link():
    """Guards against lookups that wait for whole catalogues on 5 Mbit/s."""
    longest, _ = _play(SLOW, 5, 20.0, is_paced=True)
    assert longest <= MAX_BACKLOG + 0.001
    unpaced, _ = _play(SLOW, 5, 20.0, is_paced=False)
    assert unpaced > 10 * longest


def test_long_responses_use_the_link_and_share_it_equally():
    """Guards against pacing that slows long responses down on an idle link."""
    _, sent = _play(SLOW, 5, 20.0, is_paced=True)
    assert sum(sent) >= 0.9 * SLOW * 20.0
    assert max(sent) - min(sent) <= 0.01 * max(sent)
    _, sent = _play(SLOW, 1, 5.0, is_paced=True)
    assert sent[0] >= 0.9 * SLOW * 5.0


def test_nothing_waits_on_a_link_of_unknown_capacity():
    share = LinkShare()
    assert [share.reserve(LONG, None, 0.0) for _ in range(9)] == [0.0] * 9


def test_short_responses_take_the_link_before_long_ones():
    """Guards against long responses that fill what short ones have already taken."""
    share = LinkShare()
    for _ in range(20):
        share.reserve(SLOW / 10, SLOW, 0.0)
    assert share.reserve(4096, SLOW, 0.0) > 1.5

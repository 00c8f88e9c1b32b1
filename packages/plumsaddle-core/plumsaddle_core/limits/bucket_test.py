"""
Tests of token buckets.
"""

import pytest

from .bucket import TokenBucket


def test_a_bucket_starts_empty_and_fills_to_its_capacity():
    bucket = TokenBucket(2.0, 1.5, 10.0)
    assert bucket.tokens(10.0) == 0.0
    assert bucket.tokens(10.5) == 1.0
    assert bucket.tokens(20.0) == 1.5


def test_a_released_token_never_exceeds_the_capacity():
    bucket = TokenBucket(1.0, 1.5, 0.0)
    bucket.acquire(2.0)
    assert bucket.tokens(2.0) == 0.5
    bucket.release(3.0)
    assert bucket.tokens(3.0) == 1.5


def test_a_higher_rate_applies_from_its_change_on():
    """Guards against applying a new rate to the time before its change."""
    bucket = TokenBucket(0.1, 1.5, 0.0)
    bucket.set_rate(10.0, 5.0, 4.0)
    assert bucket.tokens(4.0) == 0.4
    assert bucket.tokens(4.1) == pytest.approx(1.4)


def test_the_wait_lasts_until_a_token_is_available():
    bucket = TokenBucket(0.5, 1.5, 0.0)
    assert bucket.wait(0.0) == 2.0
    assert bucket.wait(5.0) == 0.0


def test_reserved_tokens_become_available_one_by_one():
    """Guards against waiting requests that are all sent at the same time."""
    bucket = TokenBucket(2.0, 1.0, 0.0)
    waits = []
    for _ in range(3):
        waits.append(bucket.wait(0.0))
        bucket.acquire(0.0)
    assert waits == [0.5, 1.0, 1.5]

"""
Tests of the use of a retry budget by many hosts, in virtual time.
"""

import heapq
import math
import random

import pytest

from ..ops.data_centre_retry_budget import DataCentreRetryBudget
from .retry_budget import RequestHistory

WINDOW = 10.0
RATIO = 0.2
EXTRA = 65.0
# Seconds until another host learns of a retry: the interval of counts, and the hub's.
REPORT_DELAYS = (0.1, 0.5)
REJECTING = (15.0, 23.5)


def _spend(host_count, rate, decide, seed):
    """
    Return the times of requests and retries while a service rejects most requests.

    Each host decides from what it has been told. A rejected request is retried once.
    """
    rng = random.Random(seed)
    budgets = [DataCentreRetryBudget(RATIO, WINDOW) for _ in range(host_count)]
    reports, requests, retries = [], [], []
    at, end = 0.0, 40.0

    def tell(host, note, delay):
        for other in range(host_count):
            after = 0.0 if other == host else delay
            heapq.heappush(reports, (at + after, len(reports), other, note))

    while at < end:
        at += rng.expovariate(rate)
        while reports and reports[0][0] <= at:
            told_at, _, host, note = heapq.heappop(reports)
            getattr(budgets[host], note)(1, told_at)
        host = rng.randrange(host_count)
        requests.append(at)
        tell(host, "note_requests", rng.uniform(*REPORT_DELAYS))
        is_rejected = REJECTING[0] <= at < REJECTING[1] and rng.random() < 0.55
        if is_rejected and decide(budgets[host], at, rng):
            retries.append(at)
            tell(host, "note_retries", rng.uniform(*REPORT_DELAYS))
    return requests, retries


def _paced(budget, at, rng):
    return rng.random() < budget.retry_probability(EXTRA, at)


def _with_margin(budget, at, rng):
    return budget.may_retry(EXTRA, at)


def _highest_use(requests, retries):
    """Return the highest ratio of retries to the limit in any window."""
    highest = 0.0
    for step in range(200):
        end = 20.0 * step / 200 + 12.0
        spent = _count(retries, end)
        owed = max(_count(requests, end - ago) for ago in (0.0, WINDOW / 2, WINDOW))
        highest = max(highest, spent / (RATIO * owed + EXTRA))
    return highest


def _count(times, end):
    return sum(end - WINDOW < at <= end for at in times)


@pytest.mark.parametrize(("host_count", "rate"), [(6, 90.0), (15, 90.0), (41, 120.0)])
def test_a_service_that_rejects_gets_the_retries_it_may_have(host_count, rate):
    """Guards against refusing requests while a part of the budget is unused."""
    for seed in range(3):
        use = _highest_use(*_spend(host_count, rate, _paced, seed))
        assert 0.88 < use <= 1.0, (seed, use)


def test_the_paced_budget_sends_more_than_a_margin_allows():
    former = _spend(15, 90.0, _with_margin, 1)[1]
    assert len(_spend(15, 90.0, _paced, 1)[1]) > len(former)


def test_the_limit_follows_the_window_with_the_most_requests():
    """Guards against losing retries when the demand falls after a burst."""
    history = RequestHistory(10.0)
    for step in range(100):
        history.add(10, step / 10)
    assert history.highest(10.0) >= 900
    history.add(1, 18.0)
    # 800 requests arrived between 0 and 8, the window before the current one.
    assert 750 <= history.highest(18.0) <= 800
    assert history.highest(30.0) <= 1


def test_the_wait_for_a_retry_ends_when_the_window_frees_one():
    """Guards against refusing a request just before a retry is left, or long after."""
    budget = DataCentreRetryBudget(RATIO, WINDOW)
    assert budget.retry_wait(0.0, 1.0) == math.inf
    for number in range(20):
        budget.note_retries(1, 1.0 + number / 10)
    assert budget.retry_wait(40.0, 3.0) == 0.0
    wait = budget.retry_wait(20.0, 3.0)
    assert budget.retry_probability(20.0, 3.0 + wait - 0.01) == 0.0
    assert budget.retry_probability(20.0, 3.0 + wait + 0.01) > 0.0

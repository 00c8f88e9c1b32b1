"""
Tests of the urgency of requests and its effect on refusals and retries.
"""

import pytest

from ..core.traffic import RequestKind, Route, Share, Workspace
from .data_centre_retry_budget import DataCentreRetryBudget
from .urgency import (
    RequestPriority,
    max_wait_fraction,
    priorities_by_service,
    ranks_by_service,
    relative_urgency,
    request_priority,
    usable_retry_fraction,
)


def _route(name, priority, service="s", is_public=False):
    kind, shares = RequestKind.IDEMPOTENT, (Share(service, 1.0),)
    return Route(name, "h", f"/{name}/", kind, shares, 2, 1.0, 1.0, priority, is_public)


FIRST, LAST = Workspace("a", (), priority=0), Workspace("b", (), priority=5)
HIGH, LOW = _route("high", 1), _route("low", 2)


def test_a_workspaces_priority_precedes_its_routes():
    priorities = priorities_by_service([HIGH, LOW], [FIRST, LAST])["s"]
    order = [(FIRST, HIGH), (FIRST, LOW), (LAST, HIGH), (LAST, LOW)]
    found = [
        relative_urgency(priorities, request_priority(route, workspace))
        for workspace, route in order
    ]
    assert found == pytest.approx([1.0, 2 / 3, 1 / 3, 0.0])


def test_without_workspaces_all_requests_are_urgent():
    """Requests would be refused for others that hardly ever come."""
    assert priorities_by_service([HIGH, LOW], []) == {}


def test_queues_rank_routes_also_without_workspaces():
    """Guards against a burst of one route that delays more urgent ones."""
    ranks = ranks_by_service([HIGH, LOW], [])["s"]
    found = [
        relative_urgency(ranks, request_priority(route, None)) for route in (HIGH, LOW)
    ]
    assert found == [1.0, 0.0]
    both = ([HIGH, LOW], [FIRST, LAST])
    assert ranks_by_service(*both) == priorities_by_service(*both)
    assert relative_urgency((), request_priority(LOW, None)) == 1.0


def test_requests_of_equal_priority_are_all_urgent():
    priorities = priorities_by_service(
        [_route("one", 3), _route("two", 1, "t")], [FIRST]
    )
    assert relative_urgency(priorities["s"], RequestPriority(0, 3)) == 1.0
    assert relative_urgency(priorities["t"], RequestPriority(0, 1)) == 1.0
    # A priority from an old configuration.
    assert relative_urgency(priorities["s"], RequestPriority(9, 9)) == 1.0


def test_a_request_without_workspace_has_its_routes_priority():
    public = _route("public", 4, is_public=True)
    priorities = priorities_by_service([public], [FIRST])["s"]
    assert relative_urgency(priorities, request_priority(public, None)) == 0.0


def test_less_urgent_retries_leave_some_to_urgent_requests():
    """Otherwise urgent requests would fail for lack of retries."""
    budget = DataCentreRetryBudget(0.2, 10.0)
    budget.note_requests(1000, 0.0)
    less_urgent = 0
    while budget.may_retry(0.0, 1.0, usable_retry_fraction(0.0)):
        budget.note_retries(1, 1.0)
        less_urgent += 1
    urgent = 0
    while budget.may_retry(0.0, 1.0, usable_retry_fraction(1.0)):
        budget.note_retries(1, 1.0)
        urgent += 1
    assert urgent >= 0.25 * (less_urgent + urgent)


def test_less_urgent_requests_are_refused_sooner():
    assert (
        max_wait_fraction(0.0) < max_wait_fraction(0.5) < max_wait_fraction(1.0) == 1.0
    )

"""
Tests of who goes first where work is refused or tried again.
"""

import pytest

from ..core.traffic import RequestKind, Route, Share, Workspace
from .centre_retry_budget import CentreRetryBudget
from .urgency import (
    RequestPriority,
    max_wait_share,
    priorities_by_service,
    relative_urgency,
    request_priority,
    usable_retry_share,
)


def _route(name, rank, service="s", is_public=False):
    kind, shares = RequestKind.IDEMPOTENT, (Share(service, 1.0),)
    return Route(name, "h", f"/{name}/", kind, shares, 2, 1.0, 1.0, rank, is_public)


FIRST, LAST = Workspace("a", (), priority=0), Workspace("b", (), priority=5)
HIGH, LOW = _route("high", 1), _route("low", 2)


def test_a_workspaces_rank_goes_before_its_routes():
    ranks = priorities_by_service([HIGH, LOW], [FIRST, LAST])["s"]
    order = [(FIRST, HIGH), (FIRST, LOW), (LAST, HIGH), (LAST, LOW)]
    found = [
        relative_urgency(ranks, request_priority(route, workspace))
        for workspace, route in order
    ]
    assert found == pytest.approx([1.0, 2 / 3, 1 / 3, 0.0])


def test_without_workspaces_all_requests_are_urgent():
    """
    Look-ups are refused though there is room, as uploads rank before them.

    Hardly an upload goes to the look-ups' service, and the places stay empty.
    """
    assert priorities_by_service([HIGH, LOW], []) == {}
    assert relative_urgency((), request_priority(LOW, None)) == 1.0


def test_requests_that_are_ranked_alike_are_all_urgent():
    ranks = priorities_by_service([_route("one", 3), _route("two", 1, "t")], [FIRST])
    assert relative_urgency(ranks["s"], RequestPriority(0, 3)) == 1.0
    assert relative_urgency(ranks["t"], RequestPriority(0, 1)) == 1.0
    # Of a version that is not in force any more.
    assert relative_urgency(ranks["s"], RequestPriority(9, 9)) == 1.0


def test_nobodys_request_on_a_public_route_has_its_routes_rank():
    public = _route("public", 4, is_public=True)
    ranks = priorities_by_service([public], [FIRST])["s"]
    assert relative_urgency(ranks, request_priority(public, None)) == 0.0


def test_a_flood_of_less_urgent_retries_leaves_some_to_the_urgent():
    """
    An order of a workspace that goes first is refused though a target had room.

    Half of a service's targets refuse, and the look-ups of the others, ten times as
    many, have used up what the data centre may send again.
    """
    share = CentreRetryBudget(0.2, 10.0)
    share.note_requests(1000, 0.0)
    spent = 0
    while share.may_retry(0.0, 1.0, usable_retry_share(0.0)):
        share.note_retries(1, 1.0)
        spent += 1
    left = 0
    while share.may_retry(0.0, 1.0, usable_retry_share(1.0)):
        share.note_retries(1, 1.0)
        left += 1
    assert left >= 0.25 * (spent + left)


def test_the_less_urgent_is_refused_sooner():
    assert max_wait_share(0.0) < max_wait_share(0.5) < max_wait_share(1.0) == 1.0

"""
Tests of what the logs tell of a workspace's requests.
"""

import json

from .causes import sum_up_causes, tell_causes
from .events import read_events
from .workspace import tell_workspace


def _line(at, message, host="h1", **fields):
    line = {"created": at, "name": "front", "message": message, "host": host, **fields}
    return json.dumps(line)


REFUSED = {
    "cause": "over-limit",
    "workspace": "one",
    "rate": 20.0,
    "burst": 10.0,
    "demand": 55.5,
    "part": 0.7,
    "silent": 3,
}
EVENTS = read_events(
    [
        _line(100.0, "answered", request="a", status=200, workspace="one"),
        _line(100.1, "answered", request="b", status=200, workspace="two"),
        _line(101.0, "refused", request="c", left=2.0, **REFUSED),
        _line(101.2, "refused", host="h2", request="d", left=-1.5, **REFUSED),
        _line(101.3, "answered", request="e", status=200, workspace="one"),
        _line(101.4, "refused", request="f", cause="unknown-key", key="0a1b2c3d"),
    ]
)


def test_a_refusal_leads_to_the_workspaces_limit_and_count():
    assert tell_workspace(EVENTS, "one") == [
        "+0 s answered=1",
        "+1 s answered=1 over-limit=2 hosts=2 rate=20 burst=10 left=-1.5..2 "
        "demand=55.5 part=0.7 silent=3",
    ]
    assert tell_workspace(EVENTS, "none") == []


def test_waits_and_other_refusals_are_told():
    """Guards against a workspace whose requests wait without a trace of it."""
    own = {"workspace": "one", "route": "pull"}
    events = read_events(
        [
            _line(100.0, "queued", request="a", **own),
            _line(100.4, "dequeued", request="a", waited=0.4, **own),
            _line(100.5, "refused", request="b", cause="queue-full", **own),
        ]
    )
    assert tell_workspace(events, "one") == [
        "+0 s answered=0 waited=1 longest=0.4 queue-full:pull=1"
    ]
    (line, *_) = tell_causes(sum_up_causes(events))
    assert "queue-full=1" in line


def test_the_demand_and_the_refusals_of_each_route_are_told():
    """Guards against not knowing which requests a workspace over its limit loses."""
    events = read_events(
        [
            _line(10.0, "answered", status=200, workspace="one", route="orders"),
            _line(10.1, "refused", left=0.0, route="pulls", rank=2, **REFUSED),
            _line(10.2, "answered", status=200, workspace="one", route="pulls"),
        ]
    )
    (line,) = tell_workspace(events, "one")
    assert line.endswith("silent=3 refused/asked: orders=0/1 pulls=1/2")


def test_refusals_by_key_and_limit_are_counted():
    (line, *_) = tell_causes(sum_up_causes(EVENTS))
    assert "over-limit=2" in line
    assert "unknown-key=1" in line

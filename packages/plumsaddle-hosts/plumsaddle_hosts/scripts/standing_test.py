"""
Tests of what the logs tell of a target and of a day.
"""

import json

from .day import sum_up_day
from .events import read_events
from .standing import tell_standing


def _line(at, message, host="h1", **fields):
    line = {"created": at, "name": "relay", "message": message, "host": host, **fields}
    return json.dumps(line)


EVENTS = read_events(
    [
        _line(100.0, "version", version=3, former=None),
        _line(100.0, "listed", target="t1", state="ready", service="s", address="a"),
        _line(101.2, "sent", request="a", target="t1", fails=0.2, retry=None),
        _line(101.3, "send failed", request="a", target="t1", fate="failed"),
        _line(101.4, "sent", request="a", target="t2", fails=0.1, retry="failed"),
        _line(101.9, "answered", request="a", status=200),
        _line(101.9, "sent", host="h2", request="b", target="t1", fails=0.7),
        _line(103.0, "stuck", host="h2", request="b", target="t1"),
        _line(104.1, "refused", host="h2", request="b", cause="time-over"),
    ]
)


def test_a_targets_standing_is_told_by_second():
    assert tell_standing(EVENTS, "t1") == [
        "+0 s entry=ready",
        "+1 s sends=2 hosts=2 fails=0.20..0.70 failed=1",
        "+3 s stuck=1",
    ]
    assert tell_standing(EVENTS, "none") == []


def test_a_day_is_counted_by_second():
    day = sum_up_day(EVENTS)
    assert day.answers == {"200": [0, 1, 0, 0, 0]}
    assert day.refusals == {"time-over": [0, 0, 0, 0, 1]}
    assert day.retries == {"failed": [0, 1, 0, 0, 0]}
    assert day.targets["t1"] == [None, 0.7, None, None, None]
    assert day.versions == {"h1": [(0.0, 3)]}
    assert sum_up_day(EVENTS[:2]) is None


def test_a_day_is_drawn(tmp_path):
    from .picture import draw_day

    path = tmp_path / "day.png"
    draw_day(sum_up_day(EVENTS), path)
    assert path.read_bytes().startswith(b"\x89PNG")

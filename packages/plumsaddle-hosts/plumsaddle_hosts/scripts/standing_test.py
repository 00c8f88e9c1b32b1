"""
Tests of what the logs tell of a target and of a day.
"""

import json

from .day import sum_up_day
from .events import read_events
from .standing import find_key, tell_request, tell_standing


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


def test_a_targets_pace_and_probes_are_told_by_second():
    """Guards against a slow target that operators cannot tell from its siblings."""
    events = read_events(
        [
            _line(100.0, "sent", target="t1", fails=0.1, pace=1.5, rule="probe"),
            _line(100.1, "sent", target="t1", fails=0.1, pace=2.0, rule="best"),
        ]
    )
    assert tell_standing(events, "t1") == [
        "+0 s sends=2 hosts=1 fails=0.10..0.10 pace=1.50..2.00 probe=1"
    ]


def test_a_targets_rate_limit_is_told_by_second():
    """Guards against a limited target that operators cannot tell from an idle one."""
    events = read_events(
        [
            _line(100.0, "rate limit", target="t1", rate=2.3, former=None, request="a"),
            _line(100.1, "rate limit", "h2", target="t1", rate=2.3, peer="h1"),
            _line(101.0, "sent", target="t1", fails=0.1, limit=2.3, wait=0.25),
            _line(104.0, "rate limit", target="t1", rate=None, former=2.3),
        ]
    )
    assert tell_standing(events, "t1") == [
        "+0 s limit=2.3 learned-by=2",
        "+1 s sends=1 hosts=1 fails=0.10..0.10 wait=0.25",
        "+4 s limit=none learned-by=1",
    ]


def test_a_targets_notices_are_told_by_second():
    """Guards against a target that closed itself and looks like a forgotten one."""
    events = read_events(
        [
            _line(100.0, "backoff notice", target="t1", seconds=3.0, request="a"),
            _line(100.1, "backoff notice", "h2", target="t1", seconds=1.5, request="b"),
            _line(104.0, "draining notice", target="t1", request="c"),
        ]
    )
    assert tell_standing(events, "t1") == [
        "+0 s backoff=3 backoffs=2",
        "+4 s draining-learned-by=1",
    ]


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


HELD = read_events(
    [
        _line(10.0, "send failed", request="a", target="t1", fate="broken", key="k"),
        _line(10.1, "ended", target="t1", key="k", beside=2, lives=1),
        _line(10.1, "ended", target="t1", key="other", beside=2, lives=1),
        _line(12.0, "ended", host="h2", target="t3", key="k", beside=0, lives=3),
        _line(12.5, "holding back", host="h2", key="k", lives=3, held_for=600.0),
        _line(13.0, "refused", request="b", cause="held-back", key="k"),
        _line(14.0, "refused", host="h2", request="c", cause="held-back", key="k"),
    ]
)


def test_the_id_of_a_refused_request_leads_to_the_targets_that_ended_under_it():
    assert find_key(HELD, "c") == find_key(HELD, "k") == "k"
    assert find_key(HELD, "none") is None
    assert tell_request(HELD, "k") == [
        "+0.000 h1 send failed request=a target=t1 fate=broken",
        "+0.100 h1 ended target=t1 beside=2 lives=1",
        "+2.000 h2 ended target=t3 beside=0 lives=3",
        "+2.500 h2 holding back lives=3 held_for=600.0",
        "+3.000 to +4.000 refused=2 hosts=2",
    ]

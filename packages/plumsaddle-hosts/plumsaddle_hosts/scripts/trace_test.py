"""
Tests of the story of a request.
"""

import json

from .events import read_events
from .trace import trace_request


def _line(at, message, host="h1", **fields):
    line = {"created": at, "name": "relay", "message": message, "host": host, **fields}
    return json.dumps(line)


LINES = [
    _line(100.5, "answered", request="b", status=200, targets=["t2"]),
    _line(99.0, "send failed", host="h2", request="a", target="t1", fate="failed"),
    "a line that is no log line",
    _line(100.0, "sent", request="b", target="t1", fails=0.2),
    _line(100.1, "send failed", request="b", target="t1", fate="failed"),
    _line(100.1, "sent", request="b", target="t2", retry="failed"),
    _line(50.0, "send failed", request="old", target="t1", fate="failed"),
    _line(99.5, "stuck", request="c", target="t9"),
    _line(98.0, "listed", host="h2", target="t1", state="ready"),
]


def test_the_story_is_in_order_with_its_evidence():
    story = trace_request(read_events(LINES), "b")
    assert [line.split()[0] for line in story] == [
        "-1.000",
        "+0.000",
        "+0.100",
        "+0.100",
        "+0.500",
    ]
    assert "| send failed target=t1" in story[0]
    assert "t9" not in " ".join(story)


def test_what_the_same_request_did_before_is_part_of_the_story():
    lines = [
        _line(40.0, "send failed", host="h2", request="a", target="t7", key="k"),
        _line(41.0, "send failed", host="h2", request="z", target="t8", key="other"),
        _line(100.0, "send failed", request="b", target="t1", key="k"),
        _line(101.0, "send failed", host="h3", request="c", target="t2", key="k"),
    ]
    story = trace_request(read_events(lines), "b")
    assert len(story) == 2
    assert story[0].startswith(" -60.000 h2     | send failed target=t7")


def test_an_unknown_request_has_no_story():
    assert trace_request(read_events(LINES), "none") == []

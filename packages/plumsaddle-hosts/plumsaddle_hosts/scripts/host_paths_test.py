"""
Tests of what the logs tell of partitioned hosts.
"""

import json

from .causes import Loss, sum_up_causes
from .events import read_events
from .host_paths import tell_host_paths
from .trace import trace_request


def _line(at, message, host="h1", **fields):
    line = {"created": at, "name": "paths", "message": message, "host": host, **fields}
    return json.dumps(line)


CHANGE = {"state": "partitioned", "former": "connected", "contact_age": 0.4}
EVENTS = read_events(
    [
        _line(100.0, "host started"),
        _line(105.0, "paths changed", targets=["t1", "t2"], **CHANGE),
        _line(105.1, "sent", request="a", target="t1", service="s", fails=0.1),
        _line(105.2, "tunnel requested", host="h2", peer="h1", target="t1"),
        _line(105.2, "tunnel requested", host="h2", peer="h3", target="t1"),
        _line(105.3, "tunnelled", request="a", target="t1", gateway="10.0.0.2:7000"),
        _line(105.6, "answered", request="a", status=200),
        _line(106.0, "refused", request="b", service="s", cause="no-path"),
    ]
)


def test_a_partition_is_told_with_its_evidence():
    (line,) = tell_host_paths(EVENTS, "h1")
    assert line.startswith("+5.000 s partitioned (was connected)")
    assert line.endswith("t1, t2")
    assert not tell_host_paths(EVENTS, "h2")


def test_a_request_shows_both_hosts_on_its_way():
    story = [line.split()[1:] for line in trace_request(EVENTS, "a")]
    assert [words[0] for words in story] == ["h1", "h1", "h2", "h1", "h1"]
    assert story[2][2:4] == ["tunnel", "requested"]


def test_a_refusal_without_any_path_has_its_own_cause():
    (span,) = sum_up_causes(EVENTS)["s"].values()
    assert span.losses == {Loss.NO_PATH: 1}

"""
Tests of the commands that read logs.
"""

import json

import pytest

from .afterwards import causes, report, trace
from .cli import explain
from .common import DONE, MISTAKE, NOT_KNOWN


@pytest.fixture
def logs(tmp_path):
    """Return the paths of two hosts' logs, one with lines that are none of a host."""
    first, second = tmp_path / "h1.log", tmp_path / "h2.log"
    sent = {"message": "sent", "request": "a", "target": "t1", "fails": 0.2}
    failed = {"message": "send failed", "request": "b", "target": "t1", "fate": "x"}
    answered = {"message": "answered", "request": "a", "status": 200}
    first.write_text(_lines("h1", (100.0, sent), (100.3, answered)))
    second.write_text("starting ...\n{broken\n" + _lines("h2", (99.0, failed)))
    return str(first), str(second)


def _lines(host, *events):
    return "".join(
        json.dumps({"created": at, "name": "relay", "host": host, **fields}) + "\n"
        for at, fields in events
    )


def _run(command, *args, **options):
    """Run a command and return its exit code."""
    with pytest.raises(SystemExit) as ended:
        command(*args, **options)
    return ended.value.code


def test_trace_joins_the_hosts_logs(logs, capsys):
    assert _run(trace, "a", *logs) == DONE
    lines = capsys.readouterr().out.splitlines()
    assert [line.split()[1] for line in lines] == ["h2", "h1", "h1"]
    assert _run(trace, "none", *logs) == NOT_KNOWN
    assert _run(trace, "a", "/nonexistent") == MISTAKE


def test_explain_reads_logs_if_there_are_any(logs, capsys):
    assert _run(explain, "t1", *logs) == DONE
    assert capsys.readouterr().out.splitlines() == [
        "+0 s x=1",
        "+1 s sends=1 hosts=1 fails=0.20..0.20",
    ]
    assert _run(explain, "none", *logs) == NOT_KNOWN


def test_report_draws_a_day(logs, tmp_path):
    out = tmp_path / "day.svg"
    assert _run(report, *logs, out=str(out)) == DONE
    assert "<svg" in out.read_text()


def _story(request, *events):
    return [{"request": request, **fields} for fields in events]


def test_causes_tell_what_was_known_when_a_target_was_chosen(tmp_path, capsys):
    """
    Every tenth order fails, and nobody can say which decision to look at.

    Some went to targets in doubt, some as trials, some met a failure that nobody knew
    of; some were refused with time left, since no retry was allowed.
    """
    doubted = {"message": "sent", "target": "t", "fails": 0.6, "rule": "best"}
    trial = {**doubted, "rule": "floor-trial"}
    sound = {**doubted, "fails": 0.05}
    failed = {"message": "refused", "cause": "target-failed", "last": "broken"}
    refused = {"message": "refused", "cause": "not-taken", "last": "not-run"}
    answered = {"message": "answered", "status": 200}
    lines = [
        {"message": "listed", "target": "t", "service": "act"},
        *_story("a", doubted, {**failed, "targets": ["t"]}),
        *_story("b", trial, {**failed, "targets": ["t"]}),
        *_story("c", sound, {**failed, "targets": ["t"]}),
        *_story("d", sound, {**refused, "targets": ["t"]}),
        *_story("e", sound, sound, {**refused, "targets": ["t", "u"]}),
        *_story("f", sound, answered),
        *_story("g", sound, {**answered, "status": 500}),
        *_story("h", {"message": "refused", "cause": "no-room", "service": "act"}),
    ]
    log = tmp_path / "h.log"
    log.write_text(_lines("h", *((100.0, fields) for fields in lines)))
    assert _run(causes, str(log)) == DONE
    first, span = capsys.readouterr().out.splitlines()
    assert first.startswith("act: 8 requests, 7 not served: ")
    assert span.startswith("  +0 s 8 requests, 7 not served: ")
    for cause in (
        "doubted-target=1",
        "floor-trial=1",
        "unforeseen-failure=1",
        "retry-denied=1",
        "refused-by-targets=1",
        "target's-own-500=1",
        "no-room=1",
    ):
        assert cause in first
    empty = tmp_path / "empty.log"
    empty.write_text("")
    assert _run(causes, str(empty)) == NOT_KNOWN

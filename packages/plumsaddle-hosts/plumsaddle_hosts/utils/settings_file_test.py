"""
Tests of reading a settings file that is still being written.
"""

import os
import threading

from returns.result import Failure, Success

from . import settings_file
from .settings_file import read_when_complete, signature_of


def _read(path):
    try:
        text = path.read_text()
    except OSError:
        return Failure(["no file"])
    return Success(text) if text.endswith("end") else Failure([f"incomplete: {text}"])


def test_an_incomplete_file_is_read_again(tmp_path):
    """Guards against a start that fails as its settings are still being written."""
    path, reports = tmp_path / "settings", []

    def report(mistakes):
        reports.append(mistakes)
        path.write_text("whole end" if len(reports) > 1 else "half")

    signature, result = read_when_complete(path, _read, report)
    assert result == Success("whole end")
    assert reports == [["no file"], ["incomplete: half"]]
    assert signature == signature_of(path)


def test_a_file_that_does_not_change_is_final(tmp_path, monkeypatch):
    monkeypatch.setattr(settings_file, "SETTLING_TIME", 0.1)
    path, reports = tmp_path / "settings", []
    path.write_text("wrong")
    _, result = read_when_complete(path, _read, reports.append)
    assert result == Failure(["incomplete: wrong"])
    assert reports == [["incomplete: wrong"]]


def test_a_change_while_the_file_is_read_is_noticed(tmp_path):
    """Guards against settings that are never read, as they came during a start."""
    path = tmp_path / "settings"
    path.write_text("old end")

    def read(path):
        result = _read(path)
        path.write_text("longer end")
        return result

    signature, result = read_when_complete(path, read, lambda mistakes: None)
    assert result == Success("old end")
    assert signature != signature_of(path)


def test_a_write_within_the_clock_tick_of_the_last_one_is_noticed(tmp_path):
    """Guards against a half-written file that counts as the newest for good."""
    path = tmp_path / "settings"
    path.write_text("half")
    before = os.stat(path).st_mtime_ns
    first = signature_of(path)
    path.write_text("half and whole end")
    os.utime(path, ns=(before, before))
    assert signature_of(path) != first


def test_a_file_that_appears_later_is_read(tmp_path):
    path = tmp_path / "settings"
    timer = threading.Timer(0.2, path.write_text, ["whole end"])
    timer.start()
    _, result = read_when_complete(path, _read, lambda mistakes: None)
    timer.join()
    assert result == Success("whole end")

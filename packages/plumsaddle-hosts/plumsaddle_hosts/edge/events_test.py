"""
Tests of the log handler with a full pipe.
"""

import json
import logging
import os

from .events import MAX_BUFFERED_LINES, LineWriter


def _make_record(number):
    return logging.LogRecord("t", logging.INFO, "", 0, "x" * 200, None, None)


def test_a_full_pipe_drops_lines_and_reports_their_number():
    """Guards against unbounded memory use when nothing reads the log."""
    reader, writer = os.pipe()
    handler = LineWriter(writer)
    handler.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
    for number in range(MAX_BUFFERED_LINES * 3):
        handler.emit(_make_record(number))
    # The buffer and the batch being written are bounded.
    assert len(handler._lines) <= MAX_BUFFERED_LINES
    assert len(handler._unwritten) <= MAX_BUFFERED_LINES * 300
    assert handler._dropped > 0
    dropped = handler._dropped
    os.set_blocking(reader, False)
    text = b""
    while handler._unwritten or handler._lines:
        text += os.read(reader, 65536)
        handler._write()
    text += os.read(reader, 65536)
    os.close(reader)
    os.close(writer)
    reports = [json.loads(line) for line in text.splitlines() if b"dropped" in line]
    assert [report["lines"] for report in reports] == [dropped]


def test_lines_before_an_exit_are_written():
    """Guards against a process whose last lines are still buffered when it ends."""
    reader, writer = os.pipe()
    handler = LineWriter(writer)
    handler._lines.append("last")
    handler.flush()
    assert os.read(reader, 100) == b"last\n"
    os.close(reader)
    handler._lines.append("unread")
    handler.flush()
    os.close(writer)

"""
Tests of the log's writer with a reader that has stopped reading.
"""

import json
import logging
import os

from .events import WAITING_MOST, LineWriter


def _record(number):
    return logging.LogRecord("t", logging.INFO, "", 0, "x" * 200, None, None)


def test_a_full_pipe_drops_lines_and_says_how_many():
    """
    A host grows until it is killed, because nobody reads its log.

    The pipe is full; lines beyond a bound must be dropped, and the number is told
    when somebody reads again.
    """
    reader, writer = os.pipe()
    handler = LineWriter(writer)
    handler.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
    for number in range(WAITING_MOST * 3):
        handler.emit(_record(number))
    # What fits the pipe, one batch under way, and the lines that may wait.
    assert len(handler._waiting) <= WAITING_MOST
    assert len(handler._rest) <= WAITING_MOST * 300
    assert handler._dropped > 0
    dropped = handler._dropped
    os.set_blocking(reader, False)
    text = b""
    while handler._rest or handler._waiting:
        text += os.read(reader, 65536)
        handler._write()
    text += os.read(reader, 65536)
    os.close(reader)
    os.close(writer)
    notes = [json.loads(line) for line in text.splitlines() if b"dropped" in line]
    assert [note["lines"] for note in notes] == [dropped]

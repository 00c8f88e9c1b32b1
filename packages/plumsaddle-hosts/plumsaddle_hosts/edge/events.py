"""
Structured logging to standard output that never blocks the event loop.

Each line is a JSON object with the time, the logger's name, the event and its fields.
Lines are buffered up to a bound and written when standard output accepts them. While
the pipe is full and the buffer too, lines are dropped and counted; the count is written
first once the pipe is read again.
"""

import asyncio
import collections
import json
import logging
import os
import select
import time

from pythonjsonlogger.json import JsonFormatter

# At about 300 bytes per line, the buffer takes up to 600 kB.
MAX_BUFFERED_LINES = 2000
# Seconds before writing to a full pipe is retried.
RETRY_DELAY = 0.05
# Seconds for which the last lines are written when the process exits.
FLUSH_TIME = 0.1


class LineWriter(logging.Handler):
    """
    A log handler that writes to a file descriptor without blocking.

    Args:
      fd: The file descriptor, which is set to non-blocking mode.
    """

    def __init__(self, fd):
        super().__init__()
        self._fd = fd
        self._lines = collections.deque()
        self._unwritten = b""
        self._dropped = 0
        self._is_write_scheduled = False
        os.set_blocking(fd, False)

    def emit(self, record):
        """Buffer a line, or drop and count it if the buffer is full."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._dropped += 1
            return
        self._lines.append(self.format(record))
        if self._is_write_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self._write()
            return
        self._is_write_scheduled = True
        loop.call_soon(self._write)

    def flush(self):
        """Write what is buffered before the process exits, if it is read in time."""
        deadline = time.monotonic() + FLUSH_TIME
        while self._unwritten or self._lines:
            left = max(0.0, deadline - time.monotonic())
            if not select.select([], [self._fd], [], left)[1]:
                return
            self._write()

    def _write(self):
        """Write a batch of buffered lines; the next one starts when it is complete."""
        self._is_write_scheduled = False
        if not self._unwritten:
            self._unwritten = self._encode_lines()
        try:
            self._unwritten = self._unwritten[os.write(self._fd, self._unwritten) :]
        except BlockingIOError:
            pass
        except OSError:
            # The pipe is closed, and there is nowhere else to report that.
            self._unwritten = b""
        if self._unwritten or self._lines:
            self._schedule_write()

    def _encode_lines(self):
        """Clear the buffer and return its bytes, after the count of dropped lines."""
        if self._dropped:
            note = {"name": "log", "message": "dropped", "lines": self._dropped}
            self._lines.appendleft(json.dumps(note))
            self._dropped = 0
        lines = "".join(f"{line}\n" for line in self._lines)
        self._lines.clear()
        return lines.encode()

    def _schedule_write(self):
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._is_write_scheduled = True
        loop.call_later(RETRY_DELAY, self._write)


def configure_logging(host, level=logging.INFO, fd=1):
    """
    Write all log records to a file descriptor as JSON lines.

    Args:
      host: The host's id, which is added to each line.
      level: The lowest level that is written.
      fd: The file descriptor; standard output by default.
    """
    handler = LineWriter(fd)
    handler.setFormatter(
        JsonFormatter("%(created)s %(name)s %(message)s", static_fields={"host": host})
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for name in ("aiohttp.access", "asyncio"):
        logging.getLogger(name).setLevel(logging.WARNING)

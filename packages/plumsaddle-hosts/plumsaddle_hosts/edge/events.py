"""
Structured log lines on standard output that never hold up the loop.

Each line is one JSON object: the time, the part, the event and its fields. Lines wait
in a bounded buffer and are written when standard output takes them. A reader that has
stopped reading fills the pipe; then lines are dropped and counted, and the count is
the first thing written when it reads again.
"""

import asyncio
import collections
import json
import logging
import os

from pythonjsonlogger.json import JsonFormatter

# Lines that may wait. A line has some 300 bytes, so this is at most about 600 kB.
WAITING_MOST = 2000
# Seconds until a full pipe is tried again.
PAUSE = 0.05


class LineWriter(logging.Handler):
    """
    A log handler that writes to a file descriptor without waiting.

    Args:
      fd: The file descriptor, which is set not to block.
    """

    def __init__(self, fd):
        super().__init__()
        self._fd = fd
        self._waiting = collections.deque()
        self._rest = b""
        self._dropped = 0
        self._is_due = False
        os.set_blocking(fd, False)

    def emit(self, record):
        """Let a line wait, or count it if too many wait already."""
        if len(self._waiting) >= WAITING_MOST:
            self._dropped += 1
            return
        self._waiting.append(self.format(record))
        if self._is_due:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self._write()
            return
        self._is_due = True
        loop.call_soon(self._write)

    def _write(self):
        """Write what waits; further lines are taken only when the former are out."""
        self._is_due = False
        if not self._rest:
            self._rest = self._take_lines()
        try:
            self._rest = self._rest[os.write(self._fd, self._rest) :]
        except BlockingIOError:
            pass
        except OSError:
            # Nobody reads any more, and there is nowhere left to say so.
            self._rest = b""
        if self._rest or self._waiting:
            self._write_later()

    def _take_lines(self):
        """Return the bytes of all waiting lines, after a note of dropped ones."""
        if self._dropped:
            note = {"name": "log", "message": "dropped", "lines": self._dropped}
            self._waiting.appendleft(json.dumps(note))
            self._dropped = 0
        lines = "".join(f"{line}\n" for line in self._waiting)
        self._waiting.clear()
        return lines.encode()

    def _write_later(self):
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._is_due = True
        loop.call_later(PAUSE, self._write)


def set_up_events(host, level=logging.INFO, fd=1):
    """
    Send all log records to standard output as JSON lines.

    Args:
      host: The host's id, which each line carries.
      level: The least level that is written.
      fd: The file descriptor.
    """
    handler = LineWriter(fd)
    handler.setFormatter(
        JsonFormatter("%(created)s %(name)s %(message)s", static_fields={"host": host})
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
    for name in ("aiohttp.access", "asyncio"):
        logging.getLogger(name).setLevel(logging.WARNING)

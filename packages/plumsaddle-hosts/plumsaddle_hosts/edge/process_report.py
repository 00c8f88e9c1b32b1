"""
What a host reports of its own process: how it starts, its memory, and why it ends.

A process that is killed for its memory writes nothing, so new peaks are logged from
half of the limit on.
"""

import faulthandler
import logging
import os
import platform
import resource
import time
from pathlib import Path

log = logging.getLogger("process")
STATUS_FILE = Path("/proc/self/status")
BYTES_PER_KIBIBYTE = 1024
STDERR_FD = 2
# Fraction of the memory limit from which on peaks are logged, and between two of them.
REPORTED_USE = 0.5
REPORTED_STEP = 0.1


def report_start(settings):
    """Log what the process starts with."""
    # Native crashes write a traceback, too.
    faulthandler.enable(STDERR_FD)
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    log.info(
        "process started",
        extra={
            "pid": os.getpid(),
            "python": platform.python_version(),
            "machine": platform.machine(),
            "processor_seconds": round(time.process_time(), 3),
            "descriptors": descriptors,
            "memory_limit": settings.memory_limit,
        },
    )


def read_memory(text=None):
    """
    Return the resident bytes of the process and their peak.

    Args:
      text: The content of the kernel's status file, which is read if None.
    Returns:
      Two numbers, or None where the kernel reports neither.
    """
    if text is None:
        try:
            text = STATUS_FILE.read_text(encoding="ascii", errors="replace")
        except OSError as exc:
            log.debug("memory unknown", extra={"cause": str(exc)})
            return None
    fields = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    try:
        sizes = [int(fields[name].split()[0]) for name in ("VmRSS", "VmHWM")]
    except (KeyError, IndexError, ValueError):
        return None
    return tuple(size * BYTES_PER_KIBIBYTE for size in sizes)


class MemoryReport:
    """
    Logs new peaks of a process's memory.

    Args:
      limit: The bytes that the process may take, or None if unknown.
    """

    def __init__(self, limit):
        self._limit = limit
        self._reported = 0

    def note(self, peak, fields):
        """
        Log a peak, if it is much above the last one.

        Args:
          peak: The most bytes so far.
          fields: What holds the memory, as fields of the log line.
        """
        if self._limit is None or peak < self._limit * REPORTED_USE:
            return
        if peak < self._reported + self._limit * REPORTED_STEP:
            return
        self._reported = peak
        extra = {"bytes": peak, "limit": self._limit, **fields}
        log.warning("memory peak", extra=extra)

"""
Reads a settings file that another program writes.

The platform may start a process while it still writes the file, so one that can't be
used is read again while it changes.
"""

import os
import time

from returns.result import Success

POLL_INTERVAL = 0.05
# Seconds without a change after which a file that can't be used is final.
SETTLING_TIME = 3.0


def signature_of(path):
    """Return what changes when a file is written, or None if there is none."""
    try:
        status = os.stat(path)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def read_when_complete(path, read, report):
    """
    Read a settings file, and wait while it is incomplete.

    Args:
      path: The file's path.
      read: Called with the path; returns a `Success` or a `Failure`.
      report: Called with each further `Failure`'s value, to log it.
    Returns:
      The file's signature from before it was read, and the last result of `read`.
    """
    signature, result = signature_of(path), None
    settled_at = time.monotonic() + SETTLING_TIME
    while True:
        reported, result = result, read(path)
        if isinstance(result, Success):
            return signature, result
        if result != reported:
            report(result.failure())
        while signature_of(path) == signature:
            if time.monotonic() >= settled_at:
                return signature, result
            time.sleep(POLL_INTERVAL)
        signature = signature_of(path)
        settled_at = time.monotonic() + SETTLING_TIME

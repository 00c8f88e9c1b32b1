"""
Opens the standard streams that a process was started without.

Otherwise the next files that it opens get their descriptors, and log lines would go to
a connection.
"""

import os

STANDARD_DESCRIPTORS = range(3)


def open_missing_streams():
    """Let missing standard streams lead nowhere."""
    for number in STANDARD_DESCRIPTORS:
        try:
            os.fstat(number)
        except OSError:
            # The lowest free descriptor is taken, and the ones below are open.
            os.open(os.devnull, os.O_RDWR)

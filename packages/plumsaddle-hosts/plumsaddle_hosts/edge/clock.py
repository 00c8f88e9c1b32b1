"""
The monotonic clock of a host.
"""

import time


def now():
    """
    Return the current time in seconds, from a monotonic clock.

    Unlike the event loop's clock, it includes time for which the machine was suspended,
    so that deadlines and data expire as soon as the host resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

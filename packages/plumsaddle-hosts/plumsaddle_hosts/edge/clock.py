"""
The clock of a host.
"""

import time


def now():
    """
    Return the present in seconds, from a clock that never goes back.

    Unlike the event loop's clock, this one also counts the time for which the
    machine was suspended. A host that wakes from ten seconds of it must know at once
    that its callers have gone and that what it knows is old.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)

"""
An event loop whose clock stands still while the loop is behind.

A fleet in one loop shares one core. On a slow machine its hosts would get messages
seconds late and be taken for hosts without a processor. With this loop, each iteration
takes a few milliseconds at most of the clock that loop and hosts go by.
"""

import asyncio
import selectors
import time
from unittest import mock

from plumsaddle_hosts.edge import clock

# The most that one iteration of the loop takes, in seconds of its clock.
MAX_ITERATION = 0.002


class _PacedSelector(selectors.DefaultSelector):
    """A selector that counts waits in full, and the time between them up to a limit."""

    def __init__(self):
        super().__init__()
        self._resumed_at = time.monotonic()
        self._paced = self._resumed_at

    def clock(self):
        """Return the paced time in seconds."""
        return self._paced + min(MAX_ITERATION, time.monotonic() - self._resumed_at)

    def select(self, timeout=None):
        self._paced, waits_from = self.clock(), time.monotonic()
        events = super().select(timeout)
        self._resumed_at = time.monotonic()
        self._paced += self._resumed_at - waits_from
        return events


class _PacedLoop(asyncio.SelectorEventLoop):
    def __init__(self):
        # The base class reads the clock.
        self._paced_selector = _PacedSelector()
        super().__init__(self._paced_selector)

    def time(self):
        return self._paced_selector.clock()


def run_paced(main):
    """Run a coroutine in a loop of its own, whose clock hosts go by as well."""
    loop = _PacedLoop()
    hosts_time = mock.Mock(clock_gettime=lambda _: loop.time())
    with (
        mock.patch.object(clock, "time", hosts_time),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        return runner.run(main)

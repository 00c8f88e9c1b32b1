"""
Steps of input that is expensive to parse, in turn with everything else.

Bodies in tiny chunks cost a hundred times the processor time of others. They are parsed
in short steps, one in each turn of the event loop, so that the wait of other callers
doesn't grow with the number of such connections.
"""

import asyncio
from collections import deque


class StepQueue:
    """Runs one step in each turn of the event loop, in the order of their arrival."""

    def __init__(self):
        self._steps = deque()
        self._is_scheduled = False

    def add(self, step):
        """Run a function in one of the next turns, which does a short piece of work."""
        self._steps.append(step)
        self._schedule()

    def _schedule(self):
        if self._steps and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self):
        self._is_scheduled = False
        step = self._steps.popleft()
        try:
            step()
        finally:
            self._schedule()

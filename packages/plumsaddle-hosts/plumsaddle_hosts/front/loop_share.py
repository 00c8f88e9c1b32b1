"""
A share of the event loop's time for input that is expensive to parse.

Bodies in tiny chunks cost a hundred times the processor time of others. They are parsed
in short steps, one connection after the other, with pauses for everything else.
"""

import asyncio
from collections import deque

# The part of the loop's time that all steps may take.
SHARE = 0.25


class LoopShare:
    """Runs steps that were put off, in turn."""

    def __init__(self):
        self._steps = deque()
        self._timer = None

    def add(self, step):
        """Run a function later, which does a short piece of work."""
        self._steps.append(step)
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_soon(self._run)

    def _run(self):
        self._timer = None
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            self._steps.popleft()()
        finally:
            pause = (loop.time() - began) * (1 / SHARE - 1)
            if self._steps and self._timer is None:
                self._timer = loop.call_later(pause, self._run)

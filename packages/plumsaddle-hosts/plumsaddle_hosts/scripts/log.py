"""
The platform's log as the command line reads it: from start to tail, then on.
"""

import asyncio
import time

from returns.result import Failure, Success

from plumsaddle_core.ops.fold import Record
from plumsaddle_core.ops.versions import new_version_fold
from plumsaddle_core.utils.codec import decode_events

from ..daemon.host import CONFIG_STREAM

READ_PAUSE = 0.2
# Seconds to wait for a host to tell what is in force in a log without any era.
FIRST_ERA_WAIT = 3.0


class History:
    """
    The accepted versions of the configuration, as far as the log still has them.

    Args:
      platform: A `Store`.
    """

    def __init__(self, platform):
        self.fold = new_version_fold()
        self.versions = {}
        # The era of the log, or None before it was read.
        self.era = None
        self._platform = platform

    @property
    def current(self):
        """The version in force."""
        return self.fold.state.current

    async def catch_up(self):
        """
        Read to the tail, from the start if the log came back from an older copy.

        Returns:
          A `Success` of the fold's completeness, or a `Failure` of `StoreError`.
        """
        while True:
            result = await self._platform.read_log(
                CONFIG_STREAM, self.fold.next_offset, 0
            )
            if isinstance(result, Failure):
                return result
            page = result.unwrap()
            if self.era is not None and page.era != self.era:
                self.fold.restart()
                self.versions = {}
                self.era = page.era
                continue
            self.era = page.era
            self.fold.begin_read(page.first)
            for raw in page.records:
                self._feed(raw)
            if self.fold.next_offset >= page.next:
                return Success(self.fold.complete)

    @property
    def is_restored(self):
        """Whether the log came back from a copy, and no host has told what it lost."""
        return 0 < self.fold.state.era < self.era

    async def wait_until_told(self, seconds):
        """
        Read on until a host has told what is in force in the present era of the log.

        A log in which no host has told that of any era may be one without hosts.

        Args:
          seconds: The most seconds to wait.
        Returns:
          Whether the log can be trusted.
        """
        now = time.monotonic()
        until = now + seconds
        if not self.fold.state.era:
            until = now + min(seconds, FIRST_ERA_WAIT)
        while self.fold.state.era < self.era and time.monotonic() < until:
            await asyncio.sleep(READ_PAUSE)
            await self.catch_up()
        return not self.is_restored

    def _feed(self, raw):
        self.fold.feed(Record(raw.offset, decode_events(raw.data)))
        if self.fold.complete and self.current.number:
            self.versions[self.current.number] = self.current

    async def find_verdict(self, proposal, seconds):
        """
        Read on until a proposal stands in the log.

        The answer to its append may be lost, so only its own place in the log tells
        what became of it.

        Args:
          proposal: The `Proposal`.
          seconds: The most seconds to look for it.
        Returns:
          The accepted number, minus the winner's number, or None if it was not found.
        """
        until = time.monotonic() + seconds
        while True:
            await self.catch_up()
            verdict = self.fold.state.results.get(proposal.id)
            if self.is_restored:
                verdict = None
            if verdict is not None or time.monotonic() >= until:
                return verdict
            await asyncio.sleep(READ_PAUSE)

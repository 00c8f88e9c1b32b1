"""
Read one stream of the log continuously and apply its records to a fold.

Reading starts at the fold's next offset and skips no record that the log still holds.
Failed reads are retried with exponential backoff. The tail also reports whether the log
can be read, and when it has come back from an older copy of itself: the fold must then
be restarted, and the tail reads the log from its first record.
"""

import asyncio
import logging

from returns.result import Success

from plumsaddle_core.ops.fold import Record
from plumsaddle_core.utils.codec import decode_events

log = logging.getLogger("tail")


class Tail:
    """
    A continuous reader of one stream.

    Args:
      platform: The `Store` to read from.
      stream: The stream's name.
      fold: The `Fold` whose next offset is read.
      feed: Called with each `Record`, to apply it to the fold.
      on_page: Called after each page, with whether records were trimmed from the log
        before they were read.
      wait: The maximum number of seconds that one read waits for a record.
      on_era: Called with the era of the first page, and whenever the log is in a later
        one; whether it is the first is the second argument.
    """

    MIN_PAUSE = 0.1
    MAX_PAUSE = 2.0

    def __init__(self, platform, stream, fold, feed, on_page, wait, on_era):
        self.stream = stream
        # The era of the log, or None before the first page.
        self.era = None
        self.is_unavailable = False
        self.is_caught_up = False
        self._platform = platform
        self._fold = fold
        self._feed = feed
        self._on_page = on_page
        self._wait = wait
        self._on_era = on_era

    async def run(self):
        """Read until cancelled."""
        pause = self.MIN_PAUSE
        while True:
            # Don't wait until caught up, so that an empty stream is detected at once.
            wait = self._wait if self.is_caught_up else 0
            result = await self._platform.read_log(
                self.stream, self._fold.next_offset, wait
            )
            if not isinstance(result, Success):
                self._set_unavailable(True)
                await asyncio.sleep(pause)
                pause = min(self.MAX_PAUSE, pause * 2)
                continue
            pause = self.MIN_PAUSE
            self._set_unavailable(False)
            page = result.unwrap()
            if self._is_current(page.era):
                self._apply_page(page)
            else:
                await asyncio.sleep(pause)

    def _is_current(self, era):
        """Note the era of a page; return whether the page continues the fold."""
        if self.era is None:
            self.era = era
            self._on_era(era, True)
        elif era > self.era:
            log.warning(
                "tail: The log came back from a copy, stream %s is read again: era %d "
                "after %d, next offset was %d.",
                self.stream,
                era,
                self.era,
                self._fold.next_offset,
            )
            self.era = era
            self.is_caught_up = False
            self._on_era(era, False)
            return False
        return era == self.era

    def _apply_page(self, page):
        has_gap = self._fold.begin_read(page.first)
        if has_gap:
            log.error(
                "tail: Records of stream %s were trimmed before they were read.",
                self.stream,
            )
        for raw in page.records:
            if raw.offset >= self._fold.next_offset:
                self._feed(Record(raw.offset, decode_events(raw.data)))
        self.is_caught_up = self._fold.next_offset >= page.next
        self._on_page(has_gap)

    def _set_unavailable(self, is_unavailable):
        if is_unavailable != self.is_unavailable:
            state = "does not answer" if is_unavailable else "answers again"
            log.warning("tail: The log %s for stream %s.", state, self.stream)
        self.is_unavailable = is_unavailable

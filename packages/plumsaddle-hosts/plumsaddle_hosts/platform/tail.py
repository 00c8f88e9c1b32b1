"""
Follow one stream of the log and feed a fold with it.

The tail reads from the fold's next offset on and never skips; after a failure it
waits a little longer each time. Whoever wants to know how the log is asks the tail.
"""

import asyncio
import logging

from returns.result import Success

from plumsaddle_core.ops.fold import Record
from plumsaddle_core.utils.codec import decode_events

log = logging.getLogger("tail")


class Tail:
    """
    The reader of one stream.

    Args:
      platform: The `Store`.
      stream: The stream's name.
      fold: The `Fold` that is fed.
      feed: A function that takes each `Record`; it feeds the fold.
      on_page: A function called when a page was read, with whether records that
        were never read are gone.
      wait: The most seconds that one read waits for a record.
    """

    PAUSE_LEAST = 0.1
    PAUSE_MOST = 2.0

    def __init__(self, platform, stream, fold, feed, on_page, wait):
        self.stream = stream
        self.is_away = False
        self.is_caught_up = False
        self._platform = platform
        self._fold = fold
        self._feed = feed
        self._on_page = on_page
        self._wait = wait

    async def run(self):
        """Read until cancelled."""
        pause = self.PAUSE_LEAST
        while True:
            # The first read of a new host must not wait: an empty stream is news.
            wait = self._wait if self.is_caught_up else 0
            result = await self._platform.read_log(
                self.stream, self._fold.next_offset, wait
            )
            if not isinstance(result, Success):
                self._note_away(True)
                await asyncio.sleep(pause)
                pause = min(self.PAUSE_MOST, pause * 2)
                continue
            pause = self.PAUSE_LEAST
            self._note_away(False)
            self._take(result.unwrap())

    def _take(self, page):
        is_hole = self._fold.begin_read(page.first)
        if is_hole:
            log.error(
                "tail: Records of %s were trimmed before they were read.", self.stream
            )
        for raw in page.records:
            if raw.offset >= self._fold.next_offset:
                self._feed(Record(raw.offset, decode_events(raw.data)))
        self.is_caught_up = self._fold.next_offset >= page.next
        self._on_page(is_hole)

    def _note_away(self, is_away):
        if is_away != self.is_away:
            word = "does not answer" if is_away else "answers again"
            log.warning("tail: The log %s for %s.", word, self.stream)
        self.is_away = is_away

"""
What the platform's store says of requests that are held back.

Hosts tell each other at once by datagrams. The store is the second way: it reaches data
centres that are cut off from each other, hosts that start after all others have lost
what they knew, and operators. One keyed topic holds one record for each request.
"""

import asyncio
import logging
import time

import msgspec
from returns.result import Failure

from .clock import now

log = logging.getLogger("suspects")
TOPIC = "keyed.suspects"


class Record(msgspec.Struct):
    """
    What is known of one request.

    `at` is when the last target ended under it, in seconds since the epoch, for
    operators. Hosts count from when they read it: the time of day of one of them may be
    off by an hour, and the others would let the request through at once.
    """

    ended: list[str]
    answered: list[str]
    at: float


decode_record = msgspec.json.Decoder(Record).decode


class StoredSuspects:
    """
    The host's way to that topic.

    Args:
      store: The `Store`.
      suspects: The host's `SuspectRequests`.
      gate: The `Gate`.
    """

    def __init__(self, store, suspects, gate):
        self._store = store
        self._suspects = suspects
        self._gate = gate
        self._writing = None

    def take(self, page):
        """Take a `Page` of the topic, whether it lists all keys or tells changes."""
        for record in page.records:
            if record.value is None:
                self._suspects.drop(record.key)
                log.info("let go", extra={"key": record.key})
            else:
                self._take_record(record)

    def _take_record(self, record):
        try:
            known = decode_record(record.value)
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            log.error("unusable", extra={"key": record.key, "cause": str(exc)})
            return
        self._suspects.add_stored(record.key, known.ended, known.answered, now())

    def write_soon(self):
        """Write what the store does not say yet; a call that fails is made again."""
        if self._writing is not None:
            return
        rows = self._suspects.unsaved()
        if rows:
            self._start(self._write(rows))

    def forget_old(self, at):
        """Forget what is too old, here and, as one of the readers, in the store."""
        stored = self._suspects.evict_expired(at)
        if stored and self._gate.is_reader and self._writing is None:
            self._start(self._store.put(TOPIC, dict.fromkeys(stored, b"")))

    def _start(self, work):
        self._writing = asyncio.get_running_loop().create_task(work)
        self._writing.add_done_callback(self._end)

    def _end(self, task):
        self._writing = None
        if not task.cancelled() and task.exception() is not None:
            log.error("write broke", exc_info=task.exception())

    async def _write(self, rows):
        at = now()
        values = {
            key: msgspec.json.encode(
                Record(
                    ended,
                    answered,
                    time.time() - at + self._suspects.last_crash_at(key),
                )
            )
            for key, (ended, answered) in rows.items()
        }
        result = await self._store.put(TOPIC, values)
        is_written = not isinstance(result, Failure)
        log.info("written", extra={"keys": list(rows), "is_written": is_written})
        if not is_written:
            return
        for key, (ended, answered) in rows.items():
            if key in self._suspects:
                last_at = self._suspects.last_crash_at(key)
                self._suspects.add_stored(key, ended, answered, last_at)

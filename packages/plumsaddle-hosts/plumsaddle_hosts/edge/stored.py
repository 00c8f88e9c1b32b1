"""
The records of suspect requests in the platform's store.

Hosts inform each other at once in datagrams. The store also reaches data centres that
are partitioned from each other, hosts that start after all others have lost their
state, and operators. One keyed topic holds one record for each request.
"""

import asyncio
import logging
import time

import msgspec
from returns.result import Failure

from .clock import now

log = logging.getLogger("suspects")
TOPIC = "keyed.suspects"


class SuspectRecord(msgspec.Struct):
    """
    The stored state of a suspect request.

    `at` is when the request last crashed a target, in seconds since the epoch, for
    operators only. Hosts count from when they read the record, since the wall clock of
    the host that wrote it may be wrong.
    """

    ended: list[str]
    answered: list[str]
    at: float


decode_record = msgspec.json.Decoder(SuspectRecord).decode


class StoredSuspects:
    """
    Reads and writes the records of suspect requests.

    Args:
      store: The `Store`.
      suspects: The host's `SuspectRequests`.
      store_access: The `StoreAccess`.
    """

    def __init__(self, store, suspects, store_access):
        self._store = store
        self._suspects = suspects
        self._store_access = store_access
        self._write_task = None
        # The era in which records were read or written, and the keys to remove.
        self._era = None
        self._keys_to_remove = set()

    def apply_listing(self, page):
        """Apply a `Page` that lists the topic; it may be that of a restored store."""
        if self._era is not None and page.era > self._era:
            listed = dict(filter(None, map(_crashes_of, page.records)))
            self._keys_to_remove |= set(self._suspects.note_restored(listed))
        self._era = page.era
        self.apply_page(page)

    def apply_page(self, page):
        """Apply a `Page` of changes."""
        self._note_first_era(page.era)
        for record in page.records:
            if record.value is None:
                self._suspects.drop(record.key)
                log.info("record removed", extra={"key": record.key})
            else:
                self._apply_record(record)

    def _note_first_era(self, era):
        """Note the era of the first record, if the topic has never been listed."""
        if self._era is None:
            self._era = era

    def _apply_record(self, record):
        try:
            decoded = decode_record(record.value)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
            log.error("record unreadable", extra={"key": record.key, "cause": str(exc)})
            return
        self._suspects.add_stored(record.key, decoded.ended, decoded.answered, now())

    def schedule_write(self):
        """
        Start to write the records that are not in the store yet.

        It does nothing while a write is in progress; a failed write is retried by the
        next call.
        """
        if self._write_task is not None:
            return
        unsaved = self._suspects.unsaved(rewrites_lost=self._store_access.is_reader)
        if unsaved:
            self._start_write(self._write(unsaved))

    def evict_expired(self, at):
        """Evict expired records here and, if this host is a reader, in the store."""
        self._keys_to_remove |= set(self._suspects.evict_expired(at))
        if self._write_task is not None:
            return
        keys, self._keys_to_remove = self._keys_to_remove, set()
        if keys and self._store_access.is_reader:
            self._start_write(self._store.put(TOPIC, dict.fromkeys(keys, b"")))

    def _start_write(self, write):
        self._write_task = asyncio.get_running_loop().create_task(write)
        self._write_task.add_done_callback(self._on_write_done)

    def _on_write_done(self, task):
        self._write_task = None
        if not task.cancelled() and task.exception() is not None:
            log.error("write failed", exc_info=task.exception())

    async def _write(self, unsaved):
        at = now()
        values = {
            key: msgspec.json.encode(
                SuspectRecord(
                    crashed,
                    answered,
                    time.time() - at + self._suspects.last_crash_at(key),
                )
            )
            for key, (crashed, answered) in unsaved.items()
        }
        result = await self._store.put(TOPIC, values)
        is_written = not isinstance(result, Failure)
        if is_written:
            era = result.unwrap().era
            self._note_first_era(era)
            self._store_access.note_era(now(), era)
            # What was accepted before a restoration that is known by now is lost.
            is_written = era == self._store_access.era
        log.info(
            "record write finished",
            extra={"keys": list(unsaved), "is_written": is_written},
        )
        if not is_written:
            return
        for key, (crashed, answered) in unsaved.items():
            if key in self._suspects:
                last_crash_at = self._suspects.last_crash_at(key)
                self._suspects.add_stored(key, crashed, answered, last_crash_at)


def _crashes_of(record):
    """Return a record's key and the incarnations that crashed, or None."""
    try:
        return record.key, decode_record(record.value).ended
    except (msgspec.DecodeError, RecursionError, TypeError, UnicodeDecodeError):
        return None

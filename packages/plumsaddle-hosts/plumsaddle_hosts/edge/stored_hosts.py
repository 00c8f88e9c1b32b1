"""
The list of hosts in the platform's store.

Hosts find each other through the seeds in their settings. These may all be down when
other hosts start, as after the loss of the whole fleet. So each host writes its address
into a keyed topic, and one that hears from no seed reads it, also if another host has
found it meanwhile. A record is no sign of life: it counts for the number of hosts that
may exist, and is an address to ask.
"""

import asyncio
import logging
import time
from typing import Annotated

import msgspec
from returns.result import Failure

from ..utils.addresses import is_address
from .clock import now

log = logging.getLogger("hosts")
TOPIC = "keyed.entry-hosts"
# Seconds between two writes of a host's own record, and the age from which a record
# counts for nothing.
REFRESH_INTERVAL = 600.0
RECORD_TTL = 3 * REFRESH_INTERVAL
# Bounds, in seconds, of the random time after its start at which a host writes its
# record, as hundreds may start together.
MIN_WRITE_DELAY = 1.0
MAX_WRITE_DELAY = 3.0
# Seconds after the start within which a host mostly hears of others through its seeds.
SEED_ANSWER_TIME = 0.2
# Seconds between two checks whether the list is to be read.
CHECK_INTERVAL = 0.1
# Bounds, in seconds, of the time between two reads by a host that finds no other one.
MIN_READ_INTERVAL = 0.5
MAX_READ_INTERVAL = 30.0


class HostRecord(msgspec.Struct):
    """A host's data centre, and when it wrote the record, in Unix seconds."""

    data_centre: str
    at: Annotated[float, msgspec.Meta(ge=0.0, le=1e11)]


_decode_record = msgspec.json.Decoder(HostRecord).decode


class StoredHosts:
    """
    The part of one host that writes and reads the list.

    Args:
      settings: The `HostSettings`.
      store: The `Store`.
      peers: The `PeerProtocol`.
      rng: A `random.Random`.
    """

    def __init__(self, settings, store, peers, rng):
        self._settings = settings
        self._store = store
        self._peers = peers
        self._rng = rng

    async def write_own(self):
        """Write this host's record, and remove expired ones, until cancelled."""
        await asyncio.sleep(self._rng.uniform(MIN_WRITE_DELAY, MAX_WRITE_DELAY))
        while True:
            record = HostRecord(self._settings.data_centre, round(time.time()))
            values = {self._settings.peer_address: msgspec.json.encode(record)}
            result = await self._store.put(TOPIC, values)
            if isinstance(result, Failure):
                extra = {"cause": result.failure().value}
                log.warning("own record not written", extra=extra)
                await asyncio.sleep(self._rng.uniform(MIN_WRITE_DELAY, MAX_WRITE_DELAY))
                continue
            await asyncio.sleep(REFRESH_INTERVAL * self._rng.uniform(0.9, 1.1))
            await self._remove_expired()

    async def _remove_expired(self):
        result = await self._store.list_newest(TOPIC)
        if isinstance(result, Failure):
            return
        records = result.unwrap().records
        expired = {r.key: b"" for r in records if _decode(r) is None}
        if expired:
            await self._store.put(TOPIC, expired)
            log.info("expired records removed", extra={"count": len(expired)})

    async def find_others(self):
        """Read the list unless a seed answers, and while no other host is known."""
        if self._settings.has_seeds:
            await asyncio.sleep(SEED_ANSWER_TIME)
        is_fleet_known = False
        interval, read_at = MIN_READ_INTERVAL, now()
        while True:
            if not is_fleet_known and self._peers.has_heard_seed():
                is_fleet_known = True
                self._peers.note_seed_heard()
            if is_fleet_known and not self._peers.is_alone():
                interval, read_at = MIN_READ_INTERVAL, now()
            elif now() >= read_at:
                if await self._read():
                    is_fleet_known = True
                read_at = now() + interval
                interval = min(MAX_READ_INTERVAL, 2.0 * interval)
            await asyncio.sleep(CHECK_INTERVAL)

    async def _read(self):
        """Read the list, and return whether it could be read."""
        result = await self._store.list_newest(TOPIC)
        if isinstance(result, Failure):
            log.warning("hosts not listed", extra={"cause": result.failure().value})
            return False
        others = {}
        for record in result.unwrap().records:
            decoded = _decode(record)
            if decoded is not None and record.key != self._settings.peer_address:
                others.setdefault(decoded.data_centre, []).append(record.key)
        count = sum(map(len, others.values()))
        log.info("hosts listed", extra={"count": count})
        self._peers.find(others)
        return True


def _decode(record):
    """Return the `HostRecord` of a record, or None if it counts for nothing."""
    try:
        decoded = _decode_record(record.value)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        extra = {"key": record.key, "cause": str(exc)}
        log.warning("record unreadable", extra=extra)
        return None
    is_current = time.time() - decoded.at < RECORD_TTL
    return decoded if is_current and is_address(record.key) else None

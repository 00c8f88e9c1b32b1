"""
The calls of the platform's store that a host uses, over HTTP.

The store is a log with topics. A keyed topic also keeps the newest record of each key
for ever, so a host lists that once and then follows the log from where the listing
began. Each call has a time-out, and the sockets send keep-alive probes: a connection
can go silent for good without being reset, and a waiting read would hang on it.
"""

import base64
import enum
import socket
import struct
from typing import NamedTuple

import aiohttp
import msgspec
from returns.result import Failure, Success

# In seconds; the store is a millisecond away, so a second packet has time to come.
CONNECT_TIMEOUT = 0.8
# Answers take a few milliseconds, and some tens of times as long when the store is
# slow; after this a call counts as lost.
CALL_TIMEOUT = 1.5
# Probes after one idle second, and the connection is given up after two more. The
# tightest bound on what a host must know is two seconds from a change, counted for
# hosts that have been in contact for three.
KEEP_ALIVE_IDLE = 1
KEEP_ALIVE_EVERY = 1
KEEP_ALIVE_COUNT = 2
PAGE_PREFIX = struct.Struct(">QQ")
RECORD_PREFIX = struct.Struct(">I")


class StoreError(enum.Enum):
    """Why a call gave no usable answer."""

    BUSY = "busy"
    AWAY = "away"
    TRIMMED = "trimmed"
    UNREADABLE = "unreadable"


class KeyedRecord(NamedTuple):
    """A record of a keyed topic; `value` is None where the key was dropped."""

    offset: int
    key: str
    value: bytes | None


class Page(NamedTuple):
    """Records, and the offset at which to read on."""

    records: list[KeyedRecord]
    next_offset: int


class Store:
    """
    The platform's store as one host sees it.

    Args:
      address: The store's address.
    """

    def __init__(self, address):
        self._url = f"http://{address}"
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=8.0, socket_factory=_make_socket
        )
        self._session = aiohttp.ClientSession(connector=connector)

    async def close(self):
        """Close all connections."""
        await self._session.close()

    async def list_newest(self, topic):
        """
        List the newest record of each key of a keyed topic.

        Args:
          topic: The topic's name.
        Returns:
          A `Success` of a `Page` to read on from, or a `Failure` of a `StoreError`.
          The pages of a long listing are not one snapshot, so reading on starts where
          the log ended when the first of them was made.
        """
        records = []
        next_offset = None
        query = {"topic": topic, "part": "0"}
        while True:
            result = await self._call("GET", "/log-newest", query, CALL_TIMEOUT)
            if isinstance(result, Failure):
                return result
            try:
                page = msgspec.json.decode(result.unwrap())
                records += [_decode_item(item) for item in page["items"]]
                has_more = page["has_more"]
                if next_offset is None:
                    next_offset = int(page["end"])
            except (msgspec.DecodeError, KeyError, TypeError, ValueError):
                return Failure(StoreError.UNREADABLE)
            if not has_more or not records:
                return Success(Page(records, next_offset))
            query["after"] = records[-1].key

    async def read(self, topic, offset, wait):
        """
        Read a keyed topic from an offset on.

        Args:
          topic: The topic's name.
          offset: The first offset wanted.
          wait: The most seconds to wait until there is a record.
        Returns:
          A `Success` of a `Page`, or a `Failure` of a `StoreError`.
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(offset),
            "wait_ms": str(int(wait * 1000)),
        }
        result = await self._call("GET", "/log-read", query, wait + CALL_TIMEOUT)
        if isinstance(result, Failure):
            return result
        try:
            return Success(_decode_page(result.unwrap(), offset))
        except (struct.error, ValueError, IndexError):
            return Failure(StoreError.UNREADABLE)

    async def _call(self, method, path, query, timeout):
        """Make a call and return a `Success` of its bytes or a `Failure`."""
        limits = aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT)
        try:
            async with self._session.request(
                method, self._url + path, params=query, timeout=limits
            ) as resp:
                data = await resp.read()
        except (TimeoutError, aiohttp.ClientError, OSError):
            return Failure(StoreError.AWAY)
        if resp.status == 200:
            return Success(data)
        if resp.status == 410:
            return Failure(StoreError.TRIMMED)
        return Failure(StoreError.BUSY)


def _make_socket(addr_info):
    """Return a socket that notices a connection which has gone silent."""
    family, kind, proto, _, _ = addr_info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_EVERY)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_COUNT)
    return sock


def _decode_item(item):
    """Decode one item of a listing."""
    value = base64.b64decode(item["value"])
    return KeyedRecord(int(item["offset"]), item["key"], value or None)


def _decode_page(data, offset):
    """Decode the records of a read that began at an offset."""
    PAGE_PREFIX.unpack_from(data)
    records = []
    at = PAGE_PREFIX.size
    while at < len(data):
        (length,) = RECORD_PREFIX.unpack_from(data, at)
        at += RECORD_PREFIX.size
        records.append(_decode_record(offset, data[at : at + length]))
        at += length
        offset += 1
    return Page(records, offset)


def _decode_record(offset, data):
    """Decode one record: a byte of key length, the key, and the value."""
    size = data[0]
    key = data[1 : 1 + size].decode("utf-8")
    return KeyedRecord(offset, key, data[1 + size :] or None)

"""
HTTP client of the platform's store, used by hosts and operators' tools.

The store is a log with topics. A keyed topic also keeps the newest record of each key,
so a host lists those once and then reads the log from the offset at which the listing
began. Plumsaddle's own interface keeps its streams in plain topics, one partition each.

Each call has a timeout, and the sockets send keep-alive probes, because a long poll
would otherwise hang on a connection that was lost without a reset. What all calls hold
of responses has a bound, as a faulty response may have no end.
"""

import base64
import enum
import logging
import struct
from typing import NamedTuple

import aiohttp
import msgspec
from returns.result import Failure, Success

from plumsaddle_core.core.traffic import TargetState

from ..utils.outgoing import keep_alive, make_socket
from . import wire
from .read_budget import ReadBudget

log = logging.getLogger("store")
# In seconds; long enough for one retransmission of a lost packet.
CONNECT_TIMEOUT = 0.8
# In seconds, without the time that a read waits for records. Calls take a few
# milliseconds, and some tens of times as long while the store is slow.
CALL_TIMEOUT = 1.5
# Unanswered probes. A dead connection is closed after three seconds: the bounds on how
# soon a host applies a change count only for hosts that reached the store that long.
KEEP_ALIVE_COUNT = 2
# What decoding raises: deep nesting and large numbers are no `DecodeError`.
UNREADABLE_ERRORS = (
    msgspec.DecodeError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)
PAGE_PREFIX = struct.Struct(">QQ")
RECORD_PREFIX = struct.Struct(">I")
# Bytes that a record takes besides its value, and the most records of one read.
RECORD_OVERHEAD = 300
MAX_RECORDS = 65536
# The most pages of a listing.
MAX_PAGES = 1000
# Lists the entry hosts of plumsaddle's own interface, encoded as targets are.
HOSTS_TOPIC = "keyed.hosts"


class StoreError(enum.Enum):
    """Why a call gave no usable response."""

    BUSY = "busy"
    UNREACHABLE = "unreached"
    UNAVAILABLE = "away"
    TRIMMED = "trimmed"
    UNREADABLE = "unreadable"
    OVERSIZED = "oversized"

    @property
    def is_undone(self):
        """Whether the call certainly has no effect, now or later."""
        return self in (StoreError.BUSY, StoreError.UNREACHABLE)

    @property
    def is_unavailable(self):
        """Whether the store was unavailable, rather than gave a definite response."""
        return self not in (StoreError.TRIMMED, StoreError.UNREADABLE)


class LogRecord(NamedTuple):
    """A record of a plain topic."""

    offset: int
    data: bytes


class LogPage(NamedTuple):
    """
    Records of a plain topic, the first and next offsets of the whole topic, and the era
    of the store (see `Page`).
    """

    first: int
    next: int
    records: list[LogRecord]
    era: int = 0


class Trimmed(NamedTuple):
    """The requested records were deleted; `first` is the oldest remaining offset."""

    first: int


class Listed(NamedTuple):
    """An entry host or a target in the platform's lists."""

    id: str
    address: str
    role: str
    is_draining: bool


class KeyedRecord(NamedTuple):
    """A record of a keyed topic; `value` is None if the key was deleted."""

    offset: int
    key: str
    value: bytes | None


class Page(NamedTuple):
    """
    Records of a keyed topic, and the offset of the next read.

    `era` grows each time the store comes back from an older copy; it then gives out
    offsets again. It is 0 if the store names none.
    """

    records: list[KeyedRecord]
    next_offset: int
    era: int = 0


class Appended(NamedTuple):
    """An append that the store has accepted: the first offset, and the era."""

    offset: int
    era: int = 0


class Response(NamedTuple):
    """The body of a successful call, and the era of the store."""

    data: bytes
    era: int


class _Item(msgspec.Struct):
    """An item of a listing, with a value in base64."""

    key: str
    value: str
    offset: int


class _Listing(msgspec.Struct):
    """A page of a listing."""

    items: list[_Item]
    end: int
    has_more: bool


# Decodes no fields that it does not know, which could take many times their text.
_decode_json_page = msgspec.json.Decoder(_Listing, strict=False).decode


class Store:
    """
    A client of the platform's store.

    Args:
      session: An `aiohttp.ClientSession`, preferably from `make_session`.
      url: The store's URL.
      append_timeout: The timeout of an append, in seconds.
      budget: The `ReadBudget` of its responses.
    """

    def __init__(self, session, url, append_timeout=CALL_TIMEOUT, budget=None):
        self._session = session
        self.budget = budget or ReadBudget()
        self._url = url.rstrip("/")
        self._append_timeout = append_timeout
        # The latest era that a response has named, or None.
        self._era = None

    async def append(self, topic, data):
        """
        Append one record to a plain topic.

        Args:
          topic: The topic's name.
          data: The record's bytes.
        Returns:
          A `Success` of an `Appended`, or a `Failure` of a `StoreError`. Unless the
          error `is_undone`, the record may be in the log or still be added.
        """
        return await self._append(topic, [data])

    async def put(self, topic, values):
        """
        Write keys of a keyed topic in one atomic call.

        Args:
          topic: The topic's name.
          values: The bytes by key; empty bytes delete the key.
        Returns:
          As `append`.
        """
        records = []
        for key, value in values.items():
            name = key.encode()
            records.append(bytes([len(name)]) + name + value)
        return await self._append(topic, records)

    async def _append(self, topic, records):
        query = {"topic": topic, "part": "0"}
        body = b"".join(RECORD_PREFIX.pack(len(data)) + data for data in records)
        result = await self._call(
            "POST", "/log-append", query, self._append_timeout, body
        )
        if isinstance(result, Failure):
            return result
        data, era = result.unwrap()
        try:
            return Success(Appended(int(msgspec.json.decode(data)["offset"]), era))
        except UNREADABLE_ERRORS:
            return Failure(StoreError.UNREADABLE)

    async def read_log(self, topic, offset, wait):
        """
        Read a plain topic from an offset, or from the oldest remaining record.

        Args:
          topic: The topic's name.
          offset: The offset of the first record to return.
          wait: The maximum number of seconds to wait for a record.
        Returns:
          A `Success` of a `LogPage`, or a `Failure` of a `StoreError`.
        """
        result = await self._read_raw(topic, offset, wait)
        if isinstance(result, Failure) and isinstance(result.failure(), Trimmed):
            offset = result.failure().first
            result = await self._read_raw(topic, offset, 0)
        if isinstance(result, Failure):
            return _as_store_error(result)
        data, era = result.unwrap()
        try:
            end, first = PAGE_PREFIX.unpack_from(data)
            records = [LogRecord(*row) for row in _split_records(data, offset)]
        except (struct.error, ValueError):
            return Failure(StoreError.UNREADABLE)
        return Success(LogPage(first, end, records, era))

    async def list_hosts(self):
        """Return a `Success` of a list of `Listed`, or a `Failure`."""
        rows = []
        for topic, role in ((wire.TARGETS_TOPIC, "target"), (HOSTS_TOPIC, "entry")):
            result = await self.list_newest(topic)
            if isinstance(result, Failure):
                return result
            for record in result.unwrap().records:
                decoded = wire.decode_target(record.key, record.value, 0.0)
                if isinstance(decoded, Success):
                    target = decoded.unwrap()
                    is_draining = target.state is TargetState.DRAINING
                    rows.append(Listed(target.id, target.address, role, is_draining))
        return Success(rows)

    async def list_newest(self, topic):
        """
        List the newest record of each key of a keyed topic.

        Args:
          topic: The topic's name.
        Returns:
          A `Success` of a `Page`, or a `Failure` of a `StoreError`. The pages of a long
          listing are no consistent snapshot, so the next read starts at the end of
          the log as of the first page. All pages are of one era.
        """
        with self.budget.open() as held:
            return await self._list_pages({"topic": topic, "part": "0"}, held)

    async def _list_pages(self, query, held):
        """List the pages of a query; what they take is added to a `Holding`."""
        pages = []
        for _ in range(MAX_PAGES):
            result = await self._call("GET", "/log-newest", query, CALL_TIMEOUT)
            if isinstance(result, Failure):
                return result
            data, era = result.unwrap()
            try:
                page, has_more = _decode_listing(data, era)
            except UNREADABLE_ERRORS:
                return Failure(StoreError.UNREADABLE)
            if not held.add(len(data) + RECORD_OVERHEAD * len(page.records)):
                break
            if pages and pages[0].era != era:
                pages = []
                del query["after"]
                continue
            pages.append(page)
            if not has_more or not page.records:
                records = [record for page in pages for record in page.records]
                return Success(pages[0]._replace(records=records))
            query["after"] = page.records[-1].key
        return self._reject_oversized("/log-newest", query, held.size)

    async def read(self, topic, offset, wait):
        """
        Read a keyed topic from an offset.

        Args:
          topic: The topic's name.
          offset: The offset of the first record to return.
          wait: The maximum number of seconds to wait for a record.
        Returns:
          A `Success` of a `Page`, or a `Failure` of a `StoreError`.
        """
        result = await self._read_raw(topic, offset, wait)
        if isinstance(result, Failure):
            return _as_store_error(result)
        data, era = result.unwrap()
        try:
            return Success(_decode_page(data, offset, era))
        except (struct.error, ValueError, IndexError):
            return Failure(StoreError.UNREADABLE)

    async def _read_raw(self, topic, offset, wait):
        """Return a `Success` of a `Response`, or a `Failure`."""
        query = {
            "topic": topic,
            "part": "0",
            "from": str(offset),
            "wait_ms": str(int(wait * 1000)),
        }
        return await self._call("GET", "/log-read", query, wait + CALL_TIMEOUT)

    async def _call(self, method, path, query, timeout, body=None):
        """
        Send a request to the store.

        Returns:
          A `Success` of a `Response`, or a `Failure` of a `StoreError` or, for records
          that were deleted, of a `Trimmed`.
        """
        limits = aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT)
        try:
            async with self._session.request(
                method, self._url + path, params=query, timeout=limits, data=body
            ) as resp:
                era = self._note_era(wire.decode_era(resp.headers), path, query)
                with self.budget.open() as held:
                    data = await _read_body(resp, held, self.budget.response_limit)
                if data is None:
                    # The rest is not read, so the connection can't be used again.
                    resp.close()
                    return self._reject_oversized(path, query, held.size)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Failure(StoreError.UNREACHABLE)
        except (TimeoutError, aiohttp.ClientError, OSError):
            return Failure(StoreError.UNAVAILABLE)
        if resp.status == 200:
            return Success(Response(data, era))
        if resp.status == 410:
            return Failure(_decode_trimmed(data))
        # Only these statuses guarantee that the call had no effect.
        is_undone = resp.status in (429, 503, 507)
        return Failure(StoreError.BUSY if is_undone else StoreError.UNAVAILABLE)

    def _reject_oversized(self, path, query, size):
        """Log a response that is too large, and return the `Failure`."""
        extra = {"call": path, "topic": query["topic"], "bytes": size}
        log.error("store response too large", extra=extra)
        return Failure(StoreError.OVERSIZED)

    def _note_era(self, era, path, query):
        """
        Log that the store has come back from a copy, and what was asked of it.

        Returns:
          The era; a response that names none is taken to be of the latest one.
        """
        if era is None:
            return self._era or 0
        if self._era is not None and era > self._era:
            log.warning(
                "store era changed",
                extra={
                    "era": era,
                    "former": self._era,
                    "call": path,
                    "topic": query["topic"],
                    "at": query.get("from"),
                },
            )
        self._era = max(era, self._era or 0)
        return era


def make_session():
    """Return a session whose connections use TCP keep-alive."""
    connector = aiohttp.TCPConnector(
        limit=0, keepalive_timeout=8.0, socket_factory=_make_socket
    )
    return aiohttp.ClientSession(connector=connector)


def _make_socket(addr_info):
    """Return a socket with TCP keep-alive."""
    sock = make_socket(addr_info)
    keep_alive(sock, KEEP_ALIVE_COUNT)
    return sock


async def _read_body(resp, held, limit):
    """
    Return the body of a response, or None if it is too large.

    Args:
      resp: The response.
      held: The `Holding` to which its bytes are added.
      limit: The most bytes of it.
    """
    if (resp.content_length or 0) > limit:
        return None
    parts = []
    async for part in resp.content.iter_any():
        if held.size + len(part) > limit or not held.add(len(part)):
            return None
        parts.append(part)
    return b"".join(parts)


def _decode_listing(data, era):
    """Decode one page of a listing, and whether more follow."""
    page = _decode_json_page(data)
    records = [_decode_item(item) for item in page.items]
    return Page(records, page.end, era), page.has_more


def _decode_item(item):
    """Decode one item of a listing."""
    return KeyedRecord(item.offset, item.key, base64.b64decode(item.value) or None)


def _as_store_error(failed):
    """Replace a `Trimmed` in the `Failure` of a read by a `StoreError`."""
    is_trimmed = isinstance(failed.failure(), Trimmed)
    return Failure(StoreError.TRIMMED) if is_trimmed else failed


def _decode_trimmed(data):
    """Decode the response to a read of deleted records."""
    try:
        return Trimmed(int(msgspec.json.decode(data)["first"]))
    except UNREADABLE_ERRORS:
        return StoreError.UNREADABLE


def _split_records(data, offset):
    """Yield the offset and the bytes of each record of a read's response."""
    PAGE_PREFIX.unpack_from(data)
    position = PAGE_PREFIX.size
    end = offset + MAX_RECORDS
    while position < len(data):
        if offset == end:
            raise ValueError("more records than a read may return")
        (length,) = RECORD_PREFIX.unpack_from(data, position)
        position += RECORD_PREFIX.size
        yield offset, data[position : position + length]
        position += length
        offset += 1


def _decode_page(data, offset, era=0):
    """Decode the keyed records of a read that started at `offset`."""
    records = [_decode_record(*row) for row in _split_records(data, offset)]
    return Page(records, offset + len(records), era)


def _decode_record(offset, data):
    """Decode one record: a byte of key length, the key, and the value."""
    # A malformed record, such as an empty one or one whose key isn't UTF-8, must not
    # make the rest of the page unreadable.
    size = data[0] if data else 0
    key = data[1 : 1 + size].decode("utf-8", "backslashreplace")
    return KeyedRecord(offset, key, data[1 + size :] or None)

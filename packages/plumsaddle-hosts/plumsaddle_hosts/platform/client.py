"""
The platform's log and host list over HTTP: the one file that knows their shape.

Everything else uses `append`, `read` and `hosts` and the values that they return, so
fitting another service means another file like this one. A failed append is one of
two kinds. Either the record was certainly not taken, or nobody knows: the platform
may have taken it while its answer was lost.
"""

import asyncio
import base64
import enum
import json
from typing import NamedTuple

import aiohttp
from returns.result import Failure, Success


class PlatformError(enum.Enum):
    """Why the platform gave no usable answer."""

    NOT_TAKEN = "not-taken"
    UNKNOWN = "unknown"


class RawRecord(NamedTuple):
    """A record as the log keeps it."""

    offset: int
    data: bytes


class Page(NamedTuple):
    """A part of a stream, and the first and next offsets of the whole."""

    first: int
    next: int
    records: list


class Listed(NamedTuple):
    """An entry of the platform's list. The role is `entry` or `target`."""

    id: str
    address: str
    role: str
    is_leaving: bool


class PlatformClient:
    """
    The platform as one host sees it.

    Args:
      session: An `aiohttp.ClientSession`.
      cfg: The `Platform` settings.
    """

    READ_MARGIN = 3.0

    def __init__(self, session, cfg):
        self._session = session
        self._cfg = cfg
        self._url = cfg.url.rstrip("/")

    async def append(self, stream, data):
        """
        Append one record to a stream.

        Args:
          stream: The stream's name.
          data: The record's bytes.
        Returns:
          A `Success` of the offset, or a `Failure` of a `PlatformError`.
        """
        url = f"{self._url}/streams/{stream}/records"
        timeout = aiohttp.ClientTimeout(total=self._cfg.append_timeout)
        try:
            async with self._session.post(url, data=data, timeout=timeout) as resp:
                if resp.status != 201:
                    return Failure(_error_of(resp.status))
                return Success(int((await resp.json())["offset"]))
        except aiohttp.ClientConnectorError:
            return Failure(PlatformError.NOT_TAKEN)
        except _TROUBLE:
            return Failure(PlatformError.UNKNOWN)

    async def read(self, stream, offset, wait):
        """
        Read a stream from an offset on, and wait a little if nothing is there.

        Args:
          stream: The stream's name.
          offset: The first offset wanted.
          wait: The most seconds to wait for a record.
        Returns:
          A `Success` of a `Page`, or a `Failure` of a `PlatformError`.
        """
        url = f"{self._url}/streams/{stream}/records"
        timeout = aiohttp.ClientTimeout(total=wait + self.READ_MARGIN)
        query = {"from": str(offset), "wait": str(wait)}
        try:
            async with self._session.get(url, params=query, timeout=timeout) as resp:
                if resp.status != 200:
                    return Failure(PlatformError.UNKNOWN)
                return Success(_parse_page(await resp.read()))
        except _TROUBLE:
            return Failure(PlatformError.UNKNOWN)

    async def hosts(self):
        """Return a `Success` of a list of `Listed`, or a `Failure`."""
        timeout = aiohttp.ClientTimeout(total=self.READ_MARGIN)
        try:
            async with self._session.get(f"{self._url}/hosts", timeout=timeout) as resp:
                if resp.status != 200:
                    return Failure(PlatformError.UNKNOWN)
                return Success([_parse_listed(row) for row in await resp.json()])
        except _TROUBLE:
            return Failure(PlatformError.UNKNOWN)


_TROUBLE = (
    aiohttp.ClientError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
    KeyError,
    TypeError,
)


def _error_of(status):
    """Return what a status of the platform's says about an append."""
    return PlatformError.NOT_TAKEN if status in (429, 503) else PlatformError.UNKNOWN


def _parse_page(data):
    page = json.loads(data)
    records = [
        RawRecord(int(row["offset"]), base64.b64decode(row["data"]))
        for row in page["records"]
    ]
    return Page(int(page["first"]), int(page["next"]), records)


def _parse_listed(row):
    return Listed(row["id"], row["address"], row["role"], row["state"] == "leaving")

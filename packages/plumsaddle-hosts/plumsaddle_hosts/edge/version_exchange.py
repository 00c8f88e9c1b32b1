"""
Getting a version of the configuration from another host.

Heartbeats tell which version each host has in force. A host that lacks a newer one asks
for its parts in turn, each in a datagram, and starts over with another host if an
answer is lost.
"""

import logging
import zlib

from plumsaddle_core.ops.version_reports import FIRST_REPORT_WAIT, VersionReports

from .clock import now
from .messages import VersionPart, VersionRequest, decompress, encode

log = logging.getLogger("versions")
# Bytes of a part, which fits into a datagram of a few packets.
PART_SIZE = 8_000
# Seconds after which an unanswered request is repeated.
REQUEST_TIMEOUT = 0.2


class _Download:
    """A version that is being received."""

    def __init__(self, address, at):
        self.address = address
        self.asked_at = at
        self.version = None
        self.parts = []


class VersionExchange:
    """
    Asks other hosts for a newer version, and answers those that ask.

    Args:
      knowledge: The `HostState`, or None to exchange nothing.
      send: Called with bytes and addresses.
      rng: A `random.Random`.
      call_later: Called with seconds and a function to call then.
    """

    def __init__(self, knowledge, send, rng, call_later):
        self._knowledge = knowledge
        self._send = send
        self._call_later = call_later
        self.reports = VersionReports(rng)
        self._download = None
        # The version that the compressed bytes are of.
        self._compressed_version = None
        self._compressed = b""

    @property
    def own_version(self):
        """The version in force, 0 if there is none yet; None without a `HostState`."""
        return self._knowledge.version if self._knowledge is not None else None

    def note_report(self, address, version, at):
        """Note which version a host has in force, None if it doesn't tell."""
        if version is None or self._knowledge is None:
            return
        self.reports.note(address, version, at)
        self.tick(at)

    def may_begin_with(self, version, listed_at, at):
        """As `VersionReports.may_begin_with`; it is called again in time if not."""
        if self.reports.may_begin_with(version, listed_at, at):
            return True
        if at == listed_at:
            self._call_later(FIRST_REPORT_WAIT, lambda: self.tick(now()))
        return False

    def tick(self, at):
        """Ask for a newer version if there is one, and apply a first one if it may."""
        if self._knowledge is None:
            return
        self.reports.evict(at)
        self._knowledge.apply_first_version(at)
        download = self._download
        if download is not None and at - download.asked_at < REQUEST_TIMEOUT:
            return
        self._download = None
        source = self.reports.choose_source(self._knowledge.version, at)
        if source is not None:
            self._download = _Download(source, at)
            self._request_part(at)

    def _request_part(self, at):
        download = self._download
        download.asked_at = at
        message = VersionRequest(download.version or 0, len(download.parts))
        self._send(encode(message), download.address)

    def answer(self, request, address):
        """Send a part of the version in force, from the first one if it has changed."""
        version = self.own_version
        if not version:
            return
        if self._compressed_version != version:
            self._compressed_version = version
            self._compressed = zlib.compress(self._knowledge.cfg_data, 1)
        count = -(-len(self._compressed) // PART_SIZE)
        part = request.part if request.version == version else 0
        start = part * PART_SIZE
        data = self._compressed[start : start + PART_SIZE]
        self._send(encode(VersionPart(version, part, count, data)), address)

    def add_part(self, message, address, at):
        """
        Add a part that was asked for, and apply the version when it is complete.

        Raises:
          msgspec.DecodeError: If the version can't be decompressed.
        """
        download = self._download
        if download is None or address != download.address:
            return
        if message.part == 0:
            download.version, download.parts = message.version, []
        if message.version != download.version or message.part != len(download.parts):
            return
        download.parts.append(message.data)
        if len(download.parts) < message.count:
            self._request_part(at)
            return
        self._download = None
        log.info(
            "version received", extra={"version": message.version, "peer": address}
        )
        self._knowledge.apply_received_version(decompress(b"".join(download.parts)))

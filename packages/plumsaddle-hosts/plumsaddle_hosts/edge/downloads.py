"""
Large responses: what a host holds of them, and how they reach their callers.

Bytes are taken from a target as they come while the host's byte budget has room, so
that a slow caller does not keep the target's slot. The first byte goes to the caller
only when the response is complete or no time remains, since until then the request can
be sent to another target. Beyond the budget, a target is read as its caller reads.
"""

import asyncio
import contextlib
import math

from plumsaddle_core.core.traffic import RequestKind, SendOutcome
from plumsaddle_core.transfers.byte_budget import ByteBudget
from plumsaddle_core.transfers.download_rules import hold_time, may_send_twice
from plumsaddle_core.transfers.link_share import (
    LinkShare,
    chunk_size,
    send_buffer_size,
)

from ..transfers.response_buffer import ResponseBuffer
from .clock import now
from .receipt import Receipt
from .verdict import exchange_fields, outcome_of_head, response_length


class Downloads:
    """
    The large responses of one host.

    Args:
      settings: Returns the current `HostSettings`.
      typical_size: Returns the typical size of the responses of a `Route`, in bytes.
    """

    def __init__(self, settings, typical_size):
        self._settings = settings
        self._typical_size = typical_size
        self.budget = ByteBudget(settings().buffered_bytes)
        self._link = LinkShare()
        # By caller, the exchange of its request that was started last.
        self._receiving = {}

    @property
    def in_flight(self):
        """The number of requests whose large response is awaited or received."""
        return len(self._receiving)

    def apply_settings(self):
        """Apply changed settings to responses that are received from now on."""
        self.budget.limit = self._settings().buffered_bytes

    def open_buffer(self, request, connection):
        """Return the `ResponseBuffer` of a send, or None for other requests."""
        is_download = request.route.kind is RequestKind.DOWNLOAD
        if not is_download or request.rest is not None:
            return None
        return ResponseBuffer(self.budget, connection.resume_reading)

    async def receive(self, request, exchange, max_error_bytes):
        """
        Wait until a response is complete, has failed, or must go to its caller.

        Args:
          request: The `ProxyRequest`.
          exchange: The `Exchange`, with a `ResponseBuffer`.
          max_error_bytes: As much is read of a response that is not forwarded.
        """
        self._receiving[request.caller] = exchange
        try:
            while exchange.outcome is None and not exchange.has_head:
                await exchange.wait()
            if exchange.outcome is not None:
                return
            if outcome_of_head(exchange) is not SendOutcome.SUCCEEDED:
                await _wait_while_room(exchange, max_error_bytes)
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._hold_time(request, exchange)):
                    await _wait_while_room(exchange)
        finally:
            if self._receiving.get(request.caller) is exchange:
                del self._receiving[request.caller]

    def _hold_time(self, request, exchange):
        size = response_length(exchange.headers) or self._typical_size(request.route)
        objective = request.started_at + request.route.latency_objective
        return hold_time(objective - now(), size, self._settings().link_rate)

    def may_send_twice(self, request):
        """Return whether a request may be sent again while its first send runs."""
        if request.route.kind is not RequestKind.DOWNLOAD:
            return True
        at = now()
        exchange = self._receiving.get(request.caller)
        has_begun = exchange is not None and exchange.has_head
        time_left = request.started_at + request.route.latency_objective - at
        return may_send_twice(
            self._typical_size(request.route),
            max(0, self.in_flight - 1),
            self._settings().link_rate,
            time_left if time_left > 0 else request.deadline - at,
            at - exchange.received_at if has_begun else None,
        )

    def take_chunk(self, buffer):
        """Return the next chunk for a caller, and the seconds to wait before it."""
        link_rate = self._settings().link_rate
        chunk = buffer.take(chunk_size(link_rate))
        return chunk, self._link.reserve(len(chunk), link_rate, now())

    @property
    def send_buffer_size(self):
        """The bytes of a response that the kernel may hold for a caller."""
        return send_buffer_size(self._settings().link_rate)

    def note_short_response(self, size):
        """Count a response that takes the link at once."""
        self._link.reserve(size, self._settings().link_rate, now())


class DownloadRest:
    """
    A large response that is forwarded while or after it is received.

    `bytes_sent` counts what has left the host; `deadline` is the request's.

    Args:
      exchange: The `Exchange`, with a `ResponseBuffer`.
      downloads: The `Downloads`.
      deadline: When the caller's time is up, in seconds on the host's clock.
      release: Called once, as soon as nothing more comes from the target.
      target: The id of the target.
      latest_end: Until when it may go on if it arrives; the deadline if None.
    """

    def __init__(
        self, exchange, downloads, deadline, release, target=None, latest_end=None
    ):
        self.deadline = deadline
        self.latest_end = deadline if latest_end is None else latest_end
        self._target = target
        self.bytes_sent = 0
        self._exchange = exchange
        self._downloads = downloads
        self._receipt = Receipt()
        self.when_received = self._receipt.when_received
        self.when_received(release)
        exchange.on_end = self._receipt.note
        if exchange.outcome is not None:
            self._receipt.note()

    @property
    def send_buffer_size(self):
        """As in `Downloads`."""
        return self._downloads.send_buffer_size

    @property
    def held(self):
        """The bytes that were received and not read yet."""
        return len(self._exchange.body)

    @property
    def peak(self):
        """The most bytes of the response that the host held at any time."""
        return self._exchange.body.peak

    def log_fields(self):
        """Return what log lines tell of the response."""
        return exchange_fields(self._exchange, self._target)

    async def read(self):
        """Return the next chunk, b"" at the end, or None for an incomplete response."""
        exchange = self._exchange
        while not exchange.body and exchange.outcome is None:
            await exchange.wait()
        if exchange.outcome not in (None, SendOutcome.SUCCEEDED):
            return None
        if not exchange.body:
            return b""
        chunk, delay = self._downloads.take_chunk(exchange.body)
        if delay:
            await asyncio.sleep(delay)
        return chunk

    def note_sent(self, size):
        """Note that a chunk has left the host."""
        self.bytes_sent += size
        self._exchange.body.release(size)

    def close(self):
        """Drop what is held, and end the exchange with the target."""
        self._exchange.body.close()
        self._receipt.note()


async def _wait_while_room(exchange, max_bytes=math.inf):
    """Wait until an exchange has ended or there is no room for more of its body."""
    body = exchange.body
    while exchange.outcome is None and len(body) <= max_bytes:
        if body and not body.has_room:
            return
        await exchange.wait()

"""
Connections of callers: header and idle timeouts.

aiohttp parses requests and manages connections. This module applies the timeouts of the
current configuration.
"""

import asyncio
import logging

from plumsaddle_core.connections.head_budget import (
    DEFAULT_MAX_FIELD_BYTES,
    HeadBudget,
    compute_budget,
)

from ..front.pipelining import CallerConnection, CallerHooks, CallerServer
from .clock import now

log = logging.getLogger("front")
# Above any configured limit on headers, which `Front` checks.
MAX_PARSER_LINE = 131072
# Idle timeout in seconds until a configuration is loaded.
DEFAULT_IDLE_TIMEOUT = 15.0
TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class FrontConnection(CallerConnection):
    """
    The connection of a caller, with a timeout for the head of a request.

    Without it, a caller that sends an incomplete head would occupy the connection
    indefinitely, since neither the idle timeout nor a route's timeout applies. The head
    is incomplete if aiohttp still waits for a request after it has received data. Empty
    lines between requests are ignored.

    Args:
      server: The aiohttp server.
      header_timeout: The timeout in seconds, or None.
      on_head_timeout: Called when the timeout closes the connection.
    """

    def __init__(self, server, header_timeout, on_head_timeout, **options):
        super().__init__(server, **options)
        self._header_timeout = header_timeout
        self._on_head_timeout = on_head_timeout
        self._head_timer = None

    @property
    def is_receiving(self):
        """As in `CallerConnection`; the head may have arrived in part."""
        return self.is_serving or self._head_timer is not None

    def data_received(self, data):
        super().data_received(data)
        if not self._is_waiting():
            self._stop_timer()
            return
        may_start = self._head_timer is None and self._header_timeout is not None
        if may_start and data.strip(b"\r\n"):
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(self._header_timeout, self._on_timeout)

    def connection_lost(self, exc):
        self._stop_timer()
        if self._hooks.is_draining():
            extra = {**self.log_fields(), "cause": None if exc is None else repr(exc)}
            log.info("connection closed", extra=extra)
        super().connection_lost(exc)

    def _is_waiting(self):
        """Return whether aiohttp waits for the next request."""
        return self._waiter is not None and not self._waiter.done()

    def _stop_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_timeout(self):
        self._head_timer = None
        if self.transport is None or not self._is_waiting():
            return
        self._on_head_timeout()
        self.close_with(TIMEOUT_RESPONSE)


class FrontServer(CallerServer):
    """
    The aiohttp server for callers, with the timeouts of the current configuration.

    Args:
      front: The `Front`.
      knowledge: The `HostState`.
    """

    def __init__(self, front, knowledge):
        hooks = CallerHooks(
            front.handle, front.is_repeatable, lambda: front.is_draining, now
        )
        self._knowledge = knowledge
        self._note_head_timeout = front.note_head_timeout
        heads = HeadBudget(
            lambda: compute_budget(knowledge.settings.memory_limit),
            self._max_field_bytes,
        )
        super().__init__(
            hooks, knowledge.settings.pipeline_limits, DEFAULT_IDLE_TIMEOUT, heads
        )

    def _max_field_bytes(self):
        cfg = self._knowledge.cfg
        return cfg.limits.header_bytes if cfg else DEFAULT_MAX_FIELD_BYTES

    def log_open(self):
        """Log the connections that are open at the end of the shutdown."""
        for conn in self.connections:
            log.warning("connection left open", extra=conn.log_fields())

    def __call__(self):
        cfg = self._knowledge.cfg
        return FrontConnection(
            self,
            cfg.limits.header_timeout if cfg else None,
            self._note_head_timeout,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=cfg.limits.idle_timeout if cfg else DEFAULT_IDLE_TIMEOUT,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_PARSER_LINE,
            max_field_size=MAX_PARSER_LINE,
        )

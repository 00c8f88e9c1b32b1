"""
The callers' connections: how long each may take and stay idle.

The library reads requests and keeps connections; what follows the configuration in
force is added here.
"""

import asyncio

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

# More than any configuration allows; the front checks the limits in force.
PARSER_MOST = 131072
# How long the rest of a refused body is read before its connection is closed: closing
# with unread bytes resets it, and the caller would lose the refusal.
LINGER = 2.0
# Before a configuration is known, in seconds.
IDLE_FIRST = 15.0
TOO_SLOW = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class CallerConnection(RequestHandler):
    """
    One caller's connection, with a bound on the time that a request's head may take.

    A caller that sends half a head and stops holds a descriptor and memory for as long
    as it likes: no request is under way, so neither the idle time nor a route's time
    ends it. When bytes have come and the library goes on waiting for a request, they
    belong to a head that is not whole. The rest of a refused body, which the library
    reads without waiting for a request, is told apart by that. Empty lines between two
    requests are no head.

    Args:
      server: The library's server.
      header_timeout: The seconds that a head may take, or None for no bound.
      on_slow: Called when a connection ends for that.
    """

    def __init__(self, server, header_timeout, on_slow, **options):
        super().__init__(server, **options)
        self._header_timeout = header_timeout
        self._on_slow = on_slow
        self._head_timer = None

    def data_received(self, data):
        super().data_received(data)
        if not self._is_waiting():
            self._stop_timer()
            return
        may_begin = self._head_timer is None and self._header_timeout is not None
        if may_begin and data.strip(b"\r\n"):
            loop = asyncio.get_running_loop()
            self._head_timer = loop.call_later(self._header_timeout, self._end_slow)

    def connection_lost(self, exc):
        self._stop_timer()
        super().connection_lost(exc)

    def _is_waiting(self):
        """Return whether the library waits for the next request."""
        return self._waiter is not None and not self._waiter.done()

    def _stop_timer(self):
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _end_slow(self):
        self._head_timer = None
        if self.transport is None or not self._is_waiting():
            return
        self._on_slow()
        self.transport.write(TOO_SLOW)
        self.force_close()


class FrontServer(web.Server):
    """
    The library's server, with an idle time that follows the configuration.

    Args:
      front: The `Front`.
      knowledge: The `HostState` with the limits in force.
    """

    def __init__(self, front, knowledge):
        super().__init__(front.handle, handler_cancellation=True)
        self._front = front
        self._knowledge = knowledge

    def close_idle(self):
        """
        Close the connections on which no request is under way.

        The library's own way to shut down stops reading requests from idle
        connections but leaves them open, so a request that came next would be taken
        and never answered.
        """
        for conn in self.connections:
            if self._front.is_busy(conn.transport):
                conn.close()
            else:
                conn.force_close()

    def __call__(self):
        cfg = self._knowledge.cfg
        return CallerConnection(
            self,
            cfg.limits.header_timeout if cfg else None,
            self._front.note_slow_head,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=cfg.limits.idle_timeout if cfg else IDLE_FIRST,
            access_log=None,
            auto_decompress=False,
            max_line_size=PARSER_MOST,
            max_field_size=PARSER_MOST,
            lingering_time=LINGER,
        )

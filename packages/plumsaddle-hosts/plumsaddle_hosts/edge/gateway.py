"""
The gateway of a host: it connects other hosts to targets that they cannot reach.

A gateway copies bytes and knows nothing of the requests in them; the host that opened
the tunnel decides on these and keeps all records. A gateway connects to targets itself,
never through another one, and only to targets that the registry lists.
"""

import asyncio
import logging

import msgspec

from plumsaddle_core.ops.paths import PathState, PathVerdict

from ..utils.addresses import split_address
from .clock import now
from .target_connection import ConnectFailure, connect
from .tunnel import (
    MAX_REQUEST_SIZE,
    REQUEST_LENGTH,
    TunnelStatus,
    decode_request,
    encode_frame,
)

log = logging.getLogger("gateway")
# Tunnels at the same time. Each takes two descriptors and up to two socket buffers.
MAX_TUNNELS = 512
# Seconds that a turn of the event loop takes on a host that is too busy to help others.
MAX_TURN = 0.05
# Seconds within which a request must have arrived.
REQUEST_TIMEOUT = 1.0
# Seconds for the connection to the target, less than hosts wait for it.
CONNECT_TIMEOUT = 0.25
# Seconds without a byte after which a tunnel is closed, since its host may be lost.
IDLE_TIMEOUT = 60.0
BACKLOG = 256
FAILED_STATUSES = {
    ConnectFailure.REFUSED: TunnelStatus.REFUSED,
    ConnectFailure.NO_RESPONSE: TunnelStatus.NO_RESPONSE,
}


class Gateway:
    """
    The listener for other hosts.

    Args:
      knowledge: The `HostState`.
      connector: The `Connector`, whose way to open connections is used.
      metrics: The `EdgeMetrics`.
    """

    def __init__(self, knowledge, connector, metrics):
        self._knowledge = knowledge
        self._address = knowledge.settings.peer_address
        self._connector = connector
        self._metrics = metrics
        self._is_draining = False
        self._server = None
        self._tunnels = set()

    async def open(self):
        """Listen for tunnels, or raise `OSError`."""
        ip, port = split_address(self._address)
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _HostEnd(self), ip, port, backlog=BACKLOG
        )

    def drain(self):
        """Accept no more tunnels."""
        self._is_draining = True

    def close(self):
        """Close the listener and all tunnels."""
        if self._server is not None:
            self._server.close()
        for tunnel in list(self._tunnels):
            tunnel.abort()

    @property
    def tunnel_count(self):
        """The number of open tunnels."""
        return len(self._tunnels)

    def is_available(self):
        """Return whether this host opens connections for others."""
        return (
            self._server is not None
            and not self._is_draining
            and self._knowledge.is_complete
            and self._knowledge.paths.state is PathState.CONNECTED
        )

    def tick(self, at):
        """Close tunnels without traffic."""
        for tunnel in list(self._tunnels):
            if at - tunnel.active_at >= IDLE_TIMEOUT:
                tunnel.abort()

    def add(self, tunnel):
        """Register an open tunnel."""
        self._tunnels.add(tunnel)

    def remove(self, tunnel):
        """Unregister a tunnel."""
        self._tunnels.discard(tunnel)

    def note_contact(self):
        """Note bytes from a target."""
        self._connector.note_contact()

    async def connect(self, request):
        """
        Connect to the target of a `TunnelRequest`.

        Returns:
          The `TunnelStatus`, and the connected `_TargetEnd` or None.
        """
        target = self._knowledge.registry.targets.get(request.target)
        turn_started_at = now()
        await asyncio.sleep(0)
        is_busy = now() - turn_started_at > MAX_TURN
        if (
            is_busy
            or not self.is_available()
            or len(self._tunnels) >= MAX_TUNNELS
            or target is None
            or target.address != request.address
            or self._knowledge.paths.prefers_tunnel(target.incarnation, now())
        ):
            return TunnelStatus.UNAVAILABLE, None
        started_at = now()
        end = await connect(
            target.address,
            CONNECT_TIMEOUT,
            lambda: _TargetEnd(self),
            self._connector.create_connection,
        )
        if not isinstance(end, ConnectFailure):
            self._connector.note_connected(target)
            return TunnelStatus.OPENED, end
        # This starts a check, but is no reason to refuse this host's own callers.
        self._connector.on_failed(PathVerdict.UNCONFIRMED)
        if self._knowledge.paths.contact_at < started_at:
            # This host may be partitioned as well, so it can't tell.
            return TunnelStatus.UNAVAILABLE, None
        return FAILED_STATUSES[end], None

    def note_answered(self, request, status):
        """Log and count the answer to a `TunnelRequest`."""
        extra = {"status": status.name.lower()}
        self._metrics.tunnels.inc({"side": "gateway", **extra})
        extra |= {"peer": request.host, "target": request.target}
        log.info("tunnel requested", extra=extra)


class _End(asyncio.Protocol):
    """One of the two connections of a tunnel; `other` is the opposite one."""

    def __init__(self, gateway):
        self._gateway = gateway
        self.transport = None
        self.other = None

    def connection_made(self, transport):
        self.transport = transport

    def pause_writing(self):
        if self.other is not None:
            self.other.transport.pause_reading()

    def resume_writing(self):
        if self.other is not None and not self.other.transport.is_closing():
            self.other.transport.resume_reading()


class _TargetEnd(_End):
    """The connection to the target."""

    def connection_made(self, transport):
        super().connection_made(transport)
        # Until the host's end is known.
        transport.pause_reading()

    def data_received(self, data):
        self._gateway.note_contact()
        self.other.send(data)

    def eof_received(self):
        self.other.finish()

    def connection_lost(self, exc):
        if self.other is not None and exc is not None:
            self.other.abort()


class _HostEnd(_End):
    """The connection of the other host, which first requests the tunnel."""

    def __init__(self, gateway):
        super().__init__(gateway)
        self.active_at = now()
        self._received = bytearray()
        self._request_timer = None
        self._task = None
        self._is_finished = False

    def connection_made(self, transport):
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._request_timer = loop.call_later(REQUEST_TIMEOUT, self.abort)

    def data_received(self, data):
        self.active_at = now()
        if self.other is not None:
            if not self._is_finished:
                self.other.transport.write(data)
            return
        self._received += data
        if self._task is None:
            self._read_request()

    def _read_request(self):
        """Start the tunnel once its request is complete; the rest is for the target."""
        if len(self._received) < REQUEST_LENGTH.size:
            return
        (length,) = REQUEST_LENGTH.unpack_from(self._received)
        end = REQUEST_LENGTH.size + length
        if length > MAX_REQUEST_SIZE:
            self._reject(f"request of {length} bytes")
        elif len(self._received) >= end:
            self._request_timer.cancel()
            try:
                request = decode_request(self._received[REQUEST_LENGTH.size : end])
            except (msgspec.DecodeError, RecursionError) as exc:
                self._reject(str(exc))
                return
            del self._received[:end]
            self.transport.pause_reading()
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._open(request))

    def _reject(self, cause):
        peer = self.transport.get_extra_info("peername")
        log.warning("invalid tunnel request", extra={"peer": peer, "cause": cause})
        self.abort()

    async def _open(self, request):
        status, target_end = await self._gateway.connect(request)
        self._gateway.note_answered(request, status)
        if target_end is None:
            self.transport.write(bytes([status.value]))
            self.transport.close()
            return
        if self.transport.is_closing():
            target_end.transport.abort()
            return
        self.other, target_end.other = target_end, self
        self._gateway.add(self)
        self.transport.write(bytes([status.value]))
        target_end.transport.write(self._received)
        target_end.transport.resume_reading()
        self.transport.resume_reading()

    def send(self, data):
        """Send bytes of the target to the host."""
        self.active_at = now()
        if not self.transport.is_closing():
            self.transport.writelines(encode_frame(data))

    def finish(self):
        """Tell the host that the target has closed its connection."""
        self._is_finished = True
        self.send(b"")

    def abort(self):
        """Close both connections at once."""
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc):
        self._request_timer.cancel()
        self._gateway.remove(self)
        if self.other is None:
            return
        if exc is None and not self.other.transport.is_closing():
            # What the host has sent still goes to the target.
            self.other.transport.close()
        else:
            self.other.transport.abort()

"""
Connections to targets through another host, the gateway.

The host sends a `TunnelRequest`, and the gateway answers with one byte, a
`TunnelStatus`. After that, the host's bytes go to the target unchanged. Bytes of the
target come in frames of a 4-byte length and data; an empty frame says that the target
has closed its connection. Without it, the end of the tunnel says nothing about the
target, and a response that ends with its connection is incomplete.
"""

import asyncio
import enum
import struct

import msgspec

from ..utils.addresses import split_address
from ..utils.outgoing import create_connection
from ..utils.polled_timeout import polled_timeout_at
from .target_connection import TargetConnection

REQUEST_LENGTH = struct.Struct(">H")
FRAME_LENGTH = struct.Struct(">I")
MAX_REQUEST_SIZE = 1024


class TunnelRequest(msgspec.Struct, array_like=True):
    """A host's request to connect it to a target, which both must have listed."""

    host: str
    target: str
    address: str


class TunnelStatus(enum.Enum):
    """A gateway's answer."""

    OPENED = 0
    # What became of the gateway's connection to the target.
    REFUSED = 1
    NO_RESPONSE = 2
    # The gateway cannot tell: it is draining, full, busy or partitioned itself, or does
    # not know the target.
    UNAVAILABLE = 3


decode_request = msgspec.msgpack.Decoder(TunnelRequest).decode
_encode = msgspec.msgpack.Encoder().encode


def encode_request(request):
    """Encode a `TunnelRequest` with its length."""
    data = _encode(request)
    return REQUEST_LENGTH.pack(len(data)) + data


def encode_frame(data):
    """Return the parts of a frame."""
    return FRAME_LENGTH.pack(len(data)), data


class TunnelledConnection(TargetConnection):
    """
    A `TargetConnection` whose bytes come in frames from a gateway.

    `gateway` is its address. `linger` is the seconds for which the connection is still
    used once the target can be reached directly.
    """

    def __init__(self, gateway, linger, on_closed):
        super().__init__(on_closed)
        self.gateway = gateway
        self.linger = linger
        self._length = bytearray()
        self._frame_left = 0

    def data_received(self, data):
        while data:
            if self._frame_left:
                part, data = data[: self._frame_left], data[self._frame_left :]
                self._frame_left -= len(part)
                super().data_received(part)
                continue
            missing = FRAME_LENGTH.size - len(self._length)
            self._length += data[:missing]
            data = data[missing:]
            if len(self._length) == FRAME_LENGTH.size:
                (self._frame_left,) = FRAME_LENGTH.unpack(self._length)
                self._length.clear()
                if not self._frame_left:
                    super().eof_received()
                    self.transport.close()
                    return

    def eof_received(self):
        # The gateway has gone without saying that the target closed the connection.
        self._must_close = True


class _Handshake(asyncio.Protocol):
    """Sends a request; `status` is a future of the `TunnelStatus`."""

    def __init__(self, request):
        self._request = request
        self.status = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        transport.write(encode_request(self._request))

    def data_received(self, data):
        if (
            self.status.done()
            or len(data) != 1
            or data[0] > TunnelStatus.UNAVAILABLE.value
        ):
            self._set(TunnelStatus.UNAVAILABLE)
        else:
            self._set(TunnelStatus(data[0]))

    def connection_lost(self, exc):
        self._set(TunnelStatus.UNAVAILABLE)

    def _set(self, status):
        if not self.status.done():
            self.status.set_result(status)


async def open_tunnel(gateway, request, timeout, make_connection):
    """
    Open a connection to a target through a gateway.

    Args:
      gateway: The gateway's address.
      request: The `TunnelRequest`.
      timeout: The timeout, in seconds.
      make_connection: Returns the `TunnelledConnection` of a new tunnel.
    Returns:
      The `TunnelledConnection`, or the `TunnelStatus` if there is none.
    """
    ip, port = split_address(gateway)
    loop = asyncio.get_running_loop()
    transport = None
    status = TunnelStatus.UNAVAILABLE
    try:
        async with polled_timeout_at(loop.time() + timeout):
            transport, handshake = await create_connection(
                lambda: _Handshake(request), ip, port
            )
            status = await handshake.status
    except (TimeoutError, OSError):
        status = TunnelStatus.UNAVAILABLE
    finally:
        if transport is not None and status is not TunnelStatus.OPENED:
            transport.abort()
    if status is not TunnelStatus.OPENED or transport.is_closing():
        return TunnelStatus.UNAVAILABLE if status is TunnelStatus.OPENED else status
    connection = make_connection()
    transport.set_protocol(connection)
    connection.connection_made(transport)
    return connection

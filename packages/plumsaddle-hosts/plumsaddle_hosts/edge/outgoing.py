"""
The request that a host forwards to a target, and its HTTP encoding.
"""

from typing import Any, NamedTuple

from plumsaddle_core.core.traffic import RequestKind, Route, Workspace
from plumsaddle_core.ops.fingerprint import request_key

from ..front.headers import END_TO_END, HOP_BY_HOP
from ..platform import wire

# Bytes of a body that are sent at once.
SLICE_SIZE = 65536
# Headers that a host sets itself.
OWN_HEADERS = {
    wire.TIME_LEFT.lower().encode(),
    wire.TARGET_ID.lower().encode(),
    b"content-length",
    b"expect",
}
END_TO_END_HEADERS = {name.encode() for name in END_TO_END} | {
    wire.REQUEST_ID.lower().encode(),
    wire.SIGNATURE.lower().encode(),
}
DROPPED_HEADERS = {name.encode() for name in HOP_BY_HOP} | OWN_HEADERS
# Targets trust the workspace header, and must not learn the callers' keys.
DROPPED_HEADERS_WITH_KEYS = DROPPED_HEADERS | {
    b"authorization",
    wire.WORKSPACE.lower().encode(),
}


class Owner(NamedTuple):
    """
    The owner of a request.

    `has_keys` tells whether the configuration had workspaces when the request arrived.
    `workspace` is None for a request without one.
    """

    has_keys: bool = False
    workspace: Workspace | None = None

    @property
    def name(self):
        """The name of the workspace, or None."""
        return self.workspace.name if self.workspace is not None else None


class ProxyRequest(NamedTuple):
    """
    A request to forward.

    `body` is the whole body, or its first part if `rest` is the `BodyStream` of the
    others. `length` is the length of the body, or None if it is unknown. Times
    are in seconds on the host's clock; `deadline` is the earlier of the caller's
    deadline and the route's timeout. `urgency` is 1.0 for the most urgent requests of a
    service. `position` is the number of requests before it on its connection that had
    no response when it arrived. `latest_end` is until when its response may go on if it
    is arriving at the deadline, or None if it may not.
    """

    id: bytes
    method: str
    path: str
    headers: list
    body: bytes
    rest: Any
    length: int | None
    route: Route
    service: str
    started_at: float
    deadline: float
    caller: Any
    owner: Owner = Owner()
    urgency: float = 1.0
    position: int = 0
    latest_end: float | None = None

    @property
    def is_body_taken(self):
        """Whether a send has begun with a streamed body, which can't be repeated."""
        return self.rest is not None and self.rest.is_taken


def position_field(position):
    """Return the log field of a request's position, if others were before it."""
    return {"position": position} if position else {}


def compute_request_key(request):
    """
    Return the request key, which stays the same if the caller retries the request.

    Hashing a long body is expensive, so it is computed only on demand.
    """
    headers = _forwarded_headers(request) if request.owner.has_keys else request.headers
    workspace = (request.owner.name or "").encode()
    return request_key(request.method, request.path, headers, request.body, workspace)


def _forwarded_headers(request):
    """Return the headers that are forwarded unchanged, as a list of pairs."""
    dropped = DROPPED_HEADERS_WITH_KEYS if request.owner.has_keys else DROPPED_HEADERS
    connection_names = connection_header_names(request.headers)
    return [
        (name, value)
        for name, value in request.headers
        if (lower := name.lower()) not in dropped and lower not in connection_names
    ]


def make_head(request, target, time_left):
    """
    Return the encoded head of a request, with the start of the body if its length is
    known; `frame_body` yields the rest.

    Args:
      request: The `ProxyRequest`.
      target: The `Target`.
      time_left: The seconds until the deadline.
    """
    lines = [f"{request.method} {request.path} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in _forwarded_headers(request)]
    if request.owner.workspace is not None:
        lines.append(f"{wire.WORKSPACE}: {request.owner.name}".encode())
    lines.append(f"{wire.TIME_LEFT}: {max(1, int(time_left * 1000))}".encode())
    lines.append(f"{wire.TARGET_ID}: {target.id}".encode())
    if request.length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif request.length or request.method not in ("GET", "HEAD"):
        lines.append(b"Content-Length: %d" % request.length)
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    if request.length is None:
        return head
    return head + request.body[: _joined_size(request)]


def is_sent_in_parts(request):
    """Return whether a request goes on after what `make_head` returns."""
    return request.rest is not None or _joined_size(request) < len(request.body)


def _joined_size(request):
    """Return how many bytes of the body are sent with the head."""
    if request.length is None:
        return 0
    size = len(request.body)
    if size <= SLICE_SIZE:
        return size
    # Of a response that is received in parts, the whole request is sent at once.
    is_download = request.route.kind is RequestKind.DOWNLOAD and request.rest is None
    return size if is_download else SLICE_SIZE


def connection_header_names(headers):
    """Return the header names that Connection headers list, in lower case."""
    connection_names = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_names.update(part.strip().lower() for part in value.split(b","))
    return connection_names - END_TO_END_HEADERS


async def frame_body(request, parts):
    """
    Yield what follows `make_head`, framed as the head announced.

    Args:
      request: The `ProxyRequest`.
      parts: The parts of its `rest`, or None if it has none.
    """
    parts = _nothing() if parts is None else parts
    if request.length is not None:
        # Small parts, as each is copied if the target does not take it at once.
        body = memoryview(request.body)
        for at in range(_joined_size(request), len(body), SLICE_SIZE):
            yield body[at : at + SLICE_SIZE]
        async for part in parts:
            yield part
        return
    if request.body:
        yield _chunk(request.body)
    async for part in parts:
        yield _chunk(part)
    yield b"0\r\n\r\n"


async def _nothing():
    """Yield no parts."""
    for part in ():
        yield part


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)

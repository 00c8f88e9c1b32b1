"""
A request as it goes to a target: its head, and a long body in its framing.
"""

from typing import Any, NamedTuple

from plumsaddle_core.core.traffic import Route, Workspace
from plumsaddle_core.ops.fingerprint import request_key

from ..front.headers import HOP_BY_HOP
from ..platform import wire

# Headers that a host sets itself, and those that end at each hop.
SET_HERE = {
    wire.TIME_LEFT.lower().encode(),
    wire.TARGET_ID.lower().encode(),
    b"content-length",
    b"expect",
}
STOPPED = {name.encode() for name in HOP_BY_HOP} | SET_HERE
# The same where requests bear keys. A target trusts the workspace's name, and a key
# that it was shown it could use.
STOPPED_WITH_KEYS = STOPPED | {b"authorization", wire.WORKSPACE.lower().encode()}


class Owner(NamedTuple):
    """
    Whose a request is.

    `has_keys` tells whether the configuration had workspaces when the request came, and
    `workspace` is that of the request, None for nobody's.
    """

    has_keys: bool = False
    workspace: Workspace | None = None

    @property
    def name(self):
        """The name of the workspace, None for nobody's."""
        return self.workspace.name if self.workspace is not None else None


class Ask(NamedTuple):
    """
    A request as the relay needs it.

    `body` is the whole body, or its first part if `rest` is an asynchronous iterator
    of the others. `length` is the body's length, or None if it is not known. Times
    are in seconds on the host's clock; `deadline` is when the caller gives up or the
    route's time is over, whichever is earlier. `urgency` is 1.0 for the most
    urgent requests of a service.
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
    started: float
    deadline: float
    caller: Any
    owner: Owner = Owner()
    urgency: float = 1.0


def key_of(ask):
    """
    Return the key of an `Ask`, which is the same when its caller comes again.

    It takes some microseconds, and half a millisecond for a long body, so it is made
    only once something asks for it.
    """
    headers = _shown_headers(ask) if ask.owner.has_keys else ask.headers
    workspace = (ask.owner.name or "").encode()
    return request_key(ask.method, ask.path, headers, ask.body, workspace)


def _shown_headers(ask):
    """Return the headers that a target is shown as they came, in a list of pairs."""
    stopped = STOPPED_WITH_KEYS if ask.owner.has_keys else STOPPED
    named = named_by_connection(ask.headers)
    return [
        (name, value)
        for name, value in ask.headers
        if (lower := name.lower()) not in stopped and lower not in named
    ]


def make_head(ask, target, time_left):
    """
    Return the bytes of a request to a target, with its body if that is whole.

    Args:
      ask: The `Ask`.
      target: The `Target`.
      time_left: The seconds that the target may take.
    """
    lines = [f"{ask.method} {ask.path} HTTP/1.1".encode("latin-1")]
    lines += [name + b": " + value for name, value in _shown_headers(ask)]
    if ask.owner.workspace is not None:
        lines.append(f"{wire.WORKSPACE}: {ask.owner.name}".encode())
    lines.append(f"{wire.TIME_LEFT}: {max(1, int(time_left * 1000))}".encode())
    lines.append(f"{wire.TARGET_ID}: {target.id}".encode())
    if ask.length is None:
        lines.append(b"Transfer-Encoding: chunked")
    elif ask.length or ask.method not in ("GET", "HEAD"):
        lines.append(b"Content-Length: %d" % ask.length)
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if ask.length is None else head + ask.body


def named_by_connection(headers):
    """Return the lower-case names of headers that a Connection header lists."""
    named = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return named


async def frame_body(ask):
    """Yield the parts of a long body in the framing that the head announced."""
    if ask.length is not None:
        async for part in ask.rest:
            yield part
        return
    if ask.body:
        yield _chunk(ask.body)
    async for part in ask.rest:
        yield _chunk(part)
    yield b"0\r\n\r\n"


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)

"""
The key that identifies a request across retries, whatever its request id.

A retry has a new id but is otherwise the same to the target. The caller's address does
not count: targets never see it, many callers share a gateway, and a retry may come from
another address. Callers are told apart by the credentials in the request.
"""

import hashlib
import struct

from ..core.ids import RequestKey

# The probability of a collision among 10^9 requests is about 10^-11, and a collision
# only matters if one of the two requests crashes targets.
KEY_BYTES = 12
# Headers that identify the caller. Other headers, such as request and trace ids, may
# differ between retries.
CREDENTIAL_HEADERS = (b"authorization", b"cookie")
# A longer body is streamed: no more than these bytes of it are buffered, and its length
# may not be known before its end.
MAX_HASHED_BODY = 524288
_LENGTH = struct.Struct(">q")


def request_key(method, path, headers, body, workspace=b""):
    """
    Return the key of a request.

    Where targets receive the workspace's name instead of the caller's API key, the name
    identifies the caller: a workspace may have several API keys.

    Args:
      method: The method, as text.
      path: The path with the query, as text.
      headers: The headers, as pairs of bytes.
      body: The body, or at least the first `MAX_HASHED_BODY` + 1 bytes of a longer one.
      workspace: The name of the request's workspace as bytes, empty if it has none.
    Returns:
      A `RequestKey`, in hexadecimal digits.
    """
    values = {name.lower(): value for name, value in headers}
    parts = [
        method.encode(),
        path.encode("utf-8", "surrogateescape"),
        values.get(b"host", b"").lower(),
        *(values.get(name, b"") for name in CREDENTIAL_HEADERS),
        workspace,
    ]
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in parts:
        digest.update(_LENGTH.pack(len(part)))
        digest.update(part)
    digest.update(_LENGTH.pack(len(body) if len(body) <= MAX_HASHED_BODY else -1))
    digest.update(body[:MAX_HASHED_BODY])
    return RequestKey(digest.hexdigest())

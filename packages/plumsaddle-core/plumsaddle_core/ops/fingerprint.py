"""
What makes two requests the same request, whatever their ids.

A caller that comes again draws a new id. What a target sees of the request besides is
the same, and so is what the request does to a target that runs it.

The caller's address is no part of that: targets never see it, gateways share one among
many callers, and a caller that comes again may come by way of another one. A caller is
told by the credentials that the request bears.
"""

import hashlib
import struct

from ..core.ids import RequestKey

# Bytes of a key. Two of a thousand million requests share one by chance once in 10^11
# times; a shared key would cost a caller its service only if the other one crashed
# three targets.
KEY_BYTES = 12
# Headers that say who a caller is. Others may be new at each try, as ids and traces
# are, and one such would make each try a request of its own.
CREDENTIALS = (b"authorization", b"cookie")
# Bytes of a body that count. A longer one is passed on while it comes, and no more than
# this is ever at hand of it; its length may not be known before its end.
MAX_HASHED_BODY = 524288
_LENGTH = struct.Struct(">q")


def request_key(method, path, headers, body, workspace=b""):
    """
    Return the key of a request.

    Where targets are shown a workspace's name in place of the caller's key, the name
    tells the caller: a workspace may hold several keys.

    Args:
      method: Its method, as text.
      path: Its path with the query, as text.
      headers: Its headers, as pairs of bytes.
      body: The body's bytes; of one longer than `BODY_MOST` at least one byte more.
      workspace: The name of the request's workspace as bytes, empty if it has none.
    Returns:
      A `RequestKey`, in hexadecimal digits.
    """
    named = {name.lower(): value for name, value in headers}
    parts = [
        method.encode(),
        path.encode("utf-8", "surrogateescape"),
        named.get(b"host", b"").lower(),
        *(named.get(name, b"") for name in CREDENTIALS),
        workspace,
    ]
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in parts:
        digest.update(_LENGTH.pack(len(part)))
        digest.update(part)
    digest.update(_LENGTH.pack(len(body) if len(body) <= MAX_HASHED_BODY else -1))
    digest.update(body[:MAX_HASHED_BODY])
    return RequestKey(digest.hexdigest())

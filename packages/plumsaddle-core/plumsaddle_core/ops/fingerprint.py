"""
What makes two requests the same request, whatever their ids.

A caller that comes again draws a new id. Its host, path, address and body are the same,
and so is what the request does to a target that runs it.
"""

import hashlib
import struct

from ..core.ids import RequestKey

# Bytes of a key. Two of a thousand million requests share one by chance once in 10^11
# times; a shared key would cost a caller its service only if the other one crashed
# three targets.
KEY_BYTES = 12
_LENGTH = struct.Struct(">q")


def request_key(host, method, path, caller, body, length):
    """
    Return the key of a request.

    Args:
      host: The host that it names, as text.
      method: Its method, as text.
      path: Its path with the query, as text.
      caller: The caller's address without the port, as text.
      body: The body's bytes; the first ones of a long body that is passed on while it
        comes, of which no more is kept.
      length: The whole body's length in bytes, or None if it is not known.
    Returns:
      A `RequestKey`, in hexadecimal digits.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in (host.lower(), method, path, caller):
        data = part.encode("utf-8", "surrogateescape")
        digest.update(_LENGTH.pack(len(data)))
        digest.update(data)
    digest.update(_LENGTH.pack(-1 if length is None else length))
    digest.update(body)
    return RequestKey(digest.hexdigest())

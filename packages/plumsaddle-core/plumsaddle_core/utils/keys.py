"""
Order keys: their time, their scope and the fingerprint of their request.

A key is a UUIDv7, whose first 48 bits are the milliseconds since 1970 at which the
caller made it. It is scoped by the service and by the caller's credentials, so that
one caller's key never meets another's answer.
"""

import hashlib
import uuid
from typing import NamedTuple

from returns.result import Failure, Success

from ..core.ids import OrderKey
from ..core.reasons import Reason, refuse


class ParsedKey(NamedTuple):
    """A key in its scope, and its own time in milliseconds since 1970."""

    key: OrderKey
    key_time: int


def parse_key(text, service, credentials):
    """
    Read an Idempotency-Key.

    Args:
      text: The header's value, quoted or not, or None.
      service: The service's name.
      credentials: What the caller authenticates with, or an empty text.
    Returns:
      A `Success` of a `ParsedKey`, or a `Failure` of a `Refusal`.
    """
    if not text:
        return Failure(refuse(Reason.KEY_MISSING))
    try:
        key = uuid.UUID(text.strip().strip('"'))
    except ValueError:
        return Failure(refuse(Reason.KEY_MALFORMED))
    if key.version != 7:
        return Failure(refuse(Reason.KEY_MALFORMED, f"it is a UUIDv{key.version}"))
    scope = f"{service}\n{credentials}\n{key.hex}".encode()
    return Success(ParsedKey(OrderKey(_digest(scope)), key.int >> 80))


def fingerprint(method, path, body):
    """Return the hash by which a repeated request is told from another one."""
    return _digest(b"\n".join([method.encode(), path.encode(), body]))


def _digest(data):
    """
    Return a cryptographic digest.

    With a faster hash that is not one, a caller could make a key whose digest is
    another caller's and be given that caller's answer.
    """
    return hashlib.blake2b(data, digest_size=16).hexdigest()

"""
Idempotency keys of orders, and fingerprints of their requests.

A key is a UUIDv7, whose first 48 bits are its creation time in Unix milliseconds. It
is scoped to the service and the caller's credentials, so a caller cannot retrieve
another caller's response.
"""

import hashlib
import uuid
from typing import NamedTuple

from returns.result import Failure, Success

from ..core.ids import OrderKey
from ..core.reasons import Reason, refuse


class ParsedKey(NamedTuple):
    """A scoped key and its creation time in Unix milliseconds."""

    key: OrderKey
    key_time: int


def parse_key(text, service, credentials):
    """
    Parse an Idempotency-Key header.

    Args:
      text: The header's value, quoted or not, or None if it is missing.
      service: The service's name.
      credentials: The caller's credentials, or an empty string.
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
    """Return a hash that detects reuse of a key for a different request."""
    return _digest(b"\n".join([method.encode(), path.encode(), body]))


def _digest(data):
    """
    Return a cryptographic digest.

    A non-cryptographic hash would let a caller forge a collision with another caller's
    key and receive that caller's response.
    """
    return hashlib.blake2b(data, digest_size=16).hexdigest()

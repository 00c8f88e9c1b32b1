"""
Which workspace a request belongs to, by the key that it bears.

Keys are kept, compared and shown as digests only, so that neither a log nor a copy of
a host's memory gives one away. A look-up takes the same time for any key, known or not,
and costs the same however many workspaces there are.
"""

import hashlib

from ..core.ids import KeyDigest

# Bytes of a digest. Two of a million keys share one by chance once in 10^26 times.
DIGEST_BYTES = 16
# Hexadecimal digits by which a key is shown: enough to tell a fleet's keys apart.
SHOWN_DIGITS = 8
SCHEME = b"bearer"


def digest_of(key):
    """Return the `KeyDigest` of a key's bytes."""
    return KeyDigest(hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest())


def short_digest(digest):
    """Return the text by which a key may be shown and logged."""
    return digest.hex()[:SHOWN_DIGITS]


def index_keys(workspaces):
    """
    Return the workspaces by digest of key, and the digests that several of them hold.

    A key of two workspaces would let one act as the other, so it opens neither.

    Args:
      workspaces: The `Workspace` tuples of a configuration.
    Returns:
      A dictionary of `KeyDigest` to `Workspace`, and a set of `KeyDigest`.
    """
    index, shared = {}, set()
    for workspace in workspaces:
        for digest in workspace.keys:
            if index.setdefault(digest, workspace) is not workspace:
                shared.add(digest)
    for digest in shared:
        del index[digest]
    return index, shared


def read_key(headers):
    """
    Return the key that a request bears.

    Args:
      headers: The request's headers, as pairs of bytes.
    Returns:
      The key's bytes, or None if it bears none, several, or credentials of another
      scheme. Of several, hosts and targets might each go by another one.
    """
    values = [v for name, v in headers if name.lower() == b"authorization"]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    return key if scheme.lower() == SCHEME and key else None

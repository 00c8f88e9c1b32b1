"""
Finds the workspace of a request by its API key.

Keys are stored, compared and logged as digests only, so that neither logs nor memory
dumps reveal them. Look-up time depends neither on the key nor on the number of
workspaces.
"""

import hashlib

from ..core.ids import KeyDigest

# Length of a digest in bytes; collisions are negligible.
DIGEST_BYTES = 16
# Hexadecimal digits of a shortened digest.
SHOWN_DIGITS = 8
SCHEME = b"bearer"


def key_digest(key):
    """Return the `KeyDigest` of a key's bytes."""
    return KeyDigest(hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest())


def short_digest(digest):
    """Return a shortened digest for display and logs."""
    return digest.hex()[:SHOWN_DIGITS]


def index_keys(workspaces):
    """
    Return the workspaces by key digest, and the digests listed by several of them.

    A key of several workspaces is valid for none, as one could act as the other.

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
    Return the bearer key of a request.

    Args:
      headers: The request's headers, as pairs of bytes.
    Returns:
      The key's bytes, or None if there are no credentials, several, or those of another
      scheme. Of several, hosts and targets might each use a different one.
    """
    values = [v for name, v in headers if name.lower() == b"authorization"]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    return key if scheme.lower() == SCHEME and key else None

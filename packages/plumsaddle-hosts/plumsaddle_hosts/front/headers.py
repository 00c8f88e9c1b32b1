"""
Which headers pass through a host, and which end at it.

Headers that belong to one connection (RFC 9110, section 7.6.1) never pass, in
either direction. The names that plumsaddle itself sets are taken out of a target's
answer, so that a caller can trust them.
"""

from multidict import CIMultiDict

HOP_BY_HOP = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
KEY = "Idempotency-Key"
TIMEOUT = "X-Request-Timeout-Ms"
OUTCOME = "Plumsaddle-Outcome"
REASON = "Plumsaddle-Reason"
REPLAYED = "Plumsaddle-Replayed"
TARGET_STATE = "X-Target-State"
# Headers that a Connection header can't name, since the other end needs them.
END_TO_END = {
    "authorization",
    "content-encoding",
    "content-type",
    "host",
    KEY.lower(),
}
OWN = {OUTCOME.lower(), REASON.lower(), REPLAYED.lower()}
LEAVING_STATES = {"draining", "leaving"}


def pass_headers(headers, without=()):
    """
    Return the headers that go on to the next hop.

    Args:
      headers: A multidict of headers.
      without: More names to leave out, in lower case.
    Returns:
      A `CIMultiDict`.
    """
    named = {
        name.strip().lower()
        for value in headers.getall("Connection", ())
        for name in value.split(",")
    }
    stopped = HOP_BY_HOP | OWN | (named - END_TO_END) | set(without)
    return CIMultiDict(
        (name, value) for name, value in headers.items() if name.lower() not in stopped
    )

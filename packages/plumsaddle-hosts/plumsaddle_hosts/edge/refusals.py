"""
The answers that a host gives by itself, and why.

A cause has the status that it gets while the request has certainly not run, and the
one that it gets otherwise. Only the former may promise anything.
"""

import enum
from typing import NamedTuple


class Cause(enum.Enum):
    """Why a request was answered by the host itself."""

    LEAVING = "leaving"
    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    KEYS_OUTDATED = "keys-outdated"
    OVER_LIMIT = "over-limit"
    NO_REQUEST_ID = "no-request-id"
    BAD_TIME = "bad-time"
    HEAD_TOO_SLOW = "head-too-slow"
    HEADERS_TOO_LARGE = "headers-too-large"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_SLOW = "body-too-slow"
    BODY_BROKEN = "body-broken"
    MEMORY_FULL = "memory-full"
    NO_TARGET = "no-target"
    NO_ROOM = "no-room"
    NOT_TAKEN = "not-taken"
    UNREACHED = "unreached"
    TARGET_FAILED = "target-failed"
    TIME_OVER = "time-over"
    CALLER_GONE = "caller-gone"
    HELD_BACK = "held-back"
    TARGETS_LIMITED = "targets-limited"


class Refusal(NamedTuple):
    """An answer of the host's own. `pause` is when to come back, in seconds."""

    cause: Cause
    may_have_run: bool
    pause: float | None = None


STATUSES = {
    Cause.LEAVING: (503, 502),
    Cause.NO_CONFIGURATION: (503, 503),
    Cause.NO_ROUTE: (404, 404),
    Cause.UNKNOWN_KEY: (401, 401),
    Cause.KEYS_OUTDATED: (503, 503),
    Cause.OVER_LIMIT: (429, 429),
    Cause.NO_REQUEST_ID: (400, 400),
    Cause.BAD_TIME: (400, 400),
    Cause.HEAD_TOO_SLOW: (408, 408),
    Cause.HEADERS_TOO_LARGE: (431, 431),
    Cause.BODY_TOO_LARGE: (413, 413),
    Cause.BODY_TOO_SLOW: (408, 502),
    Cause.BODY_BROKEN: (400, 502),
    Cause.MEMORY_FULL: (503, 502),
    Cause.NO_TARGET: (503, 502),
    Cause.NO_ROOM: (503, 504),
    Cause.NOT_TAKEN: (503, 502),
    Cause.UNREACHED: (503, 502),
    Cause.TARGET_FAILED: (503, 502),
    Cause.TIME_OVER: (503, 504),
    Cause.CALLER_GONE: (503, 502),
    Cause.HELD_BACK: (503, 502),
    Cause.TARGETS_LIMITED: (503, 502),
}


def status_of(refusal):
    """Return the HTTP status of a refusal."""
    unrun, unsure = STATUSES[refusal.cause]
    return unsure if refusal.may_have_run else unrun

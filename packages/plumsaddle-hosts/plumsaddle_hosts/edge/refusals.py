"""
Requests that a host refuses itself: causes and HTTP statuses.

Each cause has two statuses: one for a request that is known not to have run, and one
for a request that may have run. Only the former may promise that it has not run.
"""

import enum
from typing import NamedTuple


class RefusalCause(enum.Enum):
    """Why a host refused a request."""

    DRAINING = "leaving"
    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    UNKNOWN_KEY = "unknown-key"
    KEYS_OUTDATED = "keys-outdated"
    OVER_LIMIT = "over-limit"
    NO_REQUEST_ID = "no-request-id"
    BAD_TIME_LIMIT = "bad-time"
    HEAD_TOO_SLOW = "head-too-slow"
    HEADERS_TOO_LARGE = "headers-too-large"
    BODY_TOO_LARGE = "body-too-large"
    BODY_TOO_SLOW = "body-too-slow"
    BODY_BROKEN = "body-broken"
    MEMORY_FULL = "memory-full"
    NO_TARGET = "no-target"
    OVERLOADED = "no-room"
    NOT_RUN = "not-taken"
    UNREACHABLE = "unreached"
    TARGET_FAILED = "target-failed"
    DEADLINE_EXCEEDED = "time-over"
    CALLER_GONE = "caller-gone"
    HELD = "held-back"
    TARGETS_LIMITED = "targets-limited"
    BACKING_OFF = "backing-off"
    QUEUE_FULL = "queue-full"
    WAITED_IN_VAIN = "waited"
    NO_RETRY = "no-retry"
    NO_PATH = "no-path"


class Refusal(NamedTuple):
    """A refused request. `retry_after` is in seconds."""

    cause: RefusalCause
    may_have_run: bool
    retry_after: float | None = None


STATUSES = {
    RefusalCause.DRAINING: (503, 502),
    RefusalCause.NO_CONFIGURATION: (503, 503),
    RefusalCause.NO_ROUTE: (404, 404),
    RefusalCause.UNKNOWN_KEY: (401, 401),
    RefusalCause.KEYS_OUTDATED: (503, 503),
    RefusalCause.OVER_LIMIT: (429, 429),
    RefusalCause.NO_REQUEST_ID: (400, 400),
    RefusalCause.BAD_TIME_LIMIT: (400, 400),
    RefusalCause.HEAD_TOO_SLOW: (408, 408),
    RefusalCause.HEADERS_TOO_LARGE: (431, 431),
    RefusalCause.BODY_TOO_LARGE: (413, 413),
    RefusalCause.BODY_TOO_SLOW: (408, 502),
    RefusalCause.BODY_BROKEN: (400, 502),
    RefusalCause.MEMORY_FULL: (503, 502),
    RefusalCause.NO_TARGET: (503, 502),
    RefusalCause.OVERLOADED: (503, 504),
    RefusalCause.NOT_RUN: (503, 502),
    RefusalCause.UNREACHABLE: (503, 502),
    RefusalCause.TARGET_FAILED: (503, 502),
    RefusalCause.DEADLINE_EXCEEDED: (503, 504),
    RefusalCause.CALLER_GONE: (503, 502),
    RefusalCause.HELD: (503, 502),
    RefusalCause.TARGETS_LIMITED: (503, 502),
    RefusalCause.BACKING_OFF: (503, 502),
    RefusalCause.QUEUE_FULL: (503, 502),
    RefusalCause.WAITED_IN_VAIN: (503, 504),
    RefusalCause.NO_RETRY: (503, 502),
    RefusalCause.NO_PATH: (503, 502),
}


def http_status(refusal):
    """Return the HTTP status of a refusal."""
    if_not_run, if_unknown = STATUSES[refusal.cause]
    return if_unknown if refusal.may_have_run else if_not_run

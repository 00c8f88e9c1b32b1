"""
Reasons for refusing a request and for retrying one.

Each refusal reason has one status code and an optional Retry-After. The same value is
used in the problem type's URI, as the metric's label and in the logs.
"""

import enum
from typing import NamedTuple

from .data import Outcome, Refusal


class Reason(enum.Enum):
    """Why plumsaddle refused a request."""

    NO_CONFIGURATION = "no-configuration"
    BAD_PATH = "bad-path"
    NO_ROUTE = "no-route"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    BAD_DEADLINE = "bad-deadline"
    BAD_EXPECTATION = "bad-expectation"
    KEY_MISSING = "key-missing"
    KEY_MALFORMED = "key-malformed"
    KEY_EXPIRED = "key-expired"
    KEY_REUSED = "key-reused"
    BODY_TOO_LARGE = "body-too-large"
    BAD_BODY = "bad-body"
    ORDER_RUNNING = "order-running"
    ORDER_UNKNOWN = "order-unknown"
    ORDER_ALREADY_RUN = "order-run"
    ORDERS_INCOMPLETE = "orders-incomplete"
    LOG_UNAVAILABLE = "log-away"
    QUEUE_FULL = "queue-full"
    NO_TARGET = "no-target"
    TARGETS_SHED = "targets-shed"
    DEADLINE = "deadline"
    TARGET_FAILED = "target-failed"
    TARGET_STALLED = "target-stalled"
    UPLOAD_BROKEN = "upload-broken"
    STOPPING = "stopping"


class RetryReason(enum.Enum):
    """Why a request was retried on another target."""

    CONNECT = "connect"
    SHED = "shed"
    BROKEN = "broken"
    TIMEOUT = "timeout"


class Problem(NamedTuple):
    """The status code, default Retry-After in seconds and title of a refusal."""

    status: int
    retry_after: int | None
    title: str


PROBLEMS = {
    Reason.NO_CONFIGURATION: Problem(503, 2, "The host has no configuration yet"),
    Reason.BAD_PATH: Problem(400, None, "The path has dot segments"),
    Reason.NO_ROUTE: Problem(404, None, "No route matches the path"),
    Reason.METHOD_NOT_ALLOWED: Problem(405, None, "The route does not take the method"),
    Reason.BAD_DEADLINE: Problem(400, None, "The request timeout is not a number"),
    Reason.BAD_EXPECTATION: Problem(417, None, "The expectation is not supported"),
    Reason.KEY_MISSING: Problem(400, None, "The order has no Idempotency-Key"),
    Reason.KEY_MALFORMED: Problem(400, None, "The Idempotency-Key is not a UUIDv7"),
    Reason.KEY_EXPIRED: Problem(410, None, "The Idempotency-Key is past its window"),
    Reason.KEY_REUSED: Problem(422, None, "The key was used with another request"),
    Reason.BODY_TOO_LARGE: Problem(413, None, "The request's body is too large"),
    Reason.BAD_BODY: Problem(400, None, "The request's body is malformed"),
    Reason.ORDER_RUNNING: Problem(409, 1, "The order is still running"),
    Reason.ORDER_UNKNOWN: Problem(409, None, "The order's outcome is unknown"),
    Reason.ORDER_ALREADY_RUN: Problem(
        409, None, "The order has run; its answer is not kept"
    ),
    Reason.ORDERS_INCOMPLETE: Problem(503, 5, "The order state is not complete yet"),
    Reason.LOG_UNAVAILABLE: Problem(503, 5, "The platform's log does not answer"),
    Reason.QUEUE_FULL: Problem(503, 2, "The queue of the service is full"),
    Reason.NO_TARGET: Problem(503, 2, "No target of the service can be used"),
    Reason.TARGETS_SHED: Problem(503, 1, "The targets of the service are full"),
    Reason.DEADLINE: Problem(504, 1, "The deadline passed"),
    Reason.TARGET_FAILED: Problem(502, 1, "The target's answer broke off"),
    Reason.TARGET_STALLED: Problem(504, 1, "The target made no progress"),
    Reason.UPLOAD_BROKEN: Problem(502, None, "The upload broke off on the way"),
    Reason.STOPPING: Problem(503, 1, "The host is stopping"),
}


def refuse(reason, detail="", outcome=Outcome.NOT_RUN):
    """
    Return a refusal for a reason.

    Args:
      reason: The `Reason`.
      detail: Details of this case, for the caller's log.
      outcome: The `Outcome`: whether the request was executed.
    Returns:
      A `Refusal` with the reason's default Retry-After.
    """
    return Refusal(reason, outcome, detail, PROBLEMS[reason].retry_after)

"""
Derives health signals from the result of an attempt, or from its age so far.

Signals come from real requests, since health endpoints may answer while requests fail.
Shed requests and disconnected callers give no signal. The duration of an upload or a
download depends on its caller, so it is ignored.
"""

from ..core.data import FailureKind, HealthSignal, RequestKind

TARGET_FAILURES = {
    FailureKind.CONNECT,
    FailureKind.BROKEN,
    FailureKind.OVERDUE,
    FailureKind.STALLED,
    FailureKind.UNFRAMED,
    FailureKind.ERROR,
}
NEUTRAL_FAILURES = {FailureKind.SHED, FailureKind.CALLER}
CALLER_PACED_KINDS = {RequestKind.UPLOAD, RequestKind.DOWNLOAD}


def signal_of_result(kind, failure, seconds, latency):
    """
    Return the signal of a finished attempt.

    Args:
      kind: The request's `RequestKind`.
      failure: A `FailureKind`, or None after a complete response.
      seconds: The duration of the attempt.
      latency: The `Latency` of the service for this kind.
    Returns:
      A `HealthSignal`, or None if the result gives none.
    """
    if failure in NEUTRAL_FAILURES:
        return None
    if failure in TARGET_FAILURES:
        return HealthSignal.FAILED
    if failure is FailureKind.DEADLINE:
        return signal_of_age(kind, seconds, latency)
    return HealthSignal.SLOW if _is_slow(kind, seconds, latency) else HealthSignal.GOOD


def signal_of_age(kind, seconds, latency):
    """
    Return the signal of an unfinished attempt.

    This detects a stalled target before its requests reach their deadlines.

    Args:
      kind: The request's `RequestKind`.
      seconds: The age of the attempt.
      latency: The `Latency` of the service for this kind.
    Returns:
      A `HealthSignal`, or None if the attempt gives none yet.
    """
    overdue_after = latency.overdue_after()
    if kind in CALLER_PACED_KINDS or overdue_after is None:
        return None
    if seconds > overdue_after:
        return HealthSignal.FAILED
    return HealthSignal.SLOW if _is_slow(kind, seconds, latency) else None


def _is_slow(kind, seconds, latency):
    slow_after = latency.slow_after()
    has_comparable_duration = kind not in CALLER_PACED_KINDS
    return has_comparable_duration and slow_after is not None and seconds > slow_after

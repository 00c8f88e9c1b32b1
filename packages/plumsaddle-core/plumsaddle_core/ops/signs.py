"""
What a try says about its target, from how it ended or from its age so far.

Health endpoints lie, so real work is the evidence. A shed request says nothing bad
of a target, and neither does a caller that went away. Uploads are as long as their
callers make them, so their time is not compared.
"""

from ..core.data import FailureKind, HealthSignal, RequestKind

BLAMED = {
    FailureKind.CONNECT,
    FailureKind.BROKEN,
    FailureKind.OVERDUE,
    FailureKind.STALLED,
    FailureKind.UNFRAMED,
    FailureKind.ERROR,
}
BLAMELESS = {FailureKind.SHED, FailureKind.CALLER}


def signal_of_result(kind, trouble, seconds, latency):
    """
    Return what the end of a try says.

    Args:
      kind: The request's `RequestKind`.
      trouble: A `FailureKind`, or None after a whole answer.
      seconds: How long the try took.
      latency: The `Latency` of the service for this kind.
    Returns:
      A `HealthSignal`, or None if it says nothing.
    """
    if trouble in BLAMELESS:
        return None
    if trouble in BLAMED:
        return HealthSignal.FAILED
    if trouble is FailureKind.DEADLINE:
        return signal_of_age(kind, seconds, latency)
    return HealthSignal.SLOW if _is_slow(kind, seconds, latency) else HealthSignal.GOOD


def signal_of_age(kind, seconds, latency):
    """
    Return what the age of an unfinished try says.

    A stalled target would otherwise be noticed only when its callers' time is up.

    Args:
      kind: The request's `RequestKind`.
      seconds: How long the try has taken so far.
      latency: The `Latency` of the service for this kind.
    Returns:
      A `HealthSignal`, or None if it says nothing yet.
    """
    overdue_after = latency.overdue_after()
    if kind is RequestKind.UPLOAD or overdue_after is None:
        return None
    if seconds > overdue_after:
        return HealthSignal.FAILED
    return HealthSignal.SLOW if _is_slow(kind, seconds, latency) else None


def _is_slow(kind, seconds, latency):
    slow_after = latency.slow_after()
    is_compared = kind is not RequestKind.UPLOAD
    return is_compared and slow_after is not None and seconds > slow_after

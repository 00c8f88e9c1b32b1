"""
Which requests a host that shuts down may still begin.

The grace period of a host ends with its process. A request that would not be done by
then is refused before it is sent to a target: its caller knows that it has not run, and
repeats it elsewhere while there is time.
"""

from typing import NamedTuple

# The multiple of a route's typical duration in which nearly all requests are done.
DURATION_FACTOR = 2.0
# The multiple of the longest recent duration in which a route's requests are done.
LONGEST_FACTOR = 1.2
# The part of its time left that a request of a route without enough samples may take.
UNKNOWN_SHARE = 0.7
# Seconds in which a refusal reaches a caller that is still sending.
REFUSAL_TIME = 0.5


class Durations(NamedTuple):
    """
    What is known of the durations of a route's requests, in seconds.

    `typical` is their median, or an assumption if `is_known` is false. `longest` is the
    longest recent one, and 0.0 if there is none.
    """

    typical: float
    longest: float
    is_known: bool


class BodyProgress(NamedTuple):
    """
    What has arrived of a body.

    `received` and `length` are in bytes; `length` is None if it is unknown. `seconds`
    is the time since the body began to arrive.
    """

    received: int
    length: int | None
    seconds: float

    def time_left(self):
        """
        Return the seconds until the body has arrived, if its pace stays the same.

        Of a body of unknown length, half is assumed to have arrived.
        """
        if not self.received:
            return 0.0
        missing = self.received if self.length is None else self.length - self.received
        return max(0, missing) * self.seconds / self.received


def latest_start(end, typical_duration):
    """
    Return the latest time at which a request may be sent to a target.

    Args:
      end: The end of the grace period, in seconds.
      typical_duration: That of the request's route, in seconds.
    """
    return end - max(REFUSAL_TIME, DURATION_FACTOR * typical_duration)


def latest_send(end, deadline, durations, slowdown=1.0):
    """
    Return the latest time at which a request may be sent, if it has a deadline.

    A request whose deadline comes first has its response by then, whatever its work.

    Args:
      end: The end of the grace period, in seconds.
      deadline: When its caller's time is up, in seconds.
      durations: The `Durations` of its route.
      slowdown: The factor by which the target is slower than when it is idle.
    """
    latest = end - REFUSAL_TIME
    if deadline <= end:
        return latest
    latest = min(latest, end - LONGEST_FACTOR * durations.longest * slowdown)
    if durations.is_known:
        return latest
    by_share = (end - UNKNOWN_SHARE * deadline) / (1.0 - UNKNOWN_SHARE)
    return min(latest, by_share, latest_start(end, durations.typical * slowdown))


def may_stream(progress, start_by, at):
    """
    Return whether to send a request while the rest of its body arrives.

    A body that is kept until it is whole needs no such estimate: its request can be
    refused at any time.

    Args:
      progress: The `BodyProgress` of its body.
      start_by: The latest time at which the request may be sent, in seconds.
      at: The current time, in seconds.
    """
    return at + progress.time_left() <= start_by

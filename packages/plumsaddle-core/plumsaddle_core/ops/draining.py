"""
Which requests a host that shuts down may still begin.

The grace period of a host ends with its process. A request that would not be done by
then is refused before it is sent to a target: its caller knows that it has not run, and
repeats it elsewhere while there is time.
"""

from typing import NamedTuple

# The multiple of a route's typical duration in which nearly all requests are done.
DURATION_FACTOR = 2.0
# Seconds in which a refusal reaches a caller that is still sending.
REFUSAL_TIME = 0.5


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


def may_stream(progress, start_by, at):
    """
    Return whether to send a request while the rest of its body arrives.

    A body that is kept until it is whole needs no such estimate: its request can be
    refused at any time.

    Args:
      progress: The `BodyProgress` of its body.
      start_by: What `latest_start` returned for the request.
      at: The current time, in seconds.
    """
    return at + progress.time_left() <= start_by

"""
When a large response begins to go to its caller, and when it is requested twice.

Load: targets that break off in the middle of a response, or are slow to begin one. A
request can be sent again only until the first byte has gone to the caller, so that byte
is held back while time remains. A second send while the first is outstanding doubles
the bytes on the host's link, for which the host's short responses wait.
"""

# The part of the spare time until the objective for which a response is held back until
# it is complete. The rest covers a caller that reads more slowly than estimated.
HOLD_FRACTION = 0.5
# The part of the remaining time that the link may spend on large responses, including
# a second one, for a second send to be worth it.
MAX_LINK_FRACTION = 0.25
# Seconds without a byte after which a response that has begun counts as stalled.
STALL_TIME = 0.5


def hold_time(objective_left, size, link_rate):
    """
    Return for how many seconds an incomplete response is held back.

    Args:
      objective_left: The seconds until the request's objective.
      size: The bytes of the response, or its typical size if it is unknown.
      link_rate: The capacity of the link in bytes per second, or None if unknown.
    """
    sending = size / link_rate if link_rate else 0.0
    return max(0.0, HOLD_FRACTION * (objective_left - sending))


def may_send_twice(size, others, link_rate, time_left, idle_for):
    """
    Return whether a request may be sent to a second target.

    Args:
      size: The typical bytes of its response.
      others: The number of other large responses that the host waits for.
      link_rate: The capacity of the link in bytes per second, or None if unknown.
      time_left: The seconds until its objective, or until its deadline if it is late.
      idle_for: The seconds since the last byte of its response, or None if it has not
        begun.
    """
    if idle_for is not None and idle_for < STALL_TIME:
        return False
    if link_rate is None:
        return True
    return size * (others + 2) / link_rate <= MAX_LINK_FRACTION * time_left

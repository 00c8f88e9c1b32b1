"""
How much one workspace may still ask of all hosts together, as one host knows it.

A limit is a rate and a burst, and holds over any window: so many seconds of the rate,
and the burst. A meter counts what the whole fleet let through in the last window. This
host counts its own requests at once and those of the others when it hears of them, some
tenths of a second later. While much is left, everything is let through, so a workspace
below its limit never notices. Once little is left the news is too old to go by: each
host would see room, and all would let everything through until they hear of each other.
So each lets the same part of its own requests through, the part by which the fleet's
demand has to shrink to fit the limit. That needs no shares, no leases and nobody who
hands them out, and it fits however unevenly the callers spread over the hosts.
"""

import math
from typing import NamedTuple

# Demand is averaged over the time in which a limit allows this many requests, but over
# so many seconds at least and at most. Over less, a workspace of a few requests a
# second looks hot by chance; over more, one that turns hot overruns its limit.
DEMAND_REQUESTS = 20.0
MIN_DEMAND_WINDOW = 0.5
MAX_DEMAND_WINDOW = 2.0
# The part of a limit that must be left for everything to be let through. What others
# have let through and this host has not heard of yet comes out of it.
RESERVE_FRACTION = 0.3
# The part of a limit that is not meant to be used, against the same error.
MARGIN_FRACTION = 0.04
# Seconds until a host hears what others have let through. What they let through in that
# time is estimated from what they told just before.
GOSSIP_DELAY = 0.25
REPORTED_WINDOW = 0.5
# Seconds over which what is left beyond that is let through.
ADMISSION_HORIZON = 0.5
# The window is counted in so many slots.
WINDOW_SLOTS = 20


class Tolerance(NamedTuple):
    """
    What an installation tolerates beyond a limit, since hosts cannot know at once.

    In a window of that many seconds, `overshoot` is a share of what the limit allows,
    and `slack` requests on top.
    """

    window: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0


# The part of the slack that a meter lets workspaces use: without it, one of few
# requests that come in clumps is thinned although it keeps to its limit over any
# window. All other tolerance covers what hosts do not know of each other.
SLACK_FRACTION = 0.3


def window_capacity(rate, burst, tolerance):
    """
    Return how many requests may be let through in a window.

    Args:
      rate: Requests a second.
      burst: Requests on top.
      tolerance: The `Tolerance`.
    """
    return rate * tolerance.window + burst + SLACK_FRACTION * tolerance.slack


class DecayingSum:
    """A sum whose parts fade: of each, 1/e is left after `seconds`."""

    __slots__ = ("_at", "_seconds", "_value")

    def __init__(self, seconds):
        self._seconds = seconds
        self._value = 0.0
        self._at = 0.0

    def add(self, amount, now):
        """Add an amount, and return the sum."""
        self._value = self.at(now) + amount
        self._at = now
        return self._value

    def at(self, now):
        """Return what is left of the sum at a moment."""
        if not self._value:
            return 0.0
        return self._value * math.exp(min(0.0, (self._at - now) / self._seconds))


class Meter:
    """
    What was let through of one workspace in the last window, and what it demands.

    Args:
      rate: Requests a second that the workspace may ask of all hosts.
      capacity: What `capacity_of` returned.
      window: The window, in seconds.
      since: When this host began to hear what is let through. Before that it takes it
        that the rate was used up, else a restart of all hosts would give each workspace
        its limit once more.
      now: The present, in seconds.
    """

    __slots__ = (
        "_demand",
        "_demand_window",
        "_reported",
        "_slot_length",
        "_slots",
        "_used",
        "capacity",
        "rate",
    )

    def __init__(self, rate, capacity, window, since, now):
        self.rate = rate
        self.capacity = capacity
        self._slot_length = window / WINDOW_SLOTS
        # By number of slot what was let through in it, the oldest first.
        self._slots = {}
        self._used = 0.0
        for number in range(self._number(now) - WINDOW_SLOTS, self._number(since)):
            self._slots[number] = rate * self._slot_length
            self._used += rate * self._slot_length
        seconds = DEMAND_REQUESTS / rate if rate else MAX_DEMAND_WINDOW
        self._demand_window = max(MIN_DEMAND_WINDOW, min(MAX_DEMAND_WINDOW, seconds))
        self._demand = DecayingSum(self._demand_window)
        # What other hosts told that they let through.
        self._reported = DecayingSum(REPORTED_WINDOW)

    def _number(self, now):
        return int(now / self._slot_length)

    def set_limit(self, rate, capacity):
        """
        Set another limit.

        What was let through under a higher one counts by as much less as the limit is
        lower. Else it would be more than the new one allows in a window, and everything
        would be refused until that is over.
        """
        if 0 < rate < self.rate:
            kept = rate / self.rate
            self._slots = {n: kept * count for n, count in self._slots.items()}
            self._used = sum(self._slots.values())
        self.rate = rate
        self.capacity = capacity

    def note_requested(self, count, now):
        """Count requests that some host was asked."""
        self._demand.add(count, now)

    def note_admitted(self, count, now):
        """Count requests that some host let through; below zero are given back."""
        number = self._number(now)
        self._slots[number] = self._slots.get(number, 0.0) + count
        self._used += count

    def note_reported(self, asked, admitted, is_known, now):
        """
        Take what another host told of its requests.

        Args:
          asked: How many it was asked since its last message.
          admitted: How many of these it let through; `note_admitted` counts them.
          is_known: Whether it had told of the workspace before. What comes with the
            first message was let through long ago and tells no rate.
          now: The present, in seconds.
        """
        self.note_requested(asked, now)
        if is_known:
            self._reported.add(admitted, now)

    def demand(self, now):
        """Return the requests a second that all hosts are asked."""
        return self._demand.at(now) / self._demand_window

    def remaining(self, now):
        """Return how many more requests the window has room for."""
        oldest = self._number(now) - WINDOW_SLOTS
        while self._slots:
            number = next(iter(self._slots))
            if number >= oldest:
                break
            self._used -= self._slots.pop(number)
        return self.capacity - self._used

    def admission_probability(self, part, demand, now):
        """
        Return the probability with which a request is to be let through.

        Args:
          part: The part of the limit that belongs to the hosts that are heard.
          demand: The requests a second that these are asked.
          now: The present, in seconds.
        """
        heard = min(demand, self._reported.at(now) / REPORTED_WINDOW)
        left = self.remaining(now) - GOSSIP_DELAY * max(0.0, heard)
        # Hosts that are not heard likely let through as much for their part.
        if left >= RESERVE_FRACTION * self.capacity + 1.0 / part:
            return 1.0
        if left < 1.0:
            return 0.0
        freed = (
            self._slots.get(self._number(now) - WINDOW_SLOTS, 0.0) / self._slot_length
        )
        goal = freed + (left - MARGIN_FRACTION * self.capacity) / ADMISSION_HORIZON
        return max(0.0, min(1.0, goal * part / demand)) if demand else 1.0

    def retry_after(self, demand, spread, now):
        """
        Return the seconds after which a refused request likely finds room.

        Callers that were refused together are sent to different moments: the more ask,
        the wider apart.

        Args:
          demand: As for `chance`.
          spread: A number from 0.0 to 1.0, drawn for the caller.
          now: The present, in seconds.
        """
        missing = MARGIN_FRACTION * self.capacity + 1.0 - self.remaining(now)
        room_at = now
        for number, count in self._slots.items():
            if missing <= 0.0:
                break
            missing -= count
            room_at = (number + WINDOW_SLOTS + 1) * self._slot_length
        window = self._slot_length * WINDOW_SLOTS
        crowd = spread * demand * window / self.capacity
        return min(window, room_at - now + max(self._slot_length, crowd))

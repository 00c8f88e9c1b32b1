"""
How much one workspace may still ask of all hosts together, as one host knows it.

A meter is a token bucket for the whole fleet: this host takes its own requests out at
once and those of the others when it hears of them, some tenths of a second later. While
the bucket is well filled, everything is let through, so a workspace below its limit
never notices. Once it runs low the news is too old to go by: each host would see room,
and all would let everything through until they hear of each other. So each lets the
same part of its own requests through, the part by which the fleet's demand has to
shrink to fit the limit. That needs no shares, no leases and nobody who hands them out,
and it fits however unevenly the callers spread over the hosts.
"""

import math
from typing import NamedTuple

# Demand is averaged over the time in which a limit allows this many requests, but over
# so many seconds at least and at most. Over less, a workspace of a few requests a
# second looks hot by chance; over more, one that turns hot overruns its limit.
DEMAND_COUNT = 20.0
DEMAND_LEAST = 0.5
DEMAND_MOST = 5.0
# The part of a full bucket below which demand is thinned, the more the emptier it is.
# What others have let through and this host has not heard of yet comes out of it.
RESERVE = 0.4
# A bucket is overdrawn by this many seconds of its rate at most. More would refuse a
# workspace for long after it has ceased to ask too much.
OVERDRAWN_MOST = 5.0
# Retry-After at most, in seconds.
PAUSE_MOST = 5.0


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
# requests that come in clumps is refused although it keeps to its limit over any
# window. All other tolerance covers what hosts do not know of each other.
SLACK_USED = 0.3


def capacity_of(burst, tolerance):
    """
    Return the tokens that a full bucket holds.

    Args:
      burst: Requests on top of the rate.
      tolerance: The `Tolerance`.
    """
    return burst + SLACK_USED * tolerance.slack


class Decayed:
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
    One workspace's bucket and demand.

    Args:
      rate: Requests a second that the workspace may ask of all hosts.
      capacity: What `capacity_of` returned.
      now: The present, in seconds.
    """

    __slots__ = ("_at", "_demand", "_demand_for", "capacity", "level", "rate")

    def __init__(self, rate, capacity, now):
        self.rate = rate
        self.capacity = capacity
        self.level = capacity
        self._at = now
        seconds = DEMAND_COUNT / rate if rate else DEMAND_MOST
        self._demand_for = max(DEMAND_LEAST, min(DEMAND_MOST, seconds))
        self._demand = Decayed(self._demand_for)

    def limit(self, rate, capacity):
        """Set another limit; what was let through under the former one counts."""
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def note_asked(self, count, now):
        """Count requests that some host was asked."""
        self._demand.add(count, now)

    def note_admitted(self, count, now):
        """Count requests that some host let through; below zero are given back."""
        self.refill(now)
        self.level = max(self.level - count, -OVERDRAWN_MOST * self.rate)

    def demand(self, now):
        """Return the requests a second that all hosts are asked."""
        return self._demand.at(now) / self._demand_for

    def refill(self, now):
        """Fill the bucket up by what has come since the last time."""
        gained = max(0.0, now - self._at) * self.rate
        self._at = now
        self.level = min(self.capacity, self.level + gained)

    def chance(self, part, demand, now):
        """
        Return the probability with which a request is to be let through.

        Args:
          part: The part of the limit that belongs to the hosts that are heard.
          demand: The requests a second that these are asked.
          now: The present, in seconds.
        """
        self.refill(now)
        reserve = RESERVE * self.capacity
        # Hosts that are not heard likely let through as much for their part.
        if self.level >= reserve + 1.0 / part:
            return 1.0
        goal = self.rate * part * self.level / reserve
        return max(0.0, min(1.0, goal / demand)) if demand else 1.0

    def pause(self, part, demand, spread):
        """
        Return the seconds after which a refused request likely finds room.

        Callers that were refused together are sent to different moments: the more ask,
        the wider apart.

        Args:
          part: As for `chance`.
          demand: As for `chance`.
          spread: A number from 0.0 to 1.0, drawn for the caller.
        """
        missing = max(0.0, RESERVE * self.capacity - self.level)
        crowd = spread * demand / (self.rate * part)
        return min(PAUSE_MOST, (missing + 1.0) / self.rate + crowd)

"""
A sliding-window meter of one workspace's requests to all hosts.

A limit is a rate and a burst: any window admits at most the rate times its length plus
the burst. A meter counts the requests that all hosts admitted in the last window: this
host's own at once, those of other hosts when they are reported, some tenths of a second
later. While more than a reserve remains, every request is admitted, so a workspace
below its limit is not affected. Below the reserve, the reported counts are too old: all
hosts would see room and admit every request until the next reports. Each host then
admits its own requests with the same probability, the ratio of the allowed rate to the
demand on all hosts. This needs no shares, leases or coordinator, and holds however
unevenly requests are distributed over the hosts.
"""

import math
from typing import NamedTuple

# Demand is averaged over the time in which the rate allows this many requests, within
# these bounds in seconds. A shorter average fluctuates at low rates; a longer one
# follows a rising demand too late to hold the limit.
DEMAND_REQUESTS = 20.0
MIN_DEMAND_WINDOW = 0.5
MAX_DEMAND_WINDOW = 2.0
# The fraction of the capacity that must remain for every request to be admitted. It
# covers requests that other hosts have admitted but not yet reported.
RESERVE_FRACTION = 0.3
# Seconds until other hosts' admitted requests are reported. Those of this time are
# estimated from the reports of the last REPORTED_WINDOW seconds.
GOSSIP_DELAY = 0.25
REPORTED_WINDOW = 0.5
# Seconds over which the remaining requests are spread.
ADMISSION_HORIZON = 0.8
# The fraction of the tolerated excess that hosts admit after a restart beyond what the
# worst case leaves.
RESTART_EXCESS_FRACTION = 0.2
# Requests count as a burst beyond this fraction of an even use of the capacity.
EVEN_FRACTION = 0.75
# The number of slots in which a window is counted.
WINDOW_SLOTS = 40
# The number of the oldest slots from which the rate is taken at which they expire.
EXPIRING_SLOTS = 2
# The same for requests with ranks, since fluctuations refuse urgent ones.
RANKED_EXPIRING_SLOTS = 6


class Tolerance(NamedTuple):
    """
    The tolerated excess over a limit, since hosts learn of each other's requests late.

    In a window of `window` seconds, `overshoot` is a fraction of the limit, and `slack`
    a number of requests in addition to it.
    """

    window: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0


# The fraction of the slack that is added to the capacity. Without it, a workspace with
# few requests in bursts is throttled although it is within its limit over any window.
# The rest of the tolerance covers requests that are not yet reported.
SLACK_FRACTION = 0.3


def window_capacity(rate, burst, tolerance):
    """
    Return the number of requests that may be admitted in a window.

    Args:
      rate: Requests per second.
      burst: Requests in addition to the rate.
      tolerance: The `Tolerance`.
    """
    return rate * tolerance.window + burst + SLACK_FRACTION * tolerance.slack


def worst_burst(rate, burst, tolerance):
    """
    Return the burst that is assumed to have been admitted just before a restart.

    Hosts that restart together do not know what was admitted before. In the worst case
    the whole burst was, so that only the rate remains for a window.

    Args:
      rate: Requests per second.
      burst: Requests in addition to the rate.
      tolerance: The `Tolerance`.
    """
    excess = tolerance.overshoot * (rate * tolerance.window + burst) + tolerance.slack
    unused = SLACK_FRACTION * tolerance.slack - RESTART_EXCESS_FRACTION * excess
    return max(0.0, burst + unused)


class DecayingSum:
    """A sum that decays exponentially with a time constant, in seconds."""

    __slots__ = ("_time_constant", "_updated_at", "_value")

    def __init__(self, time_constant):
        self._time_constant = time_constant
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount, now):
        """Add an amount, and return the sum."""
        self._value = self.at(now) + amount
        self._updated_at = now
        return self._value

    def at(self, now):
        """Return the decayed sum at a time."""
        if not self._value:
            return 0.0
        return self._value * math.exp(
            min(0.0, (self._updated_at - now) / self._time_constant)
        )


class Meter:
    """
    The requests of one workspace admitted in the last window, and its demand.

    Args:
      rate: The workspace's limit over all hosts, in requests per second.
      capacity: The `window_capacity` of the limit.
      window: The length of the window, in seconds.
      counted_since: When this host began to count. Before that the rate is assumed to
        have been used up, so that a restart of all hosts does not reset the limits.
      assumed_burst: The requests beyond the rate that are assumed just before that.
      now: The current time in seconds.
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

    def __init__(self, rate, capacity, window, counted_since, now, assumed_burst=0.0):
        self.rate = rate
        self.capacity = capacity
        self._slot_length = window / WINDOW_SLOTS
        # Admitted requests by slot number, the oldest first.
        self._slots = {}
        self._used = 0.0
        self._assume_used(counted_since, assumed_burst, now)
        seconds = DEMAND_REQUESTS / rate if rate else MAX_DEMAND_WINDOW
        self._demand_window = max(MIN_DEMAND_WINDOW, min(MAX_DEMAND_WINDOW, seconds))
        self._demand = DecayingSum(self._demand_window)
        # Admitted requests that other hosts reported.
        self._reported = DecayingSum(REPORTED_WINDOW)

    def _assume_used(self, counted_since, assumed_burst, now):
        """Count what may have been admitted before this host began to count."""
        first = self._slot_number(now) - WINDOW_SLOTS
        end = self._slot_number(counted_since)
        for number in range(first, end):
            self._slots[number] = self.rate * self._slot_length
        if first < end:
            self._slots[end - 1] += assumed_burst
        self._used = sum(self._slots.values())

    def _slot_number(self, now):
        return int(now / self._slot_length)

    def set_limit(self, rate, capacity):
        """
        Change the limit.

        When the limit is lowered, the counts of the window are scaled down with it.
        Otherwise they may exceed the new capacity, and every request would be refused
        until the window has passed.
        """
        if 0 < rate < self.rate:
            scale = rate / self.rate
            self._slots = {n: scale * count for n, count in self._slots.items()}
            self._used = sum(self._slots.values())
        self.rate = rate
        self.capacity = capacity

    def note_requested(self, count, now):
        """Count requests to any host."""
        self._demand.add(count, now)

    def note_admitted(self, count, now):
        """Count requests that any host admitted; a negative count releases them."""
        number = self._slot_number(now)
        self._slots[number] = self._slots.get(number, 0.0) + count
        self._used += count

    def note_reported(self, requested, admitted, is_known, now):
        """
        Count requests that another host reported.

        Args:
          requested: The number of requests since its last message.
          admitted: How many of them were admitted; `note_admitted` counts them.
          is_known: Whether the host has reported the workspace before. The time span of
            a first report is unknown, so it gives no rate.
          now: The current time in seconds.
        """
        self.note_requested(requested, now)
        if is_known:
            self._reported.add(admitted, now)

    def demand(self, now):
        """Return the demand on all hosts, in requests per second."""
        return self._demand.at(now) / self._demand_window

    def remaining(self, now):
        """Return how many more requests the window allows."""
        oldest = self._slot_number(now) - WINDOW_SLOTS
        while self._slots:
            number = next(iter(self._slots))
            if number >= oldest:
                break
            self._used -= self._slots.pop(number)
        return self.capacity - self._used

    def spread(self, used, now):
        """Replace the counts of the window by an even use of a number of requests."""
        current = self._slot_number(now)
        self._slots = {
            number: used / WINDOW_SLOTS
            for number in range(current - WINDOW_SLOTS + 1, current + 1)
        }
        self._used = used

    def scale_since(self, since, factor):
        """Multiply the counts since a time by a factor."""
        first = self._slot_number(since)
        self._slots = {
            number: count * factor if number >= first else count
            for number, count in self._slots.items()
        }
        self._used = sum(self._slots.values())

    def admitted_since(self, seconds, now):
        """Return the requests counted in the last seconds, in whole slots."""
        first = self._slot_number(now - seconds)
        return sum(count for number, count in self._slots.items() if number >= first)

    def is_below_reserve(self, now):
        """Return whether less than the reserve remains, or will in a moment."""
        return self.remaining(now) < 2.0 * RESERVE_FRACTION * self.capacity

    def burst_since(self, seconds, now):
        """Return the requests of the last seconds beyond an even use of the limit."""
        window = self._slot_length * WINDOW_SLOTS
        even = EVEN_FRACTION * self.capacity * seconds / window
        return max(0.0, self.admitted_since(seconds, now) - even)

    def admission_probability(
        self, share, demand, reserved, now, bonus=0.0, is_ranked=False
    ):
        """
        Return the probability with which to admit a request.

        Args:
          share: The share of the limit that belongs to the reachable hosts.
          demand: The demand on these hosts, in requests per second.
          reserved: The requests that silent hosts may have admitted.
          now: The current time in seconds.
          bonus: The fraction of the capacity by which it may seem to be exceeded.
          is_ranked: Whether the request has a rank.
        """
        reported = min(demand, self._reported.at(now) / REPORTED_WINDOW)
        remaining = self.remaining(now) - GOSSIP_DELAY * max(0.0, reported) - reserved
        remaining += bonus * self.capacity
        # Unreachable hosts are assumed to admit in proportion to their share.
        if remaining >= RESERVE_FRACTION * self.capacity + 1.0 / share:
            return 1.0
        if remaining < 1.0:
            return 0.0
        slots = RANKED_EXPIRING_SLOTS if is_ranked else EXPIRING_SLOTS
        expiring = self._expiring_rate(slots, now)
        allowed_rate = expiring + remaining / ADMISSION_HORIZON
        return max(0.0, min(1.0, allowed_rate * share / demand)) if demand else 1.0

    def _expiring_rate(self, slots, now):
        """Return the requests per second that expire in the next slots."""
        oldest = self._slot_number(now) - WINDOW_SLOTS
        expiring = sum(
            self._slots.get(number, 0.0) for number in range(oldest, oldest + slots)
        )
        return expiring / (slots * self._slot_length)

    def retry_after(self, demand, jitter, now):
        """
        Return the seconds after which a refused request is likely to be admitted.

        The retries of callers that were refused together are spread over time, in
        proportion to the demand.

        Args:
          demand: As for `admission_probability`.
          jitter: A random number from 0.0 to 1.0, drawn for the caller.
          now: The current time in seconds.
        """
        shortfall = 1.0 - self.remaining(now)
        available_at = now
        for number, count in self._slots.items():
            if shortfall <= 0.0:
                break
            shortfall -= count
            available_at = (number + WINDOW_SLOTS + 1) * self._slot_length
        window = self._slot_length * WINDOW_SLOTS
        spacing = jitter * demand * window / self.capacity
        return min(window, available_at - now + max(self._slot_length, spacing))

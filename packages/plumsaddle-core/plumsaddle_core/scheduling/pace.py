"""
The pace at which one host sends waiting requests to a service that is nearly full.

The load it answers: many hosts with waiting requests see the same free slots, as of a
tenth of a second ago. If each sent what it sees room for, they would together send many
times as much, and targets would reject it. So while room is scarce, each host sends at
its share of the rate at which the targets serve, in proportion to its share of the
demand. The shares add up to the whole, without a coordinator and however many hosts
there are.

Less urgent requests leave a reserve for urgent ones that arrive next. New requests
before which none waits may exceed the pace by one, since they arrive at random and not
all at once, and so may those that would be late a step later.
"""

# The pace relative to the expected service rate. Slots that are left unused because of
# a pace that is too low are lost, while excess requests are stopped by the room seen.
PACE_FACTOR = 1.5
# Sends that a host may save up: these, and those of some seconds.
BURST = 2.0
BURST_SECONDS = 0.1
# Sends beyond the pace that are made up for later.
MAX_DEBT = 1.0


class Pace:
    """A token bucket whose rate follows this host's share of the service rate."""

    def __init__(self):
        self._tokens = 1.0
        self._updated_at = None

    def refill(self, rate, now):
        """
        Add the tokens for the time since the last call.

        Args:
          rate: This host's share of the service rate, in requests per second.
          now: The current time in seconds.
        """
        if self._updated_at is not None:
            elapsed = max(0.0, now - self._updated_at)
            capacity = BURST + rate * BURST_SECONDS
            self._tokens = min(capacity, self._tokens + elapsed * rate * PACE_FACTOR)
        self._updated_at = now

    def may_send(self, urgency, is_pressing=False):
        """
        Return whether a request may be sent.

        Args:
          urgency: The urgency of its rank, from 0.0 to 1.0. The least urgent requests
            leave one token.
          is_pressing: Whether it arrived just now and none waits before it, or it would
            be late a step later.
        """
        return self._tokens >= (0.0 if is_pressing else 2.0 - urgency)

    def note_send(self):
        """Take a token for a send."""
        self._tokens = max(-MAX_DEBT, self._tokens - 1.0)

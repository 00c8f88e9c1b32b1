"""
How much a host may tell the other hosts.

Each start and end of a request is told to every host of the data centre, so what all
of them send grows with the square of their number. With 45 hosts and ten requests a
second each, links of 10 Mbit/s filled up: requests waited half a second at their own
host's link and the store's news for four, while the processors were idle. So telling
draws on an allowance that is a small part of the link, and news that must wait is
told together. Failures may overdraw it: an old count of work in flight costs a little
waiting, an unknown failure costs the next order.
"""

# The part of a host's link that telling may use. With 45 hosts behind 10 Mbit/s this
# is eleven messages a second beside what is passed on from elsewhere, and what all of
# them send fills a sixth of the link of each that receives it. With a third of this,
# passing on took all of it: failures were told half a second late, and of a thousand
# orders 180 failed.
TOLD_SHARE = 0.15
# Datagrams a second in which a host may tell its own work. Each costs processor time at
# both ends: at 45 hosts a host spent 0.064 of a core with eleven messages a second and
# 0.058 with six, more than half of it on them. With 13 others and four requests a
# second it sends some 110, so that small data centres tell at once.
TOLD_DATAGRAMS = 150.0
# Seconds of the allowance that a quiet host may save up, and that a host with urgent
# news may overdraw.
SAVED_FOR = 0.25
OVERDRAWN_FOR = 0.5


class Allowance:
    """
    A token bucket for bytes or datagrams, which may be overdrawn.

    Args:
      rate: How many a second, or None for no bound.
    """

    def __init__(self, rate):
        self._rate = rate
        self._saved = 0.0 if rate is None else rate * SAVED_FOR
        self._at = None

    def spend(self, size, now):
        """Count what goes out now, in seconds of any clock that never goes back."""
        self._refill(now)
        self._saved -= size

    def wait(self, is_urgent, now):
        """Return the seconds until the next message may go out, 0.0 for at once."""
        if self._rate is None:
            return 0.0
        self._refill(now)
        floor = -self._rate * OVERDRAWN_FOR if is_urgent else 0.0
        return max(0.0, (floor - self._saved) / self._rate)

    def _refill(self, now):
        if self._rate is None:
            return
        if self._at is not None:
            gained = max(0.0, now - self._at) * self._rate
            self._saved = min(self._rate * SAVED_FOR, self._saved + gained)
        self._at = now


def told_rate(link):
    """Return the bytes a second that a host may tell over its link's bytes a second."""
    return None if link is None else link * TOLD_SHARE

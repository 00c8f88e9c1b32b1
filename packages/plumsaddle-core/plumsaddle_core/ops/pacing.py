"""
How much a host may tell the other hosts.

A hub tells all hosts of its data centre what it was told, so what it sends grows with
their number. If it told each thing at once, it would fill a small link: with 45 hosts
that did so, ten requests a second each and links of 10 Mbit/s, requests waited half a
second at their own host's link and the store's news for four, while the processors
were idle. So telling draws on an allowance that is a small part of the link, and news
that must wait is told together. Failures may overdraw it: an old count of work in
flight costs a little waiting, an unknown failure costs the next order.
"""

# The part of a hub's link that telling may use. Sixty hosts and 140 requests a second
# make 13 kB a second, compressed, which go to each of the hosts: 3% of a link of
# 200 Mbit/s and 30% of one of 20 Mbit/s, so there they are told less often.
TOLD_SHARE = 0.15
# Datagrams a second that a host may send to tell of work. Each costs processor time at
# both ends, so a hub of sixty hosts tells them ten times a second and one of twelve
# fifty times.
TOLD_DATAGRAMS = 600.0
# The same for news that makes a target look worse. Until it is told, the others send
# orders there that are lost.
URGENT_DATAGRAMS = 2400.0
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


class SendPacer:
    """
    All that bounds what a host tells: bytes, datagrams, and datagrams of urgent news.

    Args:
      link: What the host's link carries, in bytes a second, or None if unknown.
      is_bounded: Whether there is a bound at all.
    """

    def __init__(self, link, is_bounded=True):
        self._bytes = Allowance(told_rate(link) if is_bounded else None)
        self._calm = Allowance(TOLD_DATAGRAMS if is_bounded else None)
        self._urgent = Allowance(URGENT_DATAGRAMS if is_bounded else None)

    def spend(self, datagrams, size, now):
        """Count datagrams that go out now, and their bytes together."""
        self._bytes.spend(size, now)
        self._calm.spend(datagrams, now)
        self._urgent.spend(datagrams, now)

    def wait(self, is_urgent, now):
        """Return the seconds until the next message may go out, 0.0 for at once."""
        datagrams = self._urgent if is_urgent else self._calm
        return max(self._bytes.wait(is_urgent, now), datagrams.wait(False, now))

    def has_bandwidth(self, now):
        """Return whether the link has room for more."""
        return self._bytes.wait(False, now) <= 0.0


def told_rate(link):
    """Return the bytes a second that a host may tell over its link's bytes a second."""
    return None if link is None else link * TOLD_SHARE

"""
Pacing of the updates that a host sends to other hosts.

A hub forwards the updates of all hosts in its data centre to each of them, so its
traffic grows with the square of their number. Sent one by one, updates would saturate a
slow link and delay requests and configuration changes. Updates therefore draw on token
buckets that allow a small part of the link, and those that must wait are sent together.
Urgent updates, such as failures, may overdraw the byte bucket: a late load count costs
some waiting, but a late failure costs requests.
"""

# The fraction of the link's capacity that updates may use. With sixty hosts and 140
# requests a second, the compressed updates of all to all take 3% of a link of 200
# Mbit/s and 30% of one of 20 Mbit/s, so hosts with slow links are updated less often.
LINK_FRACTION = 0.15
# Datagrams per second for load updates. Each costs processor time at both ends. A hub
# of sixty hosts updates them ten times a second, one of twelve fifty times.
MAX_DATAGRAM_RATE = 600.0
# The same for urgent updates. Until one arrives, other hosts send to a failing target.
MAX_URGENT_DATAGRAM_RATE = 2400.0
# Seconds' worth of tokens that an idle host may save, and that urgent updates may
# overdraw.
BURST_SECONDS = 0.25
OVERDRAFT_SECONDS = 0.5


class OverdraftBucket:
    """
    A token bucket for bytes or datagrams that may be overdrawn.

    Args:
      rate: Tokens per second, or None for no limit.
    """

    def __init__(self, rate):
        self._rate = rate
        self._tokens = 0.0 if rate is None else rate * BURST_SECONDS
        self._updated_at = None

    def spend(self, size, now):
        """Take tokens for what is sent at a time, in seconds of a monotonic clock."""
        self._refill(now)
        self._tokens -= size

    def wait(self, is_urgent, now):
        """Return the seconds until the next message may be sent."""
        if self._rate is None:
            return 0.0
        self._refill(now)
        minimum = -self._rate * OVERDRAFT_SECONDS if is_urgent else 0.0
        return max(0.0, (minimum - self._tokens) / self._rate)

    def _refill(self, now):
        if self._rate is None:
            return
        if self._updated_at is not None:
            added = max(0.0, now - self._updated_at) * self._rate
            self._tokens = min(self._rate * BURST_SECONDS, self._tokens + added)
        self._updated_at = now


class SendPacer:
    """
    The limits of the updates that a host sends: bytes, datagrams and urgent datagrams.

    Args:
      link_rate: The capacity of the host's link in bytes per second, or None if
        unknown.
      is_limited: Whether there are any limits.
    """

    def __init__(self, link_rate, is_limited=True):
        self._bytes = OverdraftBucket(max_byte_rate(link_rate) if is_limited else None)
        self._deferrable = OverdraftBucket(MAX_DATAGRAM_RATE if is_limited else None)
        self._urgent = OverdraftBucket(MAX_URGENT_DATAGRAM_RATE if is_limited else None)

    def spend(self, datagrams, size, now):
        """Count datagrams that are sent now, and the sum of their sizes."""
        self._bytes.spend(size, now)
        self._deferrable.spend(datagrams, now)
        self._urgent.spend(datagrams, now)

    def wait(self, is_urgent, now):
        """Return the seconds until the next message may be sent."""
        datagrams = self._urgent if is_urgent else self._deferrable
        return max(self._bytes.wait(is_urgent, now), datagrams.wait(False, now))

    def has_bandwidth(self, now):
        """Return whether bytes may be sent without overdrawing."""
        return self._bytes.wait(False, now) <= 0.0


def max_byte_rate(link_rate):
    """Return the bytes per second that updates may use of a link, if known."""
    return None if link_rate is None else link_rate * LINK_FRACTION

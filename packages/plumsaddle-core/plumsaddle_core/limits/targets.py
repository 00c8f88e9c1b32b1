"""
The rate limits of targets, as one host keeps them.

Only hosts of a target's own data centre send to it while it names a limit; others have
targets of their own, and what hosts know of each other passes between data centres too
slowly to share a rate of some requests a second. Each host paces its share by a token
bucket. A target is sent a request now and then even at a limit of zero: nothing else
would show that the limit has ended.
"""

import random

from .bucket import TokenBucket
from .named import NamedLimits
from .shares import LimitedTarget, share_out

# Requests a second that a target is sent at least over all hosts.
RATE_LEAST = 0.2
# Seconds between two looks at the demand that shares follow.
SHARES_EVERY = 1.0
# Tokens of a bucket at least, and the seconds of a share that it holds.
CAPACITY_LEAST = 1.5
CAPACITY_FOR = 0.5
# Tokens that the least urgent request of a service leaves to more urgent ones.
RESERVED = 0.5
# The longest time after which a refused caller is told to return, in seconds.
RETRY_AFTER_MOST = 10.0


class _Service:
    """The limited targets of a service, and this host's buckets."""

    __slots__ = ("buckets", "key", "total")

    def __init__(self):
        self.key = None
        self.buckets = {}
        # Requests a second that all limited targets near by take.
        self.total = 0.0


class TargetLimits:
    """
    The limits of targets on one host.

    Args:
      roster: The `Roster` of the host's data centre.
      rng: A `random.Random`, which spreads the callers that are refused.
    """

    def __init__(self, roster, rng=random):
        self.named = NamedLimits()
        self.roster = roster
        self._rng = rng
        self._services = {}

    def admits(self, targets, centre, urgency, revision, now):
        """
        Return the targets to which a request may be sent now.

        Args:
          targets: The usable `Target`s of one service.
          centre: The host's data centre.
          urgency: How urgent the request is for its service, from 0.0 to 1.0.
          revision: Grows with each change of what is listed.
          now: The present, in seconds.
        """
        if not self.named or not targets:
            return targets
        named = self.named
        if not any(named.rate(target.life) is not None for target in targets):
            return targets
        buckets = self._service(targets, centre, revision, now).buckets
        needed = _needed(urgency)
        return [
            target
            for target in targets
            if named.rate(target.life) is None
            or (target.life in buckets and buckets[target.life].tokens(now) >= needed)
        ]

    def acquire(self, target, now):
        """Count a request that is sent to a target."""
        bucket = self._bucket(target)
        if bucket is not None:
            bucket.acquire(now)

    def release(self, target, now):
        """Take back a request that was not sent after all."""
        bucket = self._bucket(target)
        if bucket is not None:
            bucket.release(now)

    def retry_after(self, targets, centre, urgency, revision, now):
        """
        Return the seconds after which a refused caller may find room.

        Callers that are refused together are told different times: the further demand
        exceeds the limits, the wider apart.

        Args: as for `admits`.
        """
        service = self._service(targets, centre, revision, now)
        needed = _needed(urgency)
        waits = [bucket.wait(needed, now) for bucket in service.buckets.values()]
        rate = max(service.total, RATE_LEAST)
        demands = self.roster.demands(targets[0].service, now)
        excess = sum(host.demand for host in demands) / rate
        wait = min(waits, default=1.0 / rate) + excess * self._rng.random()
        return min(RETRY_AFTER_MOST, wait)

    def share(self, target):
        """Return the requests a second that this host may send to a target."""
        bucket = self._bucket(target)
        return bucket.rate if bucket is not None else 0.0

    def _bucket(self, target):
        service = self._services.get(target.service)
        return service.buckets.get(target.life) if service is not None else None

    def _service(self, targets, centre, revision, now):
        """Return the `_Service` of targets, its shares brought up to date."""
        name = targets[0].service
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service()
        may_send = self.roster.may_send(now)
        key = (self.named.revision, revision, int(now / SHARES_EVERY), may_send)
        if service.key != key:
            service.key = key
            limited = [
                LimitedTarget(t.life, max(RATE_LEAST, self.named.rate(t.life)))
                for t in targets
                if t.centre == centre and self.named.rate(t.life) is not None
            ]
            service.total = sum(target.rate for target in limited)
            shares = {}
            if limited and may_send:
                demands = self.roster.demands(name, now)
                shares = share_out(limited, demands, self.roster.own)
            service.buckets = _pour(service.buckets, shares, now)
        return service


def _needed(urgency):
    """Return how many tokens there must be for a request."""
    return 1.0 + RESERVED * (1.0 - urgency)


def _pour(buckets, shares, now):
    """Return the buckets of new shares; those that go on keep their tokens."""
    poured = {}
    for life, rate in shares.items():
        capacity = max(CAPACITY_LEAST, CAPACITY_FOR * rate)
        bucket = buckets.get(life)
        if bucket is None:
            bucket = TokenBucket(rate, capacity, now)
        else:
            bucket.set_rate(rate, capacity, now)
        poured[life] = bucket
    return poured

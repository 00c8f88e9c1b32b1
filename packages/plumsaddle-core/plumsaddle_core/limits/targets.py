"""
The rate limits of targets, as one host keeps them.

Only hosts of a target's own data centre send to it while it names a limit; others have
targets of their own, and what hosts know of each other passes between data centres too
slowly to share a rate of some requests a second. Each host paces its share by a token
bucket, and where no other target would do, a request may wait for its next token. A
target is sent a request now and then even at a limit of zero: nothing else would show
that the limit has ended.
"""

import random

from .advertised import AdvertisedLimits
from .bucket import TokenBucket
from .shares import LimitedTarget, compute_shares

# Requests a second that a target is sent at least over all hosts.
MIN_RATE = 0.2
# Seconds between two looks at the demand that shares follow.
SHARES_INTERVAL = 1.0
# Tokens of a bucket at least, and the seconds of a share that it holds.
MIN_CAPACITY = 1.0
CAPACITY_SECONDS = 0.5
# The most seconds that the most urgent request waits for a token, and the most of the
# time that its objective leaves beside its work. The least urgent one does not wait.
MAX_WAIT = 1.0
MAX_WAIT_FRACTION = 0.5
# The longest time after which a refused caller is told to return, in seconds.
MAX_RETRY_AFTER = 10.0


class _ServiceLimits:
    """The limited targets of a service, and this host's buckets."""

    __slots__ = ("buckets", "key", "total_rate")

    def __init__(self):
        self.key = None
        self.buckets = {}
        # Requests a second that all limited targets near by take.
        self.total_rate = 0.0


class TargetLimits:
    """
    The limits of targets on one host.

    Args:
      roster: The `Roster` of the host's data centre.
      rng: A `random.Random`, which spreads the callers that are refused.
    """

    def __init__(self, roster, rng=random):
        self.advertised = AdvertisedLimits()
        self.membership = roster
        self._rng = rng
        self._services = {}

    def admissible(self, targets, centre, longest, revision, now):
        """
        Return the targets to which a request may be sent in time.

        Args:
          targets: The usable `Target`s of one service.
          centre: The host's data centre.
          longest: The most seconds that the request may wait for a token.
          revision: Grows with each change of what is listed.
          now: The present, in seconds.
        """
        if not self.advertised or not targets:
            return targets
        named = self.advertised
        if not any(named.rate(target.incarnation) is not None for target in targets):
            return targets
        buckets = self._refresh_service(targets, centre, revision, now).buckets
        return [
            target
            for target in targets
            if named.rate(target.incarnation) is None
            or (
                target.incarnation in buckets
                and buckets[target.incarnation].wait(now) <= longest
            )
        ]

    def wait(self, target, now):
        """Return the seconds until a request may be sent to an admitted target."""
        if self.advertised.rate(target.incarnation) is None:
            return 0.0
        bucket = self._bucket(target)
        return bucket.wait(now) if bucket is not None else 0.0

    def acquire(self, target, now):
        """Count a request that is sent to a target, or will be after its wait."""
        bucket = self._bucket(target)
        if bucket is not None:
            bucket.acquire(now)

    def release(self, target, now):
        """Take back a request that was not sent after all."""
        bucket = self._bucket(target)
        if bucket is not None:
            bucket.release(now)

    def retry_after(self, targets, centre, revision, now):
        """
        Return the seconds after which a refused caller may find room.

        Callers that are refused together are told different times: the further demand
        exceeds the limits, the wider apart.

        Args: as for `admits`.
        """
        service = self._refresh_service(targets, centre, revision, now)
        waits = [bucket.wait(now) for bucket in service.buckets.values()]
        rate = max(service.total_rate, MIN_RATE)
        demands = self.membership.demands(targets[0].service, now)
        excess = sum(host.demand for host in demands) / rate
        wait = min(waits, default=1.0 / rate) + excess * self._rng.random()
        return min(MAX_RETRY_AFTER, wait)

    def _bucket(self, target):
        service = self._services.get(target.service)
        return service.buckets.get(target.incarnation) if service is not None else None

    def _refresh_service(self, targets, centre, revision, now):
        """Return the `_Service` of targets, its shares brought up to date."""
        name = targets[0].service
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _ServiceLimits()
        may_send = self.membership.may_send(now)
        key = (self.advertised.revision, revision, int(now / SHARES_INTERVAL), may_send)
        if service.key != key:
            service.key = key
            limited = [
                LimitedTarget(
                    t.incarnation, max(MIN_RATE, self.advertised.rate(t.incarnation))
                )
                for t in targets
                if t.centre == centre
                and self.advertised.rate(t.incarnation) is not None
            ]
            service.total_rate = sum(target.rate for target in limited)
            shares = {}
            if limited and may_send:
                demands = self.membership.demands(name, now)
                shares = compute_shares(limited, demands, self.membership.own)
            service.buckets = _update_buckets(service.buckets, shares, now)
        return service


def max_token_wait(demand, urgency):
    """
    Return the most seconds that a request may wait for a token.

    Args:
      demand: The request's `RequestProfile`.
      urgency: How urgent it is for its service, from 0.0 to 1.0.
    """
    spare = max(0.0, demand.objective_left - demand.typical_duration)
    return urgency * min(MAX_WAIT, MAX_WAIT_FRACTION * spare)


def _update_buckets(buckets, shares, now):
    """Return the buckets of new shares; those that go on keep their tokens."""
    poured = {}
    for life, rate in shares.items():
        capacity = max(MIN_CAPACITY, CAPACITY_SECONDS * rate)
        bucket = buckets.get(life)
        if bucket is None:
            bucket = TokenBucket(rate, capacity, now)
        else:
            bucket.set_rate(rate, capacity, now)
        poured[life] = bucket
    return poured

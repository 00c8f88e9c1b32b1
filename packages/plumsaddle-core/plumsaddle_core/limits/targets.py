"""
The rate limits of targets on one host.

While a target advertises a limit, only hosts of its own data centre send to it. Hosts
of other data centres have targets of their own, and gossip between data centres is too
slow to share a rate of a few requests per second. Each host enforces its share by a
token bucket, and if no other target is usable, a request may wait for the next token.
Even at a limit of zero a target is sent a request now and then, since only a response
shows that the limit has ended.
"""

import random

from .advertised import AdvertisedLimits
from .bucket import TokenBucket
from .shares import LimitedTarget, compute_shares

# The minimum rate over all hosts at which a target is sent requests.
MIN_RATE = 0.2
# Seconds between two updates of the shares from the demand.
SHARES_INTERVAL = 1.0
# The minimum capacity of a bucket in tokens, and its capacity in seconds of the share.
MIN_CAPACITY = 1.0
CAPACITY_SECONDS = 0.5
# The maximum wait of the most urgent request for a token: in seconds, and as a fraction
# of the time that its latency objective leaves. The least urgent one does not wait.
MAX_WAIT = 1.0
MAX_WAIT_FRACTION = 0.5
# The maximum retry delay for a refused caller, in seconds.
MAX_RETRY_AFTER = 10.0


class _ServiceLimits:
    """The limited targets of a service, and this host's buckets."""

    __slots__ = ("buckets", "shares_key", "total_rate")

    def __init__(self):
        self.shares_key = None
        self.buckets = {}
        # The rate of all limited targets of the data centre, in requests per second.
        self.total_rate = 0.0


class TargetLimits:
    """
    The limits of targets on one host.

    Args:
      membership: The `Membership` of the host's data centre.
      rng: A `random.Random`, which spreads the retries of refused callers.
    """

    def __init__(self, membership, rng=random):
        self.advertised = AdvertisedLimits()
        self.membership = membership
        self._rng = rng
        self._services = {}

    def admissible(self, targets, data_centre, max_wait, revision, now):
        """
        Return the targets to which a request may be sent within `max_wait`.

        Args:
          targets: The usable `Target`s of one service.
          data_centre: The host's data centre.
          max_wait: The maximum seconds that the request may wait for a token.
          revision: The revision of the list of targets.
          now: The current time in seconds.
        """
        if not self.advertised or not targets:
            return targets
        advertised = self.advertised
        if not any(
            advertised.rate(target.incarnation) is not None for target in targets
        ):
            return targets
        buckets = self._refresh_service(targets, data_centre, revision, now).buckets
        return [
            target
            for target in targets
            if advertised.rate(target.incarnation) is None
            or (
                target.incarnation in buckets
                and buckets[target.incarnation].wait(now) <= max_wait
            )
        ]

    def wait(self, target, now):
        """Return the seconds until a request may be sent to an admissible target."""
        if self.advertised.rate(target.incarnation) is None:
            return 0.0
        bucket = self._bucket(target)
        return bucket.wait(now) if bucket is not None else 0.0

    def acquire(self, target, now):
        """Take a token for a request that is sent now or after its wait."""
        bucket = self._bucket(target)
        if bucket is not None:
            bucket.acquire(now)

    def release(self, target, now):
        """Return the token of a request that was not sent."""
        bucket = self._bucket(target)
        if bucket is not None:
            bucket.release(now)

    def retry_after(self, targets, data_centre, revision, now):
        """
        Return the seconds after which a refused caller should retry.

        The retries of callers that are refused together are spread over time, in
        proportion to the ratio of the demand to the limits.

        Args: as for `admissible`.
        """
        service = self._refresh_service(targets, data_centre, revision, now)
        waits = [bucket.wait(now) for bucket in service.buckets.values()]
        rate = max(service.total_rate, MIN_RATE)
        demands = self.membership.demands(targets[0].service, now)
        excess = sum(host.demand for host in demands) / rate
        wait = min(waits, default=1.0 / rate) + excess * self._rng.random()
        return min(MAX_RETRY_AFTER, wait)

    def _bucket(self, target):
        service = self._services.get(target.service)
        return service.buckets.get(target.incarnation) if service is not None else None

    def _refresh_service(self, targets, data_centre, revision, now):
        """Return the `_ServiceLimits` of targets, with updated shares."""
        name = targets[0].service
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _ServiceLimits()
        may_send = self.membership.may_send(now)
        key = (self.advertised.revision, revision, int(now / SHARES_INTERVAL), may_send)
        if service.shares_key != key:
            service.shares_key = key
            limited = [
                LimitedTarget(
                    t.incarnation, max(MIN_RATE, self.advertised.rate(t.incarnation))
                )
                for t in targets
                if t.data_centre == data_centre
                and self.advertised.rate(t.incarnation) is not None
            ]
            service.total_rate = sum(target.rate for target in limited)
            shares = {}
            if limited and may_send:
                demands = self.membership.demands(name, now)
                shares = compute_shares(limited, demands, self.membership.own_host)
            service.buckets = _update_buckets(service.buckets, shares, now)
        return service


def max_token_wait(profile, urgency):
    """
    Return the maximum seconds that a request may wait for a token.

    Args:
      profile: The request's `RequestProfile`.
      urgency: How urgent it is for its service, from 0.0 to 1.0.
    """
    spare_time = max(0.0, profile.objective_left - profile.typical_duration)
    return urgency * min(MAX_WAIT, MAX_WAIT_FRACTION * spare_time)


def _update_buckets(buckets, shares, now):
    """Return the buckets for new shares; existing ones keep their tokens."""
    updated = {}
    for incarnation, rate in shares.items():
        capacity = max(MIN_CAPACITY, CAPACITY_SECONDS * rate)
        bucket = buckets.get(incarnation)
        if bucket is None:
            bucket = TokenBucket(rate, capacity, now)
        else:
            bucket.set_rate(rate, capacity, now)
        updated[incarnation] = bucket
    return updated

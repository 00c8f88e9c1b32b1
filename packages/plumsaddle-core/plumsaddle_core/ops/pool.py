"""
The targets of one service as one host sees them, and which of them to use next.

With forty hosts in front of forty slots a host knows little of how busy a target
is, and reports a second old mislead. What helps is the slot that this host freed
last, and next to it any target that has not just shed. While nothing sheds, the
choice is blind, so that work and evidence spread over all. Targets that only this host
can't reach are used last; ejected and leaving ones not at all.
"""

import math

from ..core.data import HealthState, RequestKind

SHED_PAUSE = 0.015
SHED_PAUSE_GROWTH = 2.0
SHED_PAUSE_MOST = 0.24
CONTENTION_WINDOW = 1.0
TRIALS_NEEDED = 3
TRIAL_PAUSE = 1.0
SLOW_START_FOR = 10.0


class Member:
    """One target in a pool: what it is, how busy, and what it may be given."""

    def __init__(self, target, limit):
        self.target = target
        self.limit = limit
        self.in_flight = 0
        self.shed_at = -math.inf
        self.sheds = 0
        self.freed_at = -math.inf
        self.health = HealthState.HEALTHY
        self.is_avoided = False
        self.since = -math.inf
        self.ejected_until = -math.inf
        self.ejections = 0
        self.trials = 0
        self.reason = ""

    def set_health(self, standing, now, reason):
        """Change the standing and keep when and why, for `explain`."""
        self.health = standing
        self.since = now
        self.reason = reason

    def pause(self):
        """Return the seconds to leave the target alone after its last shed."""
        return min(SHED_PAUSE_MOST, SHED_PAUSE * SHED_PAUSE_GROWTH ** (self.sheds - 1))

    def allowance(self, now):
        """Return how many requests this host may have at the target by now."""
        if self.health is HealthState.SLOW_START:
            share = min(1.0, (now - self.since) / SLOW_START_FOR)
            return max(1, math.floor(self.limit * share))
        return self.limit


class Pool:
    """
    The targets of one service.

    Args:
      service: The `Service` in force.
      hosts_max: The most hosts there may be at a time, replacements included.
    """

    def __init__(self, service, hosts_max):
        self.members = {}
        self.service = service
        self.has_common_failure = False
        self.shed_at = -math.inf
        self.update(service, hosts_max, -math.inf)

    def update(self, service, hosts_max, now):
        """
        Take a newer configuration of the service.

        A target keeps its standing while its id and its address stay the same. One
        that comes new beside others may be cold and starts slowly.

        Args:
          service: The `Service`.
          hosts_max: The most hosts there may be at a time.
          now: The present, in seconds.
        """
        is_first = not self.members
        self.service = service
        limit = host_limit(service, hosts_max)
        fresh = {}
        for target in service.targets:
            member = self.members.get(target.key)
            if member is None:
                member = Member(target, limit)
                if not is_first:
                    member.set_health(HealthState.SLOW_START, now, "it is new")
            member.target = target
            member.limit = limit
            fresh[target.key] = member
        self.members = fresh

    def choose(self, kind, now, rng, tried=()):
        """
        Choose a target for a try.

        Args:
          kind: The request's `RequestKind`.
          now: The present, in seconds.
          rng: A `random.Random`.
          tried: Keys of targets not to be tried again.
        Returns:
          A `Member`, or None if no target can take the request now.
        """
        usable = [
            member
            for member in self.members.values()
            if member.target.key not in tried and _may_take(member, kind, now)
        ]
        if kind is RequestKind.ORDER and self._has_good():
            usable = [m for m in usable if m.health is HealthState.HEALTHY]
        usable = _prefer(usable, lambda member: not member.is_avoided)
        if kind is RequestKind.IDEMPOTENT:
            trials = [m for m in usable if m.health is HealthState.TRIAL]
            if trials:
                return rng.choice(trials)
        if not usable:
            return None
        if self.is_contended(now):
            freed = max(usable, key=lambda member: member.freed_at)
            if now - freed.freed_at < SHED_PAUSE:
                return freed
        return rng.choice(usable)

    def _has_good(self):
        """Return whether any target is in good standing, busy or not."""
        return any(m.health is HealthState.HEALTHY for m in self.members.values())

    def is_contended(self, now):
        """Return whether a target has shed a request of this host's lately."""
        return now - self.shed_at < CONTENTION_WINDOW

    def healthy_keys(self):
        """Return the keys of the targets in good standing."""
        return [
            key for key, m in self.members.items() if m.health is HealthState.HEALTHY
        ]

    def has_trial(self, now):
        """Return whether a target waits to be tried out."""
        kind = RequestKind.IDEMPOTENT
        return any(
            member.health is HealthState.TRIAL and _may_take(member, kind, now)
            for member in self.members.values()
        )

    def is_worth_waiting(self, tried=()):
        """Return whether a target may become free that could take a request."""
        return any(
            member.health not in (HealthState.EJECTED, HealthState.DRAINING)
            for key, member in self.members.items()
            if key not in tried
        )

    def acquire(self, member):
        """Count a try that starts."""
        member.in_flight += 1

    def release(self, member, now, is_shed=False):
        """Count a try that ended, and whether the target shed it."""
        member.in_flight -= 1
        assert member.in_flight >= 0, "a slot was freed twice"
        if is_shed:
            member.shed_at = self.shed_at = now
            member.sheds += 1
            member.freed_at = -math.inf
        else:
            member.freed_at = now
            member.sheds = 0


def host_limit(service, hosts_max):
    """
    Return how many requests one host may have at one target.

    Every request has a connection of its own, so that the hosts together stay
    below the target's bound on connections whatever they know of each other.
    """
    return max(1, min(service.slots, service.connections // hosts_max))


def _may_take(member, kind, now):
    """Return whether a target may be given a request of this kind now."""
    if member.health in (HealthState.EJECTED, HealthState.DRAINING):
        return False
    if member.health is HealthState.TRIAL:
        # A stalled target sheds its trials; tried at once again by every request,
        # it would get more tries than all others together.
        is_rested = now - member.shed_at >= TRIAL_PAUSE
        is_idle = member.in_flight == 0
        return kind is RequestKind.IDEMPOTENT and is_idle and is_rested
    if now - member.shed_at < member.pause():
        return False
    return member.in_flight < member.allowance(now)


def _prefer(members, wish):
    """Return those members that fulfil a wish, or all if none does."""
    return [member for member in members if wish(member)] or members

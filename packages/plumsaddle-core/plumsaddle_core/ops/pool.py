"""
The targets of one service as seen by one host, and the choice of one for a request.

A host doesn't know how much of a target's capacity the other hosts use. While no
target sheds requests, one is chosen at random, so that load and health signals spread
over all. Under contention the host prefers the target that last finished one of its
requests. Targets with a broken path from this host are used last, ejected and draining
ones not at all.
"""

import math

from ..core.data import HealthState, RequestKind

SHED_PAUSE = 0.015
SHED_PAUSE_GROWTH = 2.0
MAX_SHED_PAUSE = 0.24
CONTENTION_WINDOW = 1.0
# The longest backoff in seconds that a target may ask for.
MAX_BACKOFF = 600.0
TRIALS_NEEDED = 3
TRIAL_PAUSE = 1.0
SLOW_START_DURATION = 10.0
UNUSABLE_STATES = {HealthState.EJECTED, HealthState.DRAINING}


class PoolMember:
    """A target in a pool, with its health state and its load from this host."""

    def __init__(self, target, limit):
        self.target = target
        self.limit = limit
        self.in_flight = 0
        self.shed_at = -math.inf
        self.consecutive_sheds = 0
        self.backoff_until = -math.inf
        self.released_at = -math.inf
        self.health = HealthState.HEALTHY
        self.is_avoided = False
        self.since = -math.inf
        self.ejected_until = -math.inf
        self.ejections = 0
        self.passed_trials = 0
        self.reason = ""

    def set_health(self, health, now, reason):
        """Set the health state, with its time and the reason that `explain` shows."""
        self.health = health
        self.since = now
        self.reason = reason

    def shed_pause(self):
        """Return the seconds to wait after the target has shed a request."""
        return min(
            MAX_SHED_PAUSE,
            SHED_PAUSE * SHED_PAUSE_GROWTH ** (self.consecutive_sheds - 1),
        )

    def max_in_flight(self, now):
        """Return how many requests this host may have in flight at the target."""
        if self.health is HealthState.SLOW_START:
            share = min(1.0, (now - self.since) / SLOW_START_DURATION)
            return max(1, math.floor(self.limit * share))
        return self.limit


class Pool:
    """
    The targets of one service.

    Args:
      service: The `Service` in force.
      hosts_max: The maximum number of hosts at a time, replacements included.
    """

    def __init__(self, service, hosts_max):
        self.members = {}
        self.service = service
        self.has_common_failure = False
        self.shed_at = -math.inf
        self.update(service, hosts_max, -math.inf)

    def update(self, service, hosts_max, now):
        """
        Apply a newer configuration of the service.

        A target keeps its state while its id and its address stay the same. One that
        is added to a pool in use gets a slow start, as it may be cold.

        Args:
          service: The `Service`.
          hosts_max: The maximum number of hosts at a time.
          now: The present, in seconds.
        """
        is_initial = not self.members
        self.service = service
        limit = host_limit(service, hosts_max)
        updated = {}
        for target in service.targets:
            member = self.members.get(target.key)
            if member is None:
                member = PoolMember(target, limit)
                if not is_initial:
                    member.set_health(
                        HealthState.SLOW_START, now, "the target was added"
                    )
            member.target = target
            member.limit = limit
            updated[target.key] = member
        self.members = updated

    def choose(self, kind, now, rng, tried=()):
        """
        Choose a target for an attempt.

        Args:
          kind: The request's `RequestKind`.
          now: The present, in seconds.
          rng: A `random.Random`.
          tried: Keys of targets that have been tried already.
        Returns:
          A `PoolMember`, or None if no target can take the request now.
        """
        usable = [
            member
            for member in self.members.values()
            if member.target.key not in tried and _is_usable(member, kind, now)
        ]
        if kind is RequestKind.ORDER and self._has_healthy():
            usable = [m for m in usable if m.health is HealthState.HEALTHY]
        usable = _prefer(usable, lambda member: not member.is_avoided)
        if kind.is_idempotent:
            trials = [m for m in usable if m.health is HealthState.TRIAL]
            if trials:
                return rng.choice(trials)
        if not usable:
            return None
        if self.is_contended(now):
            latest = max(usable, key=lambda member: member.released_at)
            if now - latest.released_at < SHED_PAUSE:
                return latest
        return rng.choice(usable)

    def _has_healthy(self):
        """Return whether any target is HEALTHY, even if it is busy."""
        return any(m.health is HealthState.HEALTHY for m in self.members.values())

    def is_contended(self, now):
        """Return whether a target has recently shed a request of this host."""
        return now - self.shed_at < CONTENTION_WINDOW

    def healthy_keys(self):
        """Return the keys of the HEALTHY targets."""
        return [
            key for key, m in self.members.items() if m.health is HealthState.HEALTHY
        ]

    def has_trial(self, now):
        """Return whether a target is waiting for a trial request."""
        kind = RequestKind.IDEMPOTENT
        return any(
            member.health is HealthState.TRIAL and _is_usable(member, kind, now)
            for member in self.members.values()
        )

    def note_backoff(self, member, seconds, now):
        """Send nothing to a target for the seconds that it asked for with a shed."""
        until = now + min(MAX_BACKOFF, seconds)
        member.backoff_until = max(member.backoff_until, until)

    def backoff(self, now, tried=()):
        """
        Return the seconds until the first target ends its backoff.

        This is 0.0 if a target that may be used has asked for none.
        """
        remaining = [
            member.backoff_until - now
            for key, member in self.members.items()
            if key not in tried and member.health not in UNUSABLE_STATES
        ]
        return max(0.0, min(remaining, default=0.0))

    def is_worth_waiting(self, tried=()):
        """Return whether a usable target may become free for a request."""
        return any(
            member.health not in UNUSABLE_STATES
            for key, member in self.members.items()
            if key not in tried
        )

    def acquire(self, member):
        """Take a slot of a target for an attempt."""
        member.in_flight += 1

    def release(self, member, now, is_shed=False):
        """Release the slot of an attempt, and note whether the target shed it."""
        member.in_flight -= 1
        assert member.in_flight >= 0, "slot released twice"
        if is_shed:
            member.shed_at = self.shed_at = now
            member.consecutive_sheds += 1
            member.released_at = -math.inf
        else:
            member.released_at = now
            member.consecutive_sheds = 0


def host_limit(service, hosts_max):
    """
    Return how many requests one host may have in flight at one target.

    Each request uses its own connection. With this limit all hosts together stay
    within the target's connection limit without any coordination.
    """
    return max(1, min(service.slots, service.connections // hosts_max))


def may_send(member, now):
    """
    Return whether a target still takes requests, apart from free slots.

    It may have been ejected, announced that it drains or asked for a backoff after it
    was chosen for a request.
    """
    return member.health not in UNUSABLE_STATES and now >= member.backoff_until


def _is_usable(member, kind, now):
    """Return whether a request of this kind may be sent to a target now."""
    if not may_send(member, now):
        return False
    if member.health is HealthState.TRIAL:
        # A stalled target sheds its trials; without a pause each request would try it.
        is_pause_over = now - member.shed_at >= TRIAL_PAUSE
        is_idle = member.in_flight == 0
        return kind.is_idempotent and is_idle and is_pause_over
    if now - member.shed_at < member.shed_pause():
        return False
    return member.in_flight < member.max_in_flight(now)


def _prefer(members, predicate):
    """Return the members that satisfy a predicate, or all if none does."""
    return [member for member in members if predicate(member)] or members

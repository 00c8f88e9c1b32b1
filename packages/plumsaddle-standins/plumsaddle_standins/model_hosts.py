"""
The hosts of the event model: ours and the naive version.

Our host's decisions are the real ones of the core. The naive version puts a target out
for a while after five failures in a row that it has seen by itself; it has no floor and
shares nothing.
"""

import random

from plumsaddle_core.core.data import (
    FailureKind,
    HealthSignal,
    HealthState,
    RequestKind,
)
from plumsaddle_core.ops.ejection import (
    note_trial_result,
    suspects_itself,
    update_health,
)
from plumsaddle_core.ops.evidence import Evidence
from plumsaddle_core.ops.health_signals import signal_of_age, signal_of_result
from plumsaddle_core.ops.host_retry_budget import HostRetryBudget
from plumsaddle_core.ops.latency import Latency
from plumsaddle_core.ops.pool import CONTENTION_WINDOW, Pool

KIND = RequestKind.IDEMPOTENT
TRIES_MOST = 3
ROWS_MOST = 200
CENTRES = 3
OVERDUE_LEAST = 0.25


def centre_of(incarnation):
    """Return the data centre of a model's host: one of three by its number."""
    return int(incarnation.partition("@")[0].rpartition("-")[2]) % CENTRES


class OurHost:
    """A host that decides as the daemon does."""

    def __init__(self, number, service, hosts, seed):
        self.number = number
        self.rng = random.Random(seed * 1000 + number)
        self.pool = Pool(service, hosts)
        self.evidence = Evidence(f"host-{number}@1", service.weighing, centre_of)
        self.latency = Latency()
        self.budget = HostRetryBudget(service.retry_ratio)
        self.tries = set()
        self.is_urgent = False
        self.ejections = []

    def choose(self, now, tried):
        """Take a slot at a target and return the target's key, or None."""
        member = self.pool.choose(KIND, now, self.rng, tried)
        if member is None:
            return None
        self.pool.acquire(member)
        return member.target.key

    def start(self, begun, now):
        """Note a try, and return when it is to be given up, or None."""
        begun.is_trial = self.pool.members[begun.target].health is HealthState.TRIAL
        self.tries.add(begun)
        overdue_after = self.latency.overdue_after()
        is_last = len(begun.request.tried) + 1 >= TRIES_MOST
        if is_last or overdue_after is None or not self.budget.has_retry():
            return None
        if self.pool.has_common_failure:
            return None
        return now + max(overdue_after, OVERDUE_LEAST)

    def end(self, ended, trouble, now):
        """Take the end of a try and return whether another may follow."""
        self.tries.discard(ended)
        self.pool.release(
            self.pool.members[ended.target], now, trouble is FailureKind.SHED
        )
        seconds = now - ended.started
        if trouble is None:
            self.latency.note_latency(seconds)
        sign = signal_of_result(KIND, trouble, seconds, self.latency)
        if sign is not None and sign is not ended.sign:
            self._note(ended, sign, now)
        if trouble in (None, FailureKind.SHED):
            return True
        is_cheap = trouble is FailureKind.CONNECT
        return not self.pool.has_common_failure and (is_cheap or self.budget.spend())

    def _note(self, noted, sign, now):
        if noted.sign is HealthSignal.FAILED:
            return
        noted.sign = sign
        self.evidence.note_signal(noted.target, sign, now)
        if sign is not HealthSignal.GOOD and self.evidence.is_suspect(
            noted.target, now
        ):
            self.is_urgent = True
        member = self.pool.members[noted.target]
        self._keep(
            note_trial_result(member, sign is HealthSignal.GOOD, now, self.rng), now
        )

    def watch(self, now):
        """Let overdue tries give their signs."""
        for running in self.tries:
            sign = signal_of_age(KIND, now - running.started, self.latency)
            if sign is not None and sign is not running.sign:
                self._note(running, sign, now)

    def review(self, now):
        """Bring the standings up to date."""
        is_bad = suspects_itself([(self.pool, self.evidence)], now)
        changes = update_health(self.pool, self.evidence, now, self.rng, False, is_bad)
        self._keep(changes, now)

    def _keep(self, changes, now):
        for change in changes:
            if (
                change.new is HealthState.EJECTED
                and change.old is not HealthState.TRIAL
            ):
                self.ejections.append((now, change.target))

    def rows(self, now):
        """Return what to tell another host."""
        return self.evidence.rows_to_send(now, ROWS_MOST)

    def merge(self, rows, now):
        """Take what another host tells."""
        self.is_urgent = self.evidence.merge(rows, now) or self.is_urgent

    def keys_in(self, now):
        """Return the targets that get ordinary work."""
        out = (HealthState.EJECTED, HealthState.TRIAL, HealthState.DRAINING)
        return {k for k, m in self.pool.members.items() if m.health not in out}

    def is_contended(self, now):
        """Return whether this host has seen a shed lately."""
        return now - self.pool.shed_at < CONTENTION_WINDOW

    def take(self, key):
        """Take a slot that the keeper has granted."""
        self.pool.acquire(self.pool.members[key])

    def note_request(self):
        """Count a request."""
        self.budget.note_request()


class NaiveHost:
    """A host that ejects by itself after five failures in a row."""

    IN_A_ROW = 5
    OUT_FOR = 30.0

    def __init__(self, number, service, hosts, seed):
        self.number = number
        self.rng = random.Random(seed * 1000 + number)
        self.keys = [target.key for target in service.targets]
        self.row = dict.fromkeys(self.keys, 0)
        self.out_until = dict.fromkeys(self.keys, 0.0)
        self.ejections = []
        self.is_urgent = False

    def choose(self, now, tried):
        """Return any target that is not out, or None."""
        usable = [key for key in sorted(self.keys_in(now)) if key not in tried]
        return self.rng.choice(usable) if usable else None

    def start(self, begun, now):
        """Never give a try up before its deadline."""

    def end(self, ended, trouble, now):
        """Count failures in a row."""
        if trouble is FailureKind.SHED:
            return True
        if trouble is None:
            self.row[ended.target] = 0
            return True
        self.row[ended.target] += 1
        if self.row[ended.target] >= self.IN_A_ROW:
            self.row[ended.target] = 0
            self.out_until[ended.target] = now + self.OUT_FOR
            self.ejections.append((now, ended.target))
        return True

    def watch(self, now):
        """Do nothing; the naive version has no eye for what is under way."""

    review = watch

    def rows(self, now):
        """Tell nothing."""
        return []

    def merge(self, rows, now):
        """Take nothing."""

    def keys_in(self, now):
        """Return the targets that are not out."""
        return {key for key in self.keys if self.out_until[key] <= now}

    def note_request(self):
        """Count nothing."""

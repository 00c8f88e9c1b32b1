"""
The live state of each service on one host, and what tries do to it.

A `ServiceState` holds the pool, the evidence, the retry budget and the latencies of
one service. Tries register here while they run, so that one that is overdue gives
its sign before it ends: a stalled target would otherwise be noticed only when its
callers' time is up.
"""

from plumsaddle_core.core.data import FailureKind, HealthSignal, RequestKind
from plumsaddle_core.ops.ejection import note_trial_result
from plumsaddle_core.ops.evidence import Evidence
from plumsaddle_core.ops.health_signals import (
    CALLER_PACED_KINDS,
    signal_of_age,
    signal_of_result,
)
from plumsaddle_core.ops.host_retry_budget import HostRetryBudget
from plumsaddle_core.ops.latency import Latency
from plumsaddle_core.ops.pool import Pool

from .waiting import WaitingRoom

OVERDUE_LEAST = 0.25


class Try:
    """A try that is under way, and the sign that it has given so far."""

    def __init__(self, member, kind, started):
        self.member = member
        self.kind = kind
        self.started = started
        self.sign = None


class ServiceState:
    """
    What one host keeps about one service.

    Args:
      service: The `Service` in force.
      hosts_max: The most hosts there may be.
      own: This host's incarnation.
      centre_of: Tells the data centre of an incarnation of a host.
      ask_keeper: As in `WaitingRoom`.
      rng: A `random.Random`.
    """

    def __init__(self, service, hosts_max, own, centre_of, ask_keeper, rng):
        self.service = service
        self.pool = Pool(service, hosts_max)
        self.room = WaitingRoom(self.pool, ask_keeper, rng)
        self.evidence = Evidence(own, service.weighing, centre_of)
        self.budget = HostRetryBudget(service.retry_ratio)
        self.latencies = {kind: Latency() for kind in RequestKind}
        self.tries = set()
        self._has_bad_news = False
        self._rng = rng

    def update(self, service, hosts_max, now):
        """Take a newer configuration of the service by now."""
        self.service = service
        self.pool.update(service, hosts_max, now)
        self.evidence.retain_targets(self.pool.members)
        self.budget.ratio = service.retry_ratio
        self.room.wake()

    def start_try(self, member, kind, now):
        """Return a `Try` that starts now; the member's slot is taken already."""
        started = Try(member, kind, now)
        self.tries.add(started)
        return started

    def end_try(self, ended, trouble, now):
        """
        Take the end of a try: free its slot and weigh its sign.

        Args:
          ended: The `Try`.
          trouble: A `FailureKind`, or None after a whole answer.
          now: The present, in seconds.
        """
        self.tries.discard(ended)
        self.room.release(ended.member, trouble is FailureKind.SHED)
        seconds = now - ended.started
        latency = self.latencies[ended.kind]
        if trouble is None and ended.kind not in CALLER_PACED_KINDS:
            latency.note_latency(seconds)
        sign = signal_of_result(ended.kind, trouble, seconds, latency)
        if sign is not None and sign is not ended.sign:
            self._note(ended, sign, now)

    def overdue_at(self, kind, now, deadline):
        """
        Return when a try should be given up for another one, or None.

        A target that hangs would keep its caller until the deadline. Giving up
        costs a second try, so it is done only while the budget has one.
        """
        overdue_after = self.latencies[kind].overdue_after()
        if overdue_after is None or not self.budget.has_retry():
            return None
        at = now + max(overdue_after, OVERDUE_LEAST)
        return at if at < deadline and not self.pool.has_common_failure else None

    def take_bad_news(self):
        """Return whether something bad was seen since the last call."""
        had, self._has_bad_news = self._has_bad_news, False
        return had

    def watch_tries(self, now):
        """Let overdue tries give their signs before they end."""
        for running in self.tries:
            latency = self.latencies[running.kind]
            sign = signal_of_age(running.kind, now - running.started, latency)
            if sign is not None and sign is not running.sign:
                self._note(running, sign, now)

    def _note(self, noted, sign, now):
        """Weigh a sign; of one try, only what is worse than before counts."""
        if noted.sign is HealthSignal.FAILED:
            return
        noted.sign = sign
        key = noted.member.target.key
        if key in self.pool.members:
            self.evidence.note_signal(key, sign, now)
            if sign is not HealthSignal.GOOD and self.evidence.is_suspect(key, now):
                self._has_bad_news = True
            note_trial_result(noted.member, sign is HealthSignal.GOOD, now, self._rng)

"""
The live state of each service on one host, and what tries do to it.

A `ServiceState` holds the pool, the evidence, the retry budget and the latencies of
one service. Tries register here while they run, so that one that is overdue gives
its sign before it ends: a stalled target would otherwise be noticed only when its
callers' time is up.
"""

from plumsaddle_core.core.data import RequestKind, Sign
from plumsaddle_core.ops.budget import Budget
from plumsaddle_core.ops.ejection import note_trial
from plumsaddle_core.ops.evidence import Evidence
from plumsaddle_core.ops.latency import Latency
from plumsaddle_core.ops.pool import Pool

from .sender import TroubleKind
from .waiting import WaitingRoom

BLAMED = {
    TroubleKind.CONNECT,
    TroubleKind.BROKEN,
    TroubleKind.OVERDUE,
    TroubleKind.STALLED,
    TroubleKind.UNFRAMED,
}
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
      rng: A `random.Random`.
    """

    def __init__(self, service, hosts_max, own, rng):
        self.service = service
        self.pool = Pool(service, hosts_max)
        self.room = WaitingRoom(self.pool, rng)
        self.evidence = Evidence(own, service.weighing)
        self.budget = Budget(service.retry_ratio)
        self.latencies = {kind: Latency() for kind in RequestKind}
        self.tries = set()
        self._rng = rng

    def update(self, service, hosts_max):
        """Take a newer configuration of the service."""
        self.service = service
        self.pool.update(service, hosts_max)
        self.evidence.forget(self.pool.members)
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
          trouble: A `TroubleKind`, or None after a whole answer.
          now: The present, in seconds.
        """
        self.tries.discard(ended)
        self.room.release(ended.member, trouble is TroubleKind.SHED)
        if trouble in (TroubleKind.SHED, TroubleKind.CALLER):
            return
        seconds = now - ended.started
        if trouble is None and ended.kind is not RequestKind.UPLOAD:
            self.latencies[ended.kind].note(seconds)
        sign = self._sign_of(ended.kind, trouble, seconds)
        if sign is not None and sign is not ended.sign:
            self._note(ended, sign, now)

    def end_failed_answer(self, ended, now):
        """Take the end of a try whose answer came whole but says it failed."""
        self.tries.discard(ended)
        self.room.release(ended.member)
        self._note(ended, Sign.FAILED, now)

    def _sign_of(self, kind, trouble, seconds):
        if trouble in BLAMED:
            return Sign.FAILED
        if trouble is TroubleKind.DEADLINE:
            return self._sign_of_age(kind, seconds)
        if self._is_slow(kind, seconds):
            return Sign.SLOW
        return Sign.GOOD

    def _is_slow(self, kind, seconds):
        slow_after = self.latencies[kind].slow_after()
        is_compared = kind is not RequestKind.UPLOAD
        return is_compared and slow_after is not None and seconds > slow_after

    def _sign_of_age(self, kind, seconds):
        """Return what an unfinished try of this age says, or None."""
        overdue_after = self.latencies[kind].overdue_after()
        if kind is RequestKind.UPLOAD or overdue_after is None:
            return None
        if seconds > overdue_after:
            return Sign.FAILED
        return Sign.SLOW if self._is_slow(kind, seconds) else None

    def overdue_at(self, kind, now, deadline):
        """
        Return when a try should be given up for another one, or None.

        A target that hangs would keep its caller until the deadline. Giving up
        costs a second try, so it is done only while the budget has one.
        """
        overdue_after = self.latencies[kind].overdue_after()
        if overdue_after is None or not self.budget.has_any():
            return None
        at = now + max(overdue_after, OVERDUE_LEAST)
        return at if at < deadline and not self.pool.is_shared_fate else None

    def watch_tries(self, now):
        """Let overdue tries give their signs before they end."""
        for running in self.tries:
            sign = self._sign_of_age(running.kind, now - running.started)
            if sign is not None and sign is not running.sign:
                self._note(running, sign, now)

    def _note(self, noted, sign, now):
        """Weigh a sign; of one try, only what is worse than before counts."""
        if noted.sign is Sign.FAILED:
            return
        noted.sign = sign
        key = noted.member.target.key
        if key in self.pool.members:
            self.evidence.note(key, sign, now)
            note_trial(noted.member, sign is Sign.GOOD, now, self._rng)

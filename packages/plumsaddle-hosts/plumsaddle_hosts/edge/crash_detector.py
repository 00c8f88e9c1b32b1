"""
Detects which targets have crashed while they ran which requests.

A send that breaks without a byte of a response may have met a reset, a full accept
queue or a crash. A new connection tells: it is refused if no process listens at the
address any more. If the target accepts it, the connection is kept for the next request.

Some crashes are found only later: a target that lost its machine refuses connections
once the machine is back, and a request may crash its target after this host has
abandoned it. So unanswered sends stay unresolved for some seconds, in which a crash of
the target that another host reports is attributed to them as well.
"""

import asyncio
import logging

from plumsaddle_core.ops.suspects import RunRecord

from .clock import now
from .target_connection import ConnectFailure

log = logging.getLogger("endings")
# Seconds after an unanswered send for which a crash of its target is attributed to it.
# A target restarts within seconds, and then its address accepts connections again.
UNRESOLVED_TTL = 5.0
# Unresolved sends that are kept; the oldest one is dropped first. A host has some tens
# of requests in flight.
MAX_UNRESOLVED = 512


class CrashDetector:
    """
    Attributes crashes of targets to the requests that they ran, on one host.

    Args:
      knowledge: The `HostState`.
      pool: The `ConnectionPool`.
      metrics: The `EdgeMetrics`.
      on_crash: Called when a target has crashed while it ran a request.
    """

    def __init__(self, knowledge, pool, metrics, on_crash):
        self._on_crash = on_crash
        self._knowledge = knowledge
        self._pool = pool
        self._metrics = metrics
        self._unresolved = {}
        self._restarted_at = {}
        self._held_keys = set()
        self._probes = {}

    def note_broken(self, target, key):
        """
        Note a send that broke without a byte of a response, and probe its target.

        Args:
          target: The `Target`.
          key: The request's key.
        """
        self.note_unanswered(target, key)
        if (
            target.incarnation,
            key,
        ) not in self._unresolved or target.incarnation in self._probes:
            return
        task = asyncio.get_running_loop().create_task(self._probe(target))
        self._probes[target.incarnation] = task
        task.add_done_callback(lambda _: self._probes.pop(target.incarnation, None))

    def note_unanswered(self, target, key):
        """Note a send that was abandoned without a response."""
        suspects = self._knowledge.shared.suspects
        if (
            suspects.has_crashed(target.incarnation)
            or target.incarnation in self._restarted_at
        ):
            self._record_crashes(target.incarnation, [key])
            return
        if not self._knowledge.is_usable(target):
            # A target that is draining or no longer listed is expected to stop.
            return
        if len(self._unresolved) >= MAX_UNRESOLVED:
            self._unresolved.pop(next(iter(self._unresolved)))
        self._unresolved[target.incarnation, key] = now()

    def note_refused(self, target):
        """Note a refused connection, which shows that the target has crashed."""
        keys = self._pop_unresolved(target.incarnation)
        if self._knowledge.is_usable(target):
            self._record_crashes(target.incarnation, keys)

    def note_restarted(self, incarnation):
        """Note the end of an incarnation whose target has started again."""
        self._restarted_at[incarnation] = now()
        self._record_crashes(incarnation, self._pop_unresolved(incarnation))

    @property
    def has_unresolved(self):
        """Whether any send is unresolved."""
        return bool(self._unresolved)

    async def wait_for_probes(self, key):
        """Wait until all targets that broke under a request have been probed."""
        probes = [
            self._probes[sent_to]
            for sent_to, other in self._unresolved
            if other == key and sent_to in self._probes
        ]
        if probes:
            await asyncio.wait(probes)

    def unresolved_count(self, key):
        """Return how many sends of a request are unresolved."""
        return sum(1 for _, other in self._unresolved if other == key)

    def tick(self, at):
        """Drop expired sends, and record the crashes that other hosts reported."""
        self._unresolved = {
            k: t for k, t in self._unresolved.items() if at - t < UNRESOLVED_TTL
        }
        restarted = self._restarted_at.items()
        self._restarted_at = {
            incarnation: t for incarnation, t in restarted if at - t < UNRESOLVED_TTL
        }
        suspects = self._knowledge.shared.suspects
        for incarnation in {
            incarnation
            for incarnation, _ in self._unresolved
            if suspects.has_crashed(incarnation)
        }:
            self._record_crashes(incarnation, self._pop_unresolved(incarnation))
        self._log_held(at)

    def _log_held(self, at):
        """Log which requests are now held back, and which no longer are."""
        suspects = self._knowledge.shared.suspects
        held = suspects.held_keys(at)
        for key in held - self._held_keys:
            hold_remaining = round(suspects.hold_remaining(key, at), 1)
            fields = {
                "key": key,
                "lives": suspects.crash_count(key),
                "held_for": hold_remaining,
            }
            log.info("holding back", extra=fields)
        for key in self._held_keys - held:
            log.info("letting through", extra={"key": key})
        self._held_keys = held

    async def _probe(self, target):
        """Probe whether a target still accepts connections."""
        connection = await self._pool.open(target)
        self._metrics.connections.inc({"service": target.service})
        if connection is ConnectFailure.REFUSED:
            self.note_refused(target)
        elif not isinstance(connection, ConnectFailure):
            self._pool.release_unused(target.incarnation, connection)
            self._pop_unresolved(target.incarnation)

    def _pop_unresolved(self, incarnation):
        """Remove the unresolved sends to an incarnation, and return their keys."""
        keys = [key for sent_to, key in self._unresolved if sent_to == incarnation]
        for key in keys:
            del self._unresolved[incarnation, key]
        return keys

    def _record_crashes(self, incarnation, keys):
        for key in keys:
            record = RunRecord(key, incarnation, True)
            self._knowledge.note_run(record)
            log.info(
                "ended",
                extra={
                    "target": incarnation,
                    "key": key,
                    "beside": len(keys) - 1,
                    "lives": self._knowledge.shared.suspects.crash_count(key),
                },
            )
        if keys:
            self._on_crash()

"""
Which targets have ended under which requests, as this host sees it.

A send that breaks without a byte of an answer may have met a reset, a full queue or a
target whose process has just ended. One look tells: a new connection is refused where
nobody listens any more. A target that answers it is alive, and the connection is kept
for the next request.

Some ends show only later. A target that was lost without a word refuses connections
when its machine is back, and a request that this host had given up may end its target
after that. So unanswered sends stay open questions for some seconds, and another
host's word that the target has ended settles them as well.
"""

import asyncio
import logging

from plumsaddle_core.ops.suspects import RunRecord

from .clock import now
from .link import ConnectFailure

log = logging.getLogger("endings")
# Seconds for which an unanswered send is blamed on the end of its target. A target is
# back after some seconds, and then the address answers again.
ASKED_FOR = 5.0
# Unanswered sends that are remembered; a host has some tens under way.
ASKED_MOST = 512


class CrashDetector:
    """
    The open questions of one host.

    Args:
      knowledge: The `HostState`.
      links: The `ConnectionPool`.
      metrics: The `EdgeMetrics`.
      on_ended: Called when a target has ended under a request.
    """

    def __init__(self, knowledge, links, metrics, on_ended):
        self._on_ended = on_ended
        self._knowledge = knowledge
        self._links = links
        self._metrics = metrics
        self._asked = {}
        self._restarted = {}
        self._held = set()
        self._looks = {}

    def note_broken(self, target, key):
        """
        Take a send that broke without a byte of an answer, and look at its target.

        Args:
          target: The `Target`.
          key: The request's key.
        """
        self.note_unanswered(target, key)
        if (
            target.incarnation,
            key,
        ) not in self._asked or target.incarnation in self._looks:
            return
        task = asyncio.get_running_loop().create_task(self._look(target))
        self._looks[target.incarnation] = task
        task.add_done_callback(lambda _: self._looks.pop(target.incarnation, None))

    def note_unanswered(self, target, key):
        """Take a send that was given up without an answer."""
        suspects = self._knowledge.shared.suspects
        if (
            suspects.has_crashed(target.incarnation)
            or target.incarnation in self._restarted
        ):
            self._blame(target.incarnation, [key])
            return
        if not self._knowledge.is_usable(target):
            # One that is leaving, or gone from the list, ends as it should.
            return
        if len(self._asked) >= ASKED_MOST:
            self._asked.pop(next(iter(self._asked)))
        self._asked[target.incarnation, key] = now()

    def note_refused(self, target):
        """Take a refused connection: the target has ended, whatever it last ran."""
        keys = self._drop(target.incarnation)
        if self._knowledge.is_usable(target):
            self._blame(target.incarnation, keys)

    def note_restarted(self, life):
        """Take a target's start under its id, which ended its former life."""
        self._restarted[life] = now()
        self._blame(life, self._drop(life))

    @property
    def has_unresolved(self):
        """Whether it is open of any target if it has ended."""
        return bool(self._asked)

    def unresolved_count(self, key):
        """Return how many targets may have ended under a request, not yet known."""
        return sum(1 for _, asked in self._asked if asked == key)

    def tick(self, at):
        """Settle what others have found out, and forget what is too old."""
        self._asked = {k: t for k, t in self._asked.items() if at - t < ASKED_FOR}
        over = self._restarted.items()
        self._restarted = {life: t for life, t in over if at - t < ASKED_FOR}
        suspects = self._knowledge.shared.suspects
        for life in {life for life, _ in self._asked if suspects.has_crashed(life)}:
            self._blame(life, self._drop(life))
        self._log_held(at)

    def _log_held(self, at):
        """Log which requests are held back from now on, and which not any more."""
        suspects = self._knowledge.shared.suspects
        held = suspects.held_keys(at)
        for key in held - self._held:
            held_for = round(suspects.hold_remaining(key, at), 1)
            fields = {
                "key": key,
                "lives": suspects.crash_count(key),
                "held_for": held_for,
            }
            log.info("holding back", extra=fields)
        for key in self._held - held:
            log.info("letting through", extra={"key": key})
        self._held = held

    async def _look(self, target):
        """Find out whether a target still listens."""
        link = await self._links.open(target)
        self._metrics.connections.inc({"service": target.service})
        if link is ConnectFailure.REFUSED:
            self.note_refused(target)
        elif link is not ConnectFailure.NO_RESPONSE:
            self._links.release_unused(target.incarnation, link)
            self._drop(target.incarnation)

    def _drop(self, life):
        """Forget the questions about a life, and return the requests that it ran."""
        keys = [key for asked, key in self._asked if asked == life]
        for key in keys:
            del self._asked[life, key]
        return keys

    def _blame(self, life, keys):
        for key in keys:
            note = RunRecord(key, life, True)
            self._knowledge.note_run(note)
            log.info(
                "ended",
                extra={
                    "target": life,
                    "key": key,
                    "beside": len(keys) - 1,
                    "lives": self._knowledge.shared.suspects.crash_count(key),
                },
            )
        if keys:
            self._on_ended()

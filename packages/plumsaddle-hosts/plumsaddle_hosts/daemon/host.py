"""
One entry host: the parts of it and what they tell each other.

A `Host` holds the state that several parts need: the configuration in force, the
services, the orders' streams, the members and the marks. Its periodic work
subscribes to the timer service; nothing in it sleeps by itself.
"""

import asyncio
import logging
import math
import random
import time
import uuid
from typing import Any, NamedTuple

from returns.result import Failure, Success

from plumsaddle_core.core.ids import Incarnation
from plumsaddle_core.ops.drain_marks import LISTED_TTL, SELF_REPORT_TTL, DrainMarks
from plumsaddle_core.ops.ejection import set_draining, suspects_itself, update_health
from plumsaddle_core.ops.members import Member, Members
from plumsaddle_core.ops.routing import build_routes
from plumsaddle_core.ops.versions import (
    Version,
    new_version_fold,
    restored_version,
)
from plumsaddle_core.parser.configuration import check_configuration
from plumsaddle_core.transfers.byte_budget import ByteBudget
from plumsaddle_core.utils.timers import Timers

from ..back.sender import make_session
from ..back.services import ServiceState
from ..peers.exchange import Exchange
from ..peers.keeping import KeeperClient, Keeping
from ..peers.messages import News
from ..platform.batch import Batcher
from ..platform.read_budget import ReadBudget
from ..platform.tail import Tail
from ..utils.supervision import keep_running
from .checkpoints import Checkpoints
from .metrics import Metrics
from .probes import start_probes
from .shards import SHARDS, Shard, shard_number

log = logging.getLogger("host")
CONFIG_STREAM = "config"
BYTES_PER_MEGABYTE = 1_000_000
# Bytes of all long answers to orders that are being read; one may have half of it.
MAX_ANSWER_BYTES = 64_000_000
REVIEW_EVERY = 0.25
WATCH_EVERY = 0.1
KEEP_EVERY = 0.02
PROBE_EVERY = 1.0
CHECKPOINT_LOOK_EVERY = 5.0
# Bound, in seconds, of the random time after which a host tells in the log what is in
# force in its era, and the wait of a host that has started since the log came back from
# a copy: hosts that know more come first.
MAX_RESTORE_DELAY = 1.0
STARTED_RESTORE_DELAY = 3.0
MEMBERS_MOST = 16
ROWS_MOST = 200
MARKS_MOST = 50


class Applied(NamedTuple):
    """The version in force on this host, ready for use."""

    number: int
    id: str
    cfg: Any
    routes: dict


class Host:
    """
    The parts of one host.

    Args:
      settings: The `Settings`.
      platform: The `Store`.
    """

    def __init__(self, settings, platform):
        loop = asyncio.get_running_loop()
        self.settings = settings
        self.platform = platform
        self.incarnation = Incarnation(
            f"{settings.id}@{int(time.time() * 1000):012x}-{uuid.uuid4().hex[:8]}"
        )
        self.rng = random.Random(uuid.uuid4().int)
        self.metrics = Metrics(settings.id)
        self.session = make_session()
        self.budget = ByteBudget(int(settings.callers.buffered_mb * BYTES_PER_MEGABYTE))
        # For long answers to orders, which are read whole before they are passed on.
        self.answer_budget = ReadBudget(MAX_ANSWER_BYTES)
        self.timers = Timers(loop.time, self.rng)
        self.applied = None
        self.unusable = None
        self.services = {}
        self.in_flight = 0
        # Set before the host starts.
        self.caller_server = None
        self.is_leaving = False
        self.is_stopping = False
        # When the platform kills the host, in seconds on the loop's clock.
        self.killed_at = math.inf
        self.is_suspect_itself = False
        self.marks = DrainMarks()
        self.listed_leaving = set()
        self.members = Members(self._own_member(), loop.time())
        self.exchange = Exchange(self, settings.peers)
        self.keeping = Keeping(self)
        self.keeper_client = KeeperClient(self, self.exchange)
        self.versions = new_version_fold()
        self.config_tail = Tail(
            platform,
            CONFIG_STREAM,
            self.versions,
            self._feed_config,
            self._on_config_page,
            settings.platform.read_wait,
            self._on_config_era,
        )
        # The `Version` in force on this host.
        self._in_force = None
        # Whether this host has seen the log come back from a copy, and whether it has
        # yet to tell what is in force.
        self._has_seen_restore = False
        self._is_restore_due = False
        self.config_batcher = Batcher(
            self.append, CONFIG_STREAM, self.incarnation, self.rng
        )
        self.shards = [
            Shard(
                number,
                platform,
                self.append,
                self.incarnation,
                self._is_gone,
                settings.platform.read_wait,
                self.rng,
            )
            for number in range(SHARDS)
        ]
        self.checkpoints = Checkpoints(self)
        self._tasks = set()

    def _own_member(self):
        return Member(
            self.settings.id,
            self.incarnation,
            0,
            self.settings.listen.hosts,
            self.settings.data_centre,
            0,
            False,
        )

    def spawn(self, work):
        """Run a coroutine as a task that is kept until it ends."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget_task)
        return task

    def _forget_task(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("host: A task broke.", exc_info=task.exception())

    async def append(self, stream, data):
        """Append to the platform's log and count it."""
        result = await self.platform.append(stream, data)
        word = "taken" if isinstance(result, Success) else result.failure().value
        self.metrics.appends.inc({"stream": stream, "result": word})
        return result

    def start(self):
        """Start the readers and the periodic work."""
        self.spawn(self.config_tail.run())
        for shard in self.shards:
            self.spawn(shard.tail.run())
        self.timers.subscribe(self.settings.peers.every, self._exchange)
        self.timers.subscribe(REVIEW_EVERY, self._review)
        self.timers.subscribe(WATCH_EVERY, self._watch)
        self.timers.subscribe(KEEP_EVERY, self.keeping.serve_all)
        self.timers.subscribe(PROBE_EVERY, self._probe)
        self.timers.subscribe(self.settings.platform.hosts_every, self._read_hosts)
        self.timers.subscribe(CHECKPOINT_LOOK_EVERY, self.checkpoints.look)
        self.spawn(keep_running("timers", self._run_timers))

    async def _run_timers(self):
        while True:
            await asyncio.sleep(max(0.005, self.timers.run_due()))

    # The configuration.

    def _feed_config(self, record):
        self.versions.feed(record)

    def _on_config_page(self, is_hole):
        if is_hole:
            log.error("config: Versions were missed. The former one stays in force.")
        if self._is_restore_due and self.config_tail.is_caught_up:
            self._is_restore_due = False
            delay = self.rng.uniform(0.0, MAX_RESTORE_DELAY)
            if self.versions.state.era and not self._has_seen_restore:
                delay = STARTED_RESTORE_DELAY
            asyncio.get_running_loop().call_later(delay, self._restore_version)
        self._apply_current()

    def _on_config_era(self, era, is_first):
        self.config_batcher.era = era
        self._is_restore_due = era > 0
        if not is_first:
            self._has_seen_restore = True
            self.versions.restart()

    def _restore_version(self):
        """Tell in the log what was in force before it came back from a copy."""
        if not self.versions.complete:
            return
        state, era = self.versions.state, self.config_tail.era
        event = restored_version(self._in_force or state.current, state, era)
        if event is not None:
            log.warning("config: Version %d is written again.", event.number)
            self.config_batcher.deliver([event])

    def adopt_version(self, items, as_of, era):
        """
        Take the version in force from another host, if it is newer.

        Args:
          items: The fields of a `Version`.
          as_of: The offset of the last record that it includes.
          era: The era of that offset.
        """
        if self.config_tail.era not in (None, era):
            # Its offset means nothing here.
            self._apply_if_newer(Version(*items))
        elif self.versions.adopt([items], as_of):
            log.info("config: Version %d came from another host.", items[0])
            self._apply_current()

    def _apply_current(self):
        """
        Put the folded version in force, unless an older or unusable one.

        A fold that starts anew after a hole may know less than what is in force
        here already, and a version that this release can't read is left alone: in
        both cases the former one goes on serving, and `status` shows it.
        """
        if self.versions.complete:
            self._apply_if_newer(self.versions.state.current)

    def _apply_if_newer(self, current):
        applied = self.applied.number if self.applied else 0
        if current.number <= applied and not self._is_replaced(current):
            return
        if self.unusable and self.unusable[0] == current.number:
            return
        result = check_configuration(current.text, f"version {current.number}")
        if isinstance(result, Failure):
            errors = [str(error) for error in result.failure()]
            self.unusable = (current.number, errors)
            log.error(
                "config: Version %d cannot be applied. %s",
                current.number,
                "; ".join(errors),
            )
            return
        self.unusable = None
        self._apply(current, result.unwrap())

    def _is_replaced(self, current):
        """
        Return whether the log has another text for the version in force.

        It lost that version, and accepted another one before a host that knew of it
        could tell.
        """
        if self.applied is None or current.number != self.applied.number:
            return False
        state = self.versions.state
        is_settled = self.versions.complete and state.era == self.config_tail.era
        is_other = current.id not in ("", self.applied.id)
        if is_settled and is_other and current.id == state.current.id:
            log.error("config: Version %d was lost and replaced.", current.number)
            return True
        return False

    def _apply(self, current, cfg):
        now = asyncio.get_running_loop().time()
        fresh = {}
        for service in cfg.service:
            state = self.services.get(service.name)
            if state is None:
                state = ServiceState(
                    service,
                    cfg.hosts_max,
                    self.incarnation,
                    self.members.data_centre_of,
                    self.keeper_client.ask,
                    self.rng,
                )
            else:
                state.update(service, cfg.hosts_max, now)
            fresh[service.name] = state
        self.services = fresh
        self._in_force = current
        self.applied = Applied(current.number, current.id, cfg, build_routes(cfg))
        self.metrics.version.set({}, current.number)
        self._set_leaving(now)
        log.info("config: Version %d is in force.", current.number)
        # Hosts that cannot reach the log must not wait for the next regular round.
        self.exchange.start_urgent(now)

    # The other hosts.

    def _exchange(self, now):
        self.members.evict_silent(now)
        self.exchange.start_round(now)

    def tell_news(self):
        """Return the `News` for another host."""
        now = asyncio.get_running_loop().time()
        number = self.applied.number if self.applied else 0
        self.members.advance_beat(number, self.is_leaving, self.is_suspect_itself)
        rows = []
        for state in self.services.values():
            rows += state.evidence.rows_to_send(now, ROWS_MOST - len(rows))
        return News(
            self.members.rows_to_send(now, MEMBERS_MOST),
            rows,
            self.marks.marks_to_send(now, MARKS_MOST),
        )

    def take_news(self, news):
        """Take what another host tells."""
        now = asyncio.get_running_loop().time()
        self.members.merge(news.members, now)
        if news.members:
            self.exchange.fetch_if_newer(news.members[0])
        is_urgent = False
        for state in self.services.values():
            known = state.pool.members
            rows = [row for row in news.rows if row.target in known]
            is_urgent = state.evidence.merge(rows, now) or is_urgent
        if self.marks.merge(news.marks, now):
            self._set_leaving(now)
            is_urgent = True
        if is_urgent:
            self.exchange.start_urgent(now)

    def _is_gone(self, incarnation):
        return self.members.is_gone(incarnation, asyncio.get_running_loop().time())

    def _read_hosts(self, now):
        self.spawn(self._fetch_hosts())

    async def _fetch_hosts(self):
        result = await self.platform.list_hosts()
        if isinstance(result, Failure):
            return
        listed = result.unwrap()
        self.members.set_listed(
            {row.id: row.address for row in listed if row.role == "entry"}
        )
        self.listed_leaving = {
            f"{row.id}@{row.address}"
            for row in listed
            if row.role == "target" and row.is_draining
        }
        self._set_leaving(asyncio.get_running_loop().time())

    # The targets.

    def note_leaving(self, key):
        """Take a target's own word that it is leaving."""
        now = asyncio.get_running_loop().time()
        self.marks.add(key, SELF_REPORT_TTL, now)
        self._set_leaving(now)
        self.exchange.start_urgent(now)

    def _set_leaving(self, now):
        """Bring the leaving targets up to date from all three sources."""
        for key in self.listed_leaving:
            self.marks.add(key, LISTED_TTL, now)
        marked = self.marks.targets(now)
        for state in self.services.values():
            named = {t.key for t in state.service.targets if t.leaving}
            self._note_changes(state, set_draining(state.pool, marked | named, now))

    def _review(self, now):
        states = list(self.services.values())
        self.is_suspect_itself = suspects_itself(
            ((state.pool, state.evidence) for state in states), now
        )
        self._set_leaving(now)
        failing = {s.service.name for s in states if s.pool.has_common_failure}
        for state in states:
            changes = update_health(
                state.pool,
                state.evidence,
                now,
                self.rng,
                bool(failing & set(state.service.depends_on)),
                self.is_suspect_itself,
            )
            self._note_changes(state, changes)
        self.metrics.in_flight.set({}, self.in_flight)
        self.metrics.held_bytes.set({}, self.budget.held)
        self.metrics.callers.note(self.caller_server)

    def _note_changes(self, state, changes):
        for change in changes:
            self.metrics.standings.inc(
                {"service": state.service.name, "standing": change.new.value}
            )
            log.info(
                "targets: %s went from %s to %s, %s.",
                change.target,
                change.old.value,
                change.new.value,
                change.reason,
            )
        if changes:
            state.room.wake()

    def _watch(self, now):
        for state in self.services.values():
            state.watch_tries(now)
            if state.take_bad_news():
                self.exchange.start_urgent(now)

    def _probe(self, now):
        start_probes(self, now)

    # The orders.

    def shard_of(self, key):
        """Return the `Shard` of a hashed key."""
        return self.shards[shard_number(key)]

    # Start and stop.

    def not_ready_reason(self):
        """Return why the balancer should send nothing here, or None."""
        if self.applied is None:
            return "no configuration"
        if self.is_leaving:
            return "leaving"
        if self.is_suspect_itself:
            return "this host finds bad what others find good"
        return None

    @property
    def has_callers(self):
        """Whether a caller waits for a response, or is about to receive one."""
        return self.in_flight > 0 or bool(self.caller_server.connections)

    async def flush(self, seconds):
        """Wait until the outcomes of all orders are in the log."""
        batchers = [shard.batcher for shard in self.shards]
        done = await asyncio.gather(*(batcher.flush(seconds) for batcher in batchers))
        return all(done)

    async def close(self):
        """Stop all that runs."""
        for task in list(self._tasks):
            task.cancel()
        self.exchange.close()
        await self.session.close()

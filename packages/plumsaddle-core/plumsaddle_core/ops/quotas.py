"""
The limits of workspaces, kept by all hosts together.

Each host counts by workspace what it was asked and what it let through, and tells the
others. What is told is a sum that fades (`Decayed`): it states all that still matters,
so a message that is lost, comes twice or comes late does no harm, a host that starts
again begins from nothing by itself, and whoever speaks for a data centre may change at
any moment. A receiver knows the sum that it was told before, and counts the difference.

Hosts of a data centre hear of each request; another data centre is told sums over all
hosts of one, and only those of workspaces that come near their limit. Nothing is kept
of workspaces that ask nothing.

A host that falls silent may be dead, or cut off and at work. So its part of each limit
is left to it: the part of what it was asked before, and a little for being there. It
reckons in the same way, from what it heard last, so the parts add up to the limit. They
are those of before the silence, whatever is asked since: if each side went by what it
is asked now, a workspace that turns hot would have most of its limit on both. What the
silent hosts let through is taken to be as much for their part as what is seen, and so
what they tell when they are heard again has been counted.
"""

import functools
import math
import random
import zlib
from collections import deque
from typing import NamedTuple

from .meter import Meter, Tolerance, capacity_of

# Seconds over which told sums fade. What a message tells late is too small by the part
# that has faded meanwhile, so it is long against the time that a message takes.
TOLD_FADE = 5.0
# Hosts beat once a second, and a hub passes that on within a tenth of one; hubs speak
# to each other five times a second. What is silent longer than this (seconds) may be
# cut off.
SILENT_AFTER = 1.6
# A host that hears nobody at all for this long (seconds) is cut off itself, or has lost
# its hub, which speaks five times a second.
ALONE_AFTER = 0.35
# Seconds after which a silent host is taken for gone.
GONE_AFTER = 60.0
# The part of each limit that is dealt by heads, so that a host which was asked nothing
# before it was cut off may serve a little.
BY_HEADS = 0.1
# Looks, one a second, at what was asked that are kept. The oldest is from before any
# silence that has just been noticed.
LOOKS_KEPT = 3
# Messages with which a row goes out: datagrams are lost now and then.
TOLD_TIMES = 2
# A data centre speaks to the others of a workspace whose demand here is at least this
# part of its rate, divided among the data centres.
NEAR_LIMIT = 0.2
# Rows of a message at most. Those that are left out go with the next one.
ROWS_MOST = 200
# Sums are told in hundredths.
SCALE = 100
# A workspace is forgotten when it has asked nothing for this long, in seconds. By then
# all that was told of it has faded, and its bucket is full but for the limits below a
# request in some seconds.
FORGET_AFTER = 15.0


class QuotaRow(NamedTuple):
    """
    What was asked and let through of a workspace, as sums that fade, in hundredths.

    `tag` is what `tag_of_workspace` gives.
    """

    tag: int
    asked: int
    admitted: int


class Heads(NamedTuple):
    """How many hosts of a data centre are heard there, and how many are missing."""

    heard: int
    unheard: int = 0


class Ruling(NamedTuple):
    """
    Whether a request is within its workspace's limit.

    `pause` is when to come back, in seconds. The others say what it was ruled by: the
    requests left, the fleet's demand a second, the part of the limit for the hosts that
    are heard, and how many are not.
    """

    is_admitted: bool
    pause: float = 0.0
    left: float = 0.0
    demand: float = 0.0
    part: float = 1.0
    silent: int = 0


ADMITTED = Ruling(True)


@functools.lru_cache(maxsize=65536)
def tag_of_workspace(name):
    """
    Return a short number for a workspace's name, for messages.

    Of 120,000 workspaces, two share one once in 150 such fleets, and then a limit.
    """
    data = name.encode()
    return zlib.crc32(data) << 8 | zlib.adler32(data) & 0xFF


class _Source:
    """What one other host, or one other data centre, told last."""

    __slots__ = ("back_at", "heads", "heard_at", "is_silent", "life", "rows", "unheard")

    def __init__(self, life, heads, now):
        self.life = life
        self.heads = heads
        # Hosts of a data centre that its hub knows and does not hear.
        self.unheard = 0
        self.heard_at = now
        self.is_silent = False
        self.back_at = -math.inf
        self.rows = {}


class _Sums:
    """What was asked and let through of a workspace, as sums that fade together."""

    __slots__ = ("_admitted", "_asked", "_at")

    def __init__(self):
        self._asked = self._admitted = self._at = 0.0

    def add(self, asked, admitted, now):
        """Count requests that were asked and let through."""
        kept = _fade(1.0, now - self._at)
        self._asked = self._asked * kept + asked
        self._admitted = self._admitted * kept + admitted
        self._at = now

    def asked(self, now):
        """Return what is left of the sum of what was asked."""
        return _fade(self._asked, now - self._at)

    def row(self, tag, now):
        """Return both sums as a `QuotaRow`."""
        kept = SCALE * _fade(1.0, now - self._at)
        asked, admitted = round(kept * self._asked), round(kept * self._admitted)
        return QuotaRow(tag, max(0, asked), max(0, admitted))


class _Known:
    """What is known of one workspace: its meter and the sums that are told of it."""

    __slots__ = ("far", "looks", "meter", "near", "own", "part", "revision")

    def __init__(self, meter):
        self.meter = meter
        # Of this host, of all hosts of its data centre, and of the other data centres.
        self.own = _Sums()
        self.near = _Sums()
        self.far = _Sums()
        # What this host and all hosts were asked, a look each second.
        self.looks = deque(maxlen=LOOKS_KEPT)
        # The part of the limit for the hosts that are heard, and of which revision.
        self.part = 1.0
        self.revision = 0


class Quotas:
    """
    All limits, as one host keeps them.

    Args:
      tolerance: The `Tolerance`.
      centres: How many data centres there are.
      rng: A `random.Random`.
      has_thinning: Whether a workspace that runs low has a part of its requests let
        through; without it, all until its bucket is empty as far as this host knows.
    """

    def __init__(self, tolerance=None, centres=1, rng=random, has_thinning=True):
        self._tolerance = tolerance or Tolerance()
        self._centres = max(1, centres)
        self._rng = rng
        self._has_thinning = has_thinning
        self._started = None
        self._limits = {}
        self._known = {}
        self._sources = {}
        self._silent = {}
        self._far_unheard = 0
        # Counts the changes of who is heard, with which the parts of limits change.
        self._revision = 0
        self._used_at = {}
        self._untold = {}
        self._far_untold = {}
        self._heard_at = -math.inf
        self._is_alone = True

    def configure(self, workspaces, now):
        """
        Take the limits of a configuration's workspaces.

        Args:
          workspaces: The `Workspace` tuples.
          now: The present, in seconds.
        """
        if self._started is None:
            self._started = now
        self._limits = {
            tag_of_workspace(workspace.name): workspace
            for workspace in workspaces
            if workspace.rate > 0
        }
        for tag in self._known.keys() - self._limits.keys():
            self._forget(tag)
        for tag, known in self._known.items():
            known.meter.limit(*self._limit_of(tag))

    def _limit_of(self, tag):
        workspace = self._limits[tag]
        rate, burst = workspace.rate, workspace.burst
        return rate, capacity_of(rate, burst, self._tolerance)

    def __len__(self):
        return len(self._known)

    # This host's own requests.

    def ask(self, workspace, now):
        """
        Rule on a request, and count it.

        Args:
          workspace: The `Workspace`, or None for nobody's.
          now: The present, in seconds.
        Returns:
          A `Ruling`.
        """
        if workspace is None or workspace.rate <= 0:
            return ADMITTED
        tag = tag_of_workspace(workspace.name)
        known = self._find(tag, now)
        if known is None:
            return ADMITTED
        known.meter.note_asked(1.0, now)
        part = self._part(tag, known, now)
        demand = self._demand(known, now)
        chance = known.meter.chance(part, demand, now)
        if not self._has_thinning:
            chance = float(known.meter.left(now) >= 1.0)
        is_admitted = chance >= 1.0 or self._rng.random() < chance
        self._count(tag, known, 1.0, float(is_admitted), now)
        if is_admitted:
            return ADMITTED
        meter = known.meter
        return Ruling(
            False,
            meter.pause(demand, self._rng.random(), now),
            round(meter.left(now), 1),
            round(demand, 1),
            round(part, 3),
            self._count_silent(),
        )

    def _demand(self, known, now):
        """
        Return the requests a second that the hosts which are heard are asked.

        A host by itself sees few of them, so it takes the longer average.
        """
        if self._is_alone:
            return known.own.asked(now) / TOLD_FADE
        return known.meter.demand(now)

    def give_back(self, workspace, now):
        """Take it that a request which was let through has not run, and never will."""
        if workspace is None or workspace.rate <= 0:
            return
        tag = tag_of_workspace(workspace.name)
        known = self._find(tag, now)
        if known is not None:
            self._count(tag, known, 0.0, -1.0, now)

    def _find(self, tag, now):
        """Return what is known of a workspace with a limit, or None."""
        known = self._known.get(tag)
        if known is None and tag in self._limits:
            window = self._tolerance.window
            meter = Meter(*self._limit_of(tag), window, self._started, now)
            known = self._known[tag] = _Known(meter)
        if known is not None:
            self._used_at[tag] = now
        return known

    def _forget(self, tag):
        del self._known[tag]
        for kept in (self._used_at, self._untold, self._far_untold):
            kept.pop(tag, None)

    def _count(self, tag, known, asked, admitted, now):
        """Count what this host was asked and let through."""
        known.own.add(asked, admitted, now)
        self._untold[tag] = TOLD_TIMES
        self._count_near(tag, known, asked, admitted, now)

    def _count_near(self, tag, known, asked, admitted, now):
        """Count what a host of this data centre was asked and let through."""
        known.near.add(asked, admitted, now)
        self._far_untold[tag] = TOLD_TIMES
        self._note_admitted(tag, known, admitted, now)

    def _note_admitted(self, tag, known, admitted, now):
        """Count what some host let through against the limit."""
        if admitted:
            # Hosts that are not heard likely let through as much for their part.
            known.meter.note_admitted(admitted / self._part(tag, known, now), now)

    # What is told.

    def own_rows(self, now):
        """Return the `QuotaRow`s for a message to the hosts of the data centre."""
        return [
            known.own.row(tag, now) for tag, known in self._take_untold(self._untold)
        ]

    def near_rows(self, now):
        """Return the `QuotaRow`s for a message to the other data centres."""
        for tag in list(self._far_untold):
            if not self._is_near_limit(self._known[tag], now):
                del self._far_untold[tag]
        return [
            known.near.row(tag, now)
            for tag, known in self._take_untold(self._far_untold)
        ]

    def _is_near_limit(self, known, now):
        demand = known.near.asked(now) / TOLD_FADE
        return demand >= NEAR_LIMIT * known.meter.rate / self._centres

    def _take_untold(self, untold):
        """Return the tags that are to be told, with what is known of them."""
        tags = list(untold)[:ROWS_MOST]
        for tag in tags:
            untold[tag] -= 1
            if not untold[tag]:
                del untold[tag]
        return [(tag, self._known[tag]) for tag in tags]

    # What the others tell.

    def take_near(self, host, life, rows, now):
        """
        Take a message of a host of this data centre; it need not hold rows.

        Args:
          host: The host's id.
          life: Its life, drawn anew at each start.
          rows: The `QuotaRow`s.
          now: The present, in seconds.
        """
        source = self._hear(host, life, 1, now)
        for row in rows:
            known = self._find(row[0], now)
            if known is not None:
                asked, admitted = _differences(source, row, now)
                known.meter.note_asked(asked, now)
                self._count_near(row[0], known, asked, admitted, now)

    def take_far(self, centre, hosts, rows, now):
        """
        Take what was told for a data centre; two hosts may speak for it at once.

        Args:
          centre: The `DataCentre`.
          hosts: Its `Heads`.
          rows: The `QuotaRow`s.
          now: The present, in seconds.
        """
        source = self._hear((centre,), 0, hosts.heard, now)
        if source.unheard != hosts.unheard:
            self._far_unheard += hosts.unheard - source.unheard
            source.unheard = hosts.unheard
            self._revision += 1
        for row in rows:
            known = self._find(row[0], now)
            if known is not None:
                asked, admitted = _differences(source, row, now, is_partial=True)
                known.meter.note_asked(asked, now)
                known.far.add(asked, admitted, now)
                self._note_admitted(row[0], known, admitted, now)

    def _hear(self, name, life, heads, now):
        source = self._sources.get(name)
        if source is None or source.life != life:
            # What its former life let through has been counted.
            source = self._sources[name] = _Source(life, heads, now)
            self._note_heard(name)
        elif source.is_silent:
            source.is_silent = False
            source.back_at = now
            self._note_heard(name)
        source.heard_at = now
        source.heads = max(1, heads)
        self.note_hub(now)
        return source

    def note_hub(self, now):
        """Take it that something was heard, if only that the hub is there."""
        self._heard_at = now
        if self._is_alone:
            self._is_alone = False
            for source in self._sources.values():
                source.back_at = now
            self._revision += 1

    def _note_heard(self, name):
        if self._silent.pop(name, None) is not None:
            self._revision += 1

    def heads(self):
        """Return the `Heads` of this host's data centre."""
        near = [s for name, s in self._sources.items() if isinstance(name, str)]
        unheard = sum(1 for source in near if source.is_silent)
        return Heads(1 + len(near) - unheard, unheard)

    def tick(self, now):
        """Look for sources that have fallen silent, and forget what is over."""
        for name, source in list(self._sources.items()):
            age = now - source.heard_at
            if age > GONE_AFTER:
                del self._sources[name]
                self._far_unheard -= source.unheard
                self._note_heard(name)
            elif age > SILENT_AFTER and not source.is_silent:
                source.is_silent = True
                self._silent[name] = source
                self._revision += 1
        if not self._is_anybody_missing() and now - self._heard_at <= ALONE_AFTER:
            for known in self._known.values():
                everyone = known.near.asked(now) + known.far.asked(now)
                known.looks.append((known.own.asked(now), everyone))
        idle = [tag for tag, at in self._used_at.items() if now - at > FORGET_AFTER]
        for tag in idle:
            self._forget(tag)
            for source in self._sources.values():
                source.rows.pop(tag, None)

    # Whose part of a limit is whose.

    def _is_anybody_missing(self):
        return bool(self._silent) or self._far_unheard > 0

    def _count_silent(self):
        """Return how many hosts are known and not heard."""
        return sum(
            source.heads + source.unheard
            if source.is_silent or self._is_alone
            else source.unheard
            for source in self._sources.values()
        )

    def _part(self, tag, known, now):
        """Return the part of a limit that belongs to the hosts that are heard."""
        if not self._is_alone and now - self._heard_at > ALONE_AFTER:
            self._is_alone = True
            self._revision += 1
        if known.revision != self._revision:
            known.revision = self._revision
            former, known.part = known.part, self._work_out_part(tag, known)
            self._count_unheard(known, former - known.part, now)
        return known.part

    def _count_unheard(self, known, part, now):
        """Count what hosts with a part let through before they were missed."""
        if part <= 0.0:
            return
        meter = known.meter
        demand = meter.demand(now)
        let_through = demand * ALONE_AFTER
        if not self._is_alone:
            # From then on they knew that they were by themselves.
            let_through += min(meter.rate, demand) * (SILENT_AFTER - ALONE_AFTER)
        meter.note_admitted(part * let_through, now)

    def _work_out_part(self, tag, known):
        if not (self._is_alone or self._is_anybody_missing()):
            return 1.0
        own, everyone = known.looks[0] if known.looks else (0.0, 0.0)
        sources = self._sources.values()
        heads = 1 + sum(source.heads + source.unheard for source in sources)
        by_heads = BY_HEADS * known.meter.rate * TOLD_FADE / heads
        whole = max(everyone, own) + by_heads * heads
        if self._is_alone:
            return (own + by_heads) / whole
        lost = sum(
            _asked_of(source, tag) + by_heads * source.heads
            for source in self._silent.values()
        )
        # Of hosts elsewhere that are missing, only the number is told.
        lost += whole * self._far_unheard / heads
        return max(own + by_heads, whole - lost) / whole


def _asked_of(source, tag):
    """Return the sum of what a source was asked, as of when it was last heard."""
    asked, _, at = source.rows.get(tag, (0.0, 0.0, source.heard_at))
    return _fade(asked, source.heard_at - at)


def _fade(value, seconds):
    return value * math.exp(-max(0.0, seconds) / TOLD_FADE)


def _differences(source, row, now, is_partial=False):
    """
    Return what a source was asked and has let through since its last row.

    What one of two hosts says for a data centre may hold less than the other knows;
    then nothing is taken back, else each turn would count the difference once more.
    """
    tag, asked, admitted = row[0], row[1] / SCALE, row[2] / SCALE
    former_asked, former_admitted, at = source.rows.get(tag, (0.0, 0.0, -math.inf))
    if at < source.back_at and now - source.back_at < TOLD_FADE:
        # Of what was let through before the source was heard again.
        source.rows[tag] = (asked, admitted, now)
        return 0.0, 0.0
    former_asked = _fade(former_asked, now - at)
    former_admitted = _fade(former_admitted, now - at)
    if is_partial:
        asked, admitted = max(asked, former_asked), max(admitted, former_admitted)
    source.rows[tag] = (asked, admitted, now)
    return max(0.0, asked - former_asked), admitted - former_admitted

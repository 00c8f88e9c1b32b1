"""
Requests under which targets have ended, and which of them are held back.

Some requests end each target that runs them: a query that a parser cannot take, say. A
caller that gets no answer asks again under another id, at any host, and retries carry
the request on to further targets. What is believed of targets does not help against
that, since each target was sound until the request came. So hosts remember, by the
request's key, the lives of targets that have ended while they ran it, tell each other,
and hold a request back once three have ended under it.

Whatever else a target ran when it ended looks the same from outside. Three things keep
such a request free: it takes three lives of targets, each answer from another one makes
up for one of them, and lives that ended under a request which has ended still more
explain those of the others.

All of it is a set of notes that only grows, so hosts may learn them from anybody and
more than once, and come to the same verdict.
"""

import itertools
import math
from collections import deque
from typing import NamedTuple

from ..core.ids import RequestKey, TargetIncarnation

# Lives that end under a request, less those that answered it, until it is held back.
# Two may be chance, where many targets crash for other reasons.
CRASH_THRESHOLD = 3
# Of these, lives whose end no other request explains. With one, a page that many ask
# for is held back after two bad requests and a crash have each cut it short; a second
# bad request beside a first one is found two ends later than it would be alone.
UNEXPLAINED_LEAST = 2
# Lives from which on the platform's store is told.
STORED_FROM = 2
# A request is sent once more after a failed send while no more lives than that have
# ended under it: one may be chance, and a third would make the verdict.
MAX_CRASHES_TO_RETRY = 1
# Seconds for which a request is held back after the last end, doubled with each life
# more than it takes: targets may have got a release that can take it. At most this.
MIN_HOLD = 600.0
HELD_MOST = 4 * 3600.0
# Seconds for which a life that has ended is remembered, unless the request is held
# back for longer than half of that.
REMEMBERED_FOR = 600.0
# Seconds for which a life is known to have ended: what it left unanswered is blamed on
# its end within that time. A target may come back under its id.
ENDED_FOR = 5.0
# Requests that are remembered, some 300 bytes each. Those with the fewest lives go
# first, so a flood of requests that met one crash does not push out the worst.
KEYS_MOST = 512
# Lives remembered of one request; more would not change the verdict.
LIVES_MOST = 16
# Seconds for which a new note goes with each message: a host sends several in that
# time, so that one of them arrives over a link that loses many.
TOLD_FOR = 2.5
# Notes in one message; the newest, of some 45 bytes each.
TOLD_MOST = 24


class RunRecord(NamedTuple):
    """What became of one life of a target that ran a request: it ended, or answered."""

    key: RequestKey
    life: TargetIncarnation
    has_ended: bool


class _Suspect:
    """What is known of one request."""

    __slots__ = ("answered", "ended", "is_own", "last_at", "stored")

    def __init__(self):
        self.ended = set()
        self.answered = set()
        self.last_at = -math.inf
        # Whether this host saw any of it, and what the platform's store says of it.
        self.is_own = False
        self.stored = frozenset()

    @property
    def hold_duration(self):
        """For how long the request is held back after the last end, in seconds."""
        beyond = max(0, len(self.ended) - CRASH_THRESHOLD)
        return min(HELD_MOST, MIN_HOLD * 2**beyond)

    @property
    def forgotten_at(self):
        """When it is forgotten, in seconds."""
        is_light = len(self.ended) < CRASH_THRESHOLD
        return self.last_at + (REMEMBERED_FOR if is_light else 2 * self.hold_duration)


class SuspectRequests:
    """All requests under which a target has ended lately, as one host knows them."""

    def __init__(self):
        self._suspects = {}
        self._recent = deque()
        # How many notes hosts of the data centre have made, as far as is known.
        self.near_record_count = 0
        self._ended_lives = {}
        self._held = {}
        self._is_judged = True

    def __len__(self):
        return len(self._suspects)

    def __contains__(self, key):
        return key in self._suspects

    # What is learnt.

    def add(self, note, now, is_own=False, is_near=True):
        """
        Take a `RunNote`.

        Args:
          note: The `RunNote`.
          now: When the life ended or answered, in seconds.
          is_own: Whether this host saw it.
          is_near: Whether a host of this data centre saw it.
        Returns:
          Whether it was new.
        """
        suspect = self._suspects.get(note.key)
        if suspect is None:
            if not note.has_ended:
                return False
            suspect = self._suspects[note.key] = _Suspect()
            self._make_room(note.key)
        suspect.is_own = suspect.is_own or is_own
        lives = suspect.ended if note.has_ended else suspect.answered
        if note.life in lives:
            return False
        if note.has_ended:
            suspect.last_at = max(suspect.last_at, now)
            self._ended_lives[note.life] = now
        if len(lives) >= LIVES_MOST:
            # Not kept, so it would be news again each time that it comes.
            return False
        lives.add(note.life)
        self._is_judged = False
        self._recent.append((now, note, is_own, is_near))
        self.near_record_count += is_near
        return True

    def add_stored(self, key, ended, answered, now):
        """
        Take what the platform's store says of a request.

        Args:
          key: The request's key.
          ended: The lives that have ended under it.
          answered: The lives that answered it.
          now: The present, in seconds.
        """
        notes = [RunRecord(key, life, True) for life in ended]
        notes += [RunRecord(key, life, False) for life in answered]
        # Not told on: each host hears it from the store.
        for note in notes:
            self.add(note, now, is_near=False)
        if key in self._suspects:
            self._suspects[key].stored = frozenset(ended) | frozenset(answered)

    def drop(self, key):
        """Forget a request, which an operator has let go."""
        self._suspects.pop(key, None)
        self._recent = deque(row for row in self._recent if row[1].key != key)
        self._is_judged = False

    def evict_expired(self, now):
        """
        Forget what is too old.

        Returns:
          The keys among that of which the platform's store still says something.
        """
        old = {k: s for k, s in self._suspects.items() if s.forgotten_at <= now}
        for key in old:
            del self._suspects[key]
        if old:
            self._is_judged = False
        lives = self._ended_lives.items()
        self._ended_lives = {life: at for life, at in lives if now - at < ENDED_FOR}
        self._recent_since(now - TOLD_FOR)
        return [key for key, suspect in old.items() if suspect.stored]

    def _make_room(self, new_key):
        if len(self._suspects) <= KEYS_MOST:
            return
        others = (item for item in self._suspects.items() if item[0] != new_key)
        least, _ = min(others, key=lambda item: (len(item[1].ended), item[1].last_at))
        del self._suspects[least]

    # What is to be told.

    def _recent_since(self, since):
        while self._recent and self._recent[0][0] <= since:
            self._recent.popleft()
        return self._recent

    def own_records(self, now):
        """Return the `RunNote`s that this host saw lately, for its data centre."""
        recent = self._recent_since(now - TOLD_FOR)
        return [note for _, note, is_own, _ in recent if is_own][-TOLD_MOST:]

    def near_records(self, now):
        """Return those that any host of the data centre saw lately, for the others."""
        recent = self._recent_since(now - TOLD_FOR)
        return [note for _, note, _, is_near in recent if is_near][-TOLD_MOST:]

    def unsaved(self):
        """
        Return what the platform's store does not say yet and this host should write.

        The store reaches hosts that are cut off from this one, and those that start
        when all others have lost what they knew. One life that ended is mostly chance
        and not worth a call; from the second on a host writes down what it saw.

        Returns:
          By key the sorted lives that ended, and those that answered.
        """
        return {
            key: (sorted(suspect.ended), sorted(suspect.answered))
            for key, suspect in self._suspects.items()
            if suspect.is_own
            and len(suspect.ended) >= STORED_FROM
            and not suspect.ended | suspect.answered <= suspect.stored
        }

    def last_crash_at(self, key):
        """Return when the last target ended under a request, in seconds."""
        return self._suspects[key].last_at

    # What follows from it.

    def has_crashed(self, life):
        """Return whether a life of a target has just ended under any request."""
        return life in self._ended_lives

    def crashed_incarnations(self, key):
        """Return the lives of targets that have ended under a request, sorted."""
        suspect = self._suspects.get(key)
        return sorted(suspect.ended) if suspect is not None else []

    def crash_count(self, key):
        """Return how many lives of targets have ended under a request."""
        suspect = self._suspects.get(key)
        return len(suspect.ended) if suspect is not None else 0

    def hold_remaining(self, key, now):
        """Return for how many seconds a request is still held back, or 0.0."""
        return max(0.0, self._verdicts().get(key, -math.inf) - now)

    def held_keys(self, now):
        """Return the keys of all requests that are held back."""
        return {key for key, until in self._verdicts().items() if until > now}

    def _verdicts(self):
        """Return until when requests are held back, by key."""
        if not self._is_judged:
            self._held = self._judge()
            self._is_judged = True
        return self._held

    def _judge(self):
        """
        Return until when each request is held back.

        A request whose ended lives, but for one, ended under others that have ended
        more was there by chance. Should one of the others be the victim, it ends no
        more lives while it is held back, and the true cause soon leads.
        """
        held = {}
        explained = set()
        rows = sorted(
            ((len(s.ended), key, s) for key, s in self._suspects.items()),
            key=lambda row: -row[0],
        )
        for count, group in itertools.groupby(rows, key=lambda row: row[0]):
            if count < CRASH_THRESHOLD:
                break
            found = [
                (key, suspect)
                for _, key, suspect in group
                if count - len(suspect.answered) >= CRASH_THRESHOLD
                and len(suspect.ended - explained) >= UNEXPLAINED_LEAST
            ]
            for key, suspect in found:
                held[key] = suspect.last_at + suspect.hold_duration
                explained |= suspect.ended
        return held

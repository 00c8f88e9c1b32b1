"""
Requests that crash targets, and which of them are held back.

A request that crashes every target that runs it (a query of death) does not stay with
one target: its caller retries under a new request id at any host, and hosts retry it on
other targets. The health of a target does not help, since each one is healthy until it
gets the request. Hosts therefore record by request key which incarnations of targets
crashed while they ran the request, gossip these records, and hold a request back once
`CRASH_THRESHOLD` incarnations have crashed under it.

Other requests that ran on a target when it crashed cannot be told from the cause. They
are kept free by three rules: it takes several crashes, each incarnation that answered
the request offsets one crash, and crashes explained by a request with more crashes
hardly count.

The records form a set that only grows, so hosts may merge them in any order and more
than once, and reach the same decision.
"""

import itertools
import math
from collections import deque
from typing import NamedTuple

from ..core.ids import RequestKey, TargetIncarnation

# Crashed incarnations less those that answered from which a request is held back. Two
# may be coincidence where many targets crash for other reasons.
CRASH_THRESHOLD = 3
# Least crashes that no held request with more crashes explains. With one, a popular
# request would be held back after two harmful requests and an unrelated crash hit it.
# The price: a second harmful request beside a first one is found two crashes later.
MIN_UNEXPLAINED = 2
# Crashes from which a request is written to the platform's store.
MIN_CRASHES_TO_STORE = 2
# Most crashes with which a request is still retried after a failed send. One may be
# coincidence; with two, the retry could be the one that reaches the threshold.
MAX_CRASHES_TO_RETRY = 1
# Seconds for which a request is held back after its last crash. Doubled with each crash
# beyond the threshold, up to the maximum: a new release of the targets may handle it.
MIN_HOLD = 600.0
MAX_HOLD = 4 * 3600.0
# Seconds after its last crash at which a request below the threshold is evicted.
RETENTION = 600.0
# Seconds within which an unanswered send is attributed to the crash of its target. The
# target may restart under the same id.
CRASH_ATTRIBUTION_WINDOW = 5.0
# Requests kept, some 300 bytes each. Those with the fewest crashes are evicted first,
# so that many requests hit by one crash do not displace those with several.
MAX_REQUESTS = 512
# Crashed, and answering, incarnations kept per request; more do not change the result.
MAX_INCARNATIONS = 16
# Seconds for which a new record is gossiped. A host sends several messages in them,
# so that one arrives over a link with high packet loss.
GOSSIP_WINDOW = 2.5
# Most records in a message, some 45 bytes each; the newest are sent.
MAX_RECORDS = 24


# Crashes of released and expired requests that are remembered.
MAX_RELEASED = 1000


class RunRecord(NamedTuple):
    """An incarnation of a target that ran a request, and either crashed or answered."""

    key: RequestKey
    incarnation: TargetIncarnation
    has_crashed: bool


class _SuspectRequest:
    """
    What is known of one request.

    `is_own` if this host observed any of it, `is_lost` if the platform's store has lost
    a record of it.
    """

    __slots__ = ("answered", "crashed", "is_lost", "is_own", "last_crash_at", "stored")

    def __init__(self):
        self.crashed = set()
        self.answered = set()
        self.last_crash_at = -math.inf
        self.is_own = False
        self.is_lost = False
        # The incarnations that the platform's store has recorded.
        self.stored = frozenset()

    @property
    def hold_duration(self):
        """For how many seconds the request is held back after its last crash."""
        beyond = max(0, len(self.crashed) - CRASH_THRESHOLD)
        return min(MAX_HOLD, MIN_HOLD * 2**beyond)

    @property
    def expires_at(self):
        is_below = len(self.crashed) < CRASH_THRESHOLD
        return self.last_crash_at + (RETENTION if is_below else 2 * self.hold_duration)


class SuspectRequests:
    """
    The requests under which targets have crashed recently, as one host knows them.

    `local_record_count` counts the records that hosts of the data centre have made.
    """

    def __init__(self):
        self._suspects = {}
        self._recent = deque()
        self.local_record_count = 0
        self._recent_crashes = {}
        # Pairs of key and incarnation of the crashes of requests that were released or
        # have expired, oldest first.
        self._released = {}
        self._held_until = {}
        self._is_up_to_date = True

    def __len__(self):
        return len(self._suspects)

    def __contains__(self, key):
        return key in self._suspects

    def add(self, record, now, is_own=False, is_local=True):
        """
        Add a record.

        Args:
          record: The `RunRecord`.
          now: When the incarnation crashed or answered, in seconds.
          is_own: Whether this host observed it.
          is_local: Whether a host of this data centre observed it.
        Returns:
          Whether it was new and was kept.
        """
        if record.has_crashed and record[:2] in self._released:
            return False
        suspect = self._suspects.get(record.key)
        if suspect is None:
            if not record.has_crashed:
                return False
            suspect = self._suspects[record.key] = _SuspectRequest()
            self._evict_excess(record.key)
        suspect.is_own = suspect.is_own or is_own
        incarnations = suspect.crashed if record.has_crashed else suspect.answered
        if record.incarnation in incarnations:
            return False
        if record.has_crashed:
            suspect.last_crash_at = max(suspect.last_crash_at, now)
            self._recent_crashes[record.incarnation] = now
        if len(incarnations) >= MAX_INCARNATIONS:
            # It is not kept, so each further copy would look new again.
            return False
        incarnations.add(record.incarnation)
        self._is_up_to_date = False
        self._recent.append((now, record, is_own, is_local))
        self.local_record_count += is_local
        return True

    def add_stored(self, key, crashed, answered, now):
        """
        Add what the platform's store has recorded of a request.

        Args:
          key: The request's key.
          crashed: The incarnations that crashed under it.
          answered: The incarnations that answered it.
          now: The current time in seconds.
        """
        records = [RunRecord(key, incarnation, True) for incarnation in crashed]
        records += [RunRecord(key, incarnation, False) for incarnation in answered]
        # Not gossiped: each host reads the store itself.
        for record in records:
            self.add(record, now, is_local=False)
        if key in self._suspects:
            self._suspects[key].stored = frozenset(crashed) | frozenset(answered)
            self._suspects[key].is_lost = False

    def note_restored(self, listed):
        """
        Record what the platform's store lists after it has come back from a copy.

        Records that it has lost are to be written again, and those to be removed again
        that had been released or had expired.

        Args:
          listed: By key the incarnations that crashed.
        Returns:
          The keys to remove.
        """
        for key, suspect in self._suspects.items():
            if not suspect.stored <= set(listed.get(key, ())) | suspect.answered:
                suspect.stored, suspect.is_lost = frozenset(), True
        return [
            key
            for key, crashed in listed.items()
            if crashed and all((key, i) in self._released for i in crashed)
        ]

    def drop(self, key):
        """
        Remove a request that an operator has released.

        Its crashes no longer count: a message or a write of another host that does not
        know of the release yet may still bring them.
        """
        suspect = self._suspects.pop(key, None)
        if suspect is not None:
            self._disregard(key, suspect)
        self._recent = deque(row for row in self._recent if row[1].key != key)
        self._is_up_to_date = False

    def evict_expired(self, now):
        """
        Remove the requests and crashes that have expired.

        Returns:
          The keys of the removed requests of which the platform's store has a record.
        """
        expired = {k: s for k, s in self._suspects.items() if s.expires_at <= now}
        for key, suspect in expired.items():
            del self._suspects[key]
            self._disregard(key, suspect)
        if expired:
            self._is_up_to_date = False
        crashes = self._recent_crashes.items()
        self._recent_crashes = {
            incarnation: at
            for incarnation, at in crashes
            if now - at < CRASH_ATTRIBUTION_WINDOW
        }
        self._prune_recent(now - GOSSIP_WINDOW)
        return [key for key, suspect in expired.items() if suspect.stored]

    def _disregard(self, key, suspect):
        """Let the crashes of a removed request count no more."""
        self._released.update(dict.fromkeys((key, i) for i in suspect.crashed))
        while len(self._released) > MAX_RELEASED:
            del self._released[next(iter(self._released))]

    def _evict_excess(self, new_key):
        if len(self._suspects) <= MAX_REQUESTS:
            return
        others = (item for item in self._suspects.items() if item[0] != new_key)
        least, _ = min(
            others, key=lambda item: (len(item[1].crashed), item[1].last_crash_at)
        )
        del self._suspects[least]

    def _prune_recent(self, since):
        """Remove recent records up to a time, and return the others."""
        while self._recent and self._recent[0][0] <= since:
            self._recent.popleft()
        return self._recent

    def own_records(self, now):
        """Return this host's recent `RunRecord`s, to send within its data centre."""
        recent = self._prune_recent(now - GOSSIP_WINDOW)
        return [record for _, record, is_own, _ in recent if is_own][-MAX_RECORDS:]

    def local_records(self, now):
        """Return the data centre's recent `RunRecord`s, to send to the others."""
        recent = self._prune_recent(now - GOSSIP_WINDOW)
        return [record for _, record, _, is_local in recent if is_local][-MAX_RECORDS:]

    def unsaved(self, rewrites_lost=False):
        """
        Return what this host should write to the platform's store.

        The store reaches hosts in partitioned data centres, and hosts that start after
        all others have lost their state. A single crash is mostly coincidence and not
        worth a write.

        Args:
          rewrites_lost: Whether this host also writes what others had written and the
            store has lost.
        Returns:
          By key the sorted incarnations that crashed, and those that answered.
        """
        return {
            key: (sorted(suspect.crashed), sorted(suspect.answered))
            for key, suspect in self._suspects.items()
            if (suspect.is_own or (rewrites_lost and suspect.is_lost))
            and len(suspect.crashed) >= MIN_CRASHES_TO_STORE
            and not suspect.crashed | suspect.answered <= suspect.stored
        }

    def last_crash_at(self, key):
        """Return when a target last crashed under a request, in seconds."""
        return self._suspects[key].last_crash_at

    def has_crashed(self, incarnation):
        """Return whether an incarnation has recently crashed under any request."""
        return incarnation in self._recent_crashes

    def crashed_incarnations(self, key):
        """Return the incarnations that crashed under a request, sorted."""
        suspect = self._suspects.get(key)
        return sorted(suspect.crashed) if suspect is not None else []

    def crash_count(self, key):
        """Return how many incarnations have crashed under a request."""
        suspect = self._suspects.get(key)
        return len(suspect.crashed) if suspect is not None else 0

    def hold_remaining(self, key, now):
        """Return for how many seconds a request is still held back, or 0.0."""
        return max(0.0, self._hold_ends().get(key, -math.inf) - now)

    def held_keys(self, now):
        """Return the keys of all requests that are held back."""
        return {key for key, until in self._hold_ends().items() if until > now}

    def _hold_ends(self):
        """Return by key until when requests are held back; recomputed after changes."""
        if not self._is_up_to_date:
            self._held_until = self._compute_hold_ends()
            self._is_up_to_date = True
        return self._held_until

    def _compute_hold_ends(self):
        """
        Return by key until when requests are held back.

        Requests are taken in descending order of their crashes. One whose crashes are
        explained by those before it, but for fewer than `MIN_UNEXPLAINED`, is taken to
        have been there by coincidence. If a harmless request comes first, the cause
        gains further crashes while the harmless one is held back, and overtakes it.
        """
        held_until = {}
        explained = set()
        rows = sorted(
            ((len(s.crashed), key, s) for key, s in self._suspects.items()),
            key=lambda row: -row[0],
        )
        for count, group in itertools.groupby(rows, key=lambda row: row[0]):
            if count < CRASH_THRESHOLD:
                break
            found = [
                (key, suspect)
                for _, key, suspect in group
                if count - len(suspect.answered) >= CRASH_THRESHOLD
                and len(suspect.crashed - explained) >= MIN_UNEXPLAINED
            ]
            for key, suspect in found:
                held_until[key] = suspect.last_crash_at + suspect.hold_duration
                explained |= suspect.crashed
        return held_until

"""
Keep enough of a service's sound targets in use.

Beliefs decide where work goes, and after some failures they may leave half of the
targets without any. Those that have become sound again then stand idle, and nothing
but work can tell: requests fail or wait elsewhere, and when hosts are lost at such a
moment their callers' second tries meet a service of half its size. So the targets of a
data centre that got nothing lately are tried, the likeliest sound one first, until
nearly all of the service's expected sound capacity is in use.

How much of it is in use follows from the beliefs: a target counts by its probability
of being sound. Counting heads instead sends work to the very targets that are out for
good reason. What this buys and costs is measured by `make floor`, in virtual time.
"""

from collections import deque

# A service is in trouble when this share of its requests was not served lately. Trials
# must be unbounded before a tenth is lost.
TROUBLED_FROM = 0.085
TROUBLED_OVER = 2.5
TROUBLED_FEWEST = 8
# One request that fails by itself is no trouble, however few there were.
UNSERVED_FEWEST = 2
# The share of the expected sound capacity that is kept in use, beyond the share that an
# installation asks for: what is sound is only believed, and the more targets have
# failed lately, the further off that is.
MARGIN = 0.15
# Seconds without a request after which a target counts as unused. With the pause until
# the next request of a data centre this stays below two seconds.
UNUSED_AFTER = 1.5
# Targets that fail more likely than this are left alone. A lone failure is forgotten
# that far within three seconds.
TRIAL_FAILING_MOST = 0.6
# Trials for one request of a host's. Where targets get few requests, each trial is a
# notable part of all work.
TRIALS_PER_REQUEST = 1 / 16
TRIALS_KEPT = 1.0


class RecentResults:
    """How many of a service's last requests were not served."""

    def __init__(self):
        self._entries = deque()
        self._ended = 0
        self._unserved = 0

    def add(self, ended, unserved, now):
        """Count requests that ended, and those among them that were not served."""
        self._entries.append((now, ended, unserved))
        self._ended += ended
        self._unserved += unserved

    def is_degraded(self, now):
        """Return whether a notable share of the last requests was not served."""
        while self._entries and self._entries[0][0] <= now - TROUBLED_OVER:
            _, ended, unserved = self._entries.popleft()
            self._ended -= ended
            self._unserved -= unserved
        if self._ended < TROUBLED_FEWEST or self._unserved < UNSERVED_FEWEST:
            return False
        return self._unserved > TROUBLED_FROM * self._ended


class _Budget:
    """How many trials a host's requests for one service allow for in calm times."""

    def __init__(self):
        self._left = TRIALS_KEPT

    def note_request(self):
        self._left = min(TRIALS_KEPT, self._left + TRIALS_PER_REQUEST)

    def has_trial(self):
        return self._left >= 1.0

    def spend(self):
        """Count a trial; one that trouble asks for may find nothing left."""
        self._left = max(0.0, self._left - 1.0)


class Trials:
    """One host's trials: which target the next request has to go to, if any."""

    def __init__(self):
        self._budgets = {}

    def find(self, service, list_targets, shared, floor_share, now):
        """
        Return the target that a request must try, or None.

        Args:
          service: The service's name.
          list_targets: A function that returns the ids of its usable targets, and the
            set of those that this host may try. It is asked only if a trial is due:
            with 240 targets that takes as long as all else that a choice does.
          shared: The `SharedState` that knows of their work.
          floor_share: The share of the targets that an installation asks for.
          now: The present, in seconds.
        """
        budget = self._budgets.setdefault(service, _Budget())
        budget.note_request()
        if not budget.has_trial() and not shared.is_degraded(service, now):
            return None
        trial = find_trial(
            *list_targets(),
            lambda target_id: shared.failing_probability(target_id, now),
            shared.last_used_at,
            floor_share,
            now,
        )
        if trial is not None:
            budget.spend()
        return trial


def find_trial(target_ids, near_ids, failing, used_at, floor_share, now):
    """
    Return the target that needs a request to bring the floor back.

    Args:
      target_ids: The usable targets of a service.
      near_ids: Those that may be tried here.
      failing: A function that tells the probability that a target fails its work.
      used_at: A function that tells when a target last got a request.
      floor_share: The share of the targets that an installation asks for.
      now: The present, in seconds.
    Returns:
      An id, or None while the floor is kept.
    """
    sound = {target_id: 1.0 - failing(target_id) for target_id in target_ids}
    unused = [t for t in target_ids if now - used_at(t) > UNUSED_AFTER]
    capacity = sum(sound.values())
    in_use = capacity - sum(sound[t] for t in unused)
    if not unused or in_use >= (floor_share + MARGIN) * capacity:
        return None
    near = [target_id for target_id in unused if target_id in near_ids]
    if not near:
        return None
    best = max(near, key=sound.get)
    return best if sound[best] >= 1.0 - TRIAL_FAILING_MOST else None

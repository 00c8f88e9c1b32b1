"""
Keep enough of a service's targets in use while part of its requests fail.

Beliefs decide where work goes, and after some failures they may leave half of the
targets without any. If those beliefs are wrong, sound capacity stands idle while
requests fail. Nothing but work can tell, so while a service is in trouble the targets
of a data centre that got nothing lately get one request each, until nearly all of them
are in use.

Without this a service with 19 targets had 3 of 6 sound ones idle for two seconds while
17 of 135 requests failed. Trials in calm times as well were measured and left out: of a
hundred requests four are not served without them, five if targets that nothing is known
of are tried, and seven if suspects are tried too.
"""

import math
from collections import deque

# A service is in trouble when this share of its requests was not served lately. Trials
# must begin before a tenth is lost.
TROUBLED_FROM = 0.085
TROUBLED_OVER = 2.5
TROUBLED_FEWEST = 8
# One request that fails by itself is no trouble, however few there were.
UNSERVED_FEWEST = 2
# The share of a data centre's targets that is kept in use then. It lies above the share
# that an installation asks for, which holds for the sound ones among them, and nobody
# can tell here which those are.
TROUBLED_SHARE = 0.85
# Seconds without a request after which a target counts as unused. With the pause until
# the next request of a host this stays below two seconds.
UNUSED_AFTER = 1.3


class Results:
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

    def is_troubled(self, now):
        """Return whether a notable share of the last requests was not served."""
        while self._entries and self._entries[0][0] <= now - TROUBLED_OVER:
            _, ended, unserved = self._entries.popleft()
            self._ended -= ended
            self._unserved -= unserved
        if self._ended < TROUBLED_FEWEST or self._unserved < UNSERVED_FEWEST:
            return False
        return self._unserved > TROUBLED_FROM * self._ended


def find_unused(target_ids, used_at, floor_share, now):
    """
    Return the targets that need a request to bring the floor back.

    Args:
      target_ids: The ids of the data centre's usable targets.
      used_at: A function that tells when a target last got a request.
      floor_share: The share of the targets that an installation asks for.
      now: The present, in seconds.
    Returns:
      A set of ids; it is empty while the floor is kept.
    """
    unused = {t for t in target_ids if now - used_at(t) > UNUSED_AFTER}
    in_use = len(target_ids) - len(unused)
    share = max(floor_share, TROUBLED_SHARE)
    if in_use >= math.ceil(share * len(target_ids)):
        return set()
    return unused

"""
Keep enough of a service's targets in use, whatever is believed of them.

Beliefs decide where work goes, and after some failures they may leave half of the
targets without any. If those beliefs are wrong, sound capacity stands idle while
requests fail, and nothing but work can tell. So of the targets of a data centre at
least the floor's share gets a request every two seconds: in calm times those that are
not suspected, while a service is in trouble the suspects too and nearly all of them.

Without the floor a service with 19 targets had 3 of 6 sound ones idle for two seconds
while 17 of 135 requests failed. Trying suspects in calm times as well was measured: the
requests not served went from 4 to 7 in a hundred, and nobody gained.
"""

import math
from collections import deque

# A service is in trouble when this share of its requests was not served lately. Trials
# must begin before a tenth is lost.
TROUBLED_FROM = 0.085
TROUBLED_OVER = 2.5
TROUBLED_FEWEST = 8
# The share of a data centre's targets that is kept in use then. It lies above the share
# that an installation asks for, which holds for the sound ones among them, and nobody
# can tell here which those are.
TROUBLED_SHARE = 0.85
# Seconds without a request after which a target counts as unused, in trouble and
# otherwise. With the pause until the next request both stay below two seconds.
TROUBLED_UNUSED_AFTER = 1.5
UNUSED_AFTER = 1.7
# Probability of failing from which a target is suspected. One that nothing is known of
# stays below it.
SUSPECTED_FROM = 0.3
# How far below its share one data centre may round: with three targets, one may be left
# out. The data centres that round up make good for it.
ROUNDING = 0.15


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
        if self._ended < TROUBLED_FEWEST:
            return False
        return self._unserved > TROUBLED_FROM * self._ended


def find_unused(fails, used_at, floor_share, is_troubled, now):
    """
    Return the targets that need a request to bring the floor back.

    Args:
      fails: The probability of failing of each usable target of the data centre.
      used_at: A function that tells when a target last got a request.
      floor_share: The share of the targets that must be in use.
      is_troubled: Whether a notable share of the service's requests fails.
      now: The present, in seconds.
    Returns:
      A set of ids; it is empty while the floor is kept.
    """
    after = TROUBLED_UNUSED_AFTER if is_troubled else UNUSED_AFTER
    share = max(floor_share, TROUBLED_SHARE) if is_troubled else floor_share
    unused = {t for t in fails if now - used_at(t) > after}
    in_use = len(fails) - len(unused)
    if in_use >= math.ceil(share * len(fails) - ROUNDING):
        return set()
    if is_troubled:
        return unused
    return {t for t in unused if fails[t] < SUSPECTED_FROM}

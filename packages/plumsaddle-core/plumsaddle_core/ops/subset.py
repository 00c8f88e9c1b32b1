"""
Which of a large service's targets a host keeps to.

With hundreds of targets before a host that sends a few requests a second, no connection
is used twice before its target closes it, and each choice weighs hundreds of targets.
So a host keeps to some, by a hash of its id and theirs: the same ones as long as they
live, others for other hosts, so that each target has its hosts. A target that joins or
leaves changes only one place of some hosts' draws. When none of them is a good choice,
all targets of the service are weighed.

How many a host keeps to follows from its own load: it should come back to each before
an idle connection is closed.
"""

import math
import zlib
from typing import NamedTuple

from ..core.traffic import Target

# A service with fewer targets than this is used whole.
MIN_TARGETS_FOR_SUBSET = 48
# The most targets that a host keeps to in its own data centre. A third of the targets
# may fail at once and others be full, and of thirty there are still some that are idle.
NEAR_MOST = 32
# The fewest. Of six, one in a thousand draws has all in a failing spell; then all are
# weighed.
NEAR_LEAST = 6
# Hosts that each target has on average in its own data centre. Of a target with three
# or four nearly none is left to chance alone by all hosts; each costs a connection.
HOSTS_PER_TARGET = 6.0
# For two targets near by a host keeps to one elsewhere, for when those near by fail.
AWAY_PART = 0.5
# A host should come back to a target within this many seconds; targets close idle
# connections after three to ten.
REUSE_WITHIN = 3.0
# Seconds over which a host's rate of sends is taken.
RATE_OVER = 5.0
# Below this value of the best one (shares of a request's value) all are weighed. An
# idle sound target has 0.9 and more, a full one about 0.7.
MIN_SUBSET_SCORE = 0.65


class Ranked(NamedTuple):
    """A service's targets in the order in which a host would keep to them."""

    local: list[Target]
    away: list[Target]

    def subset(self, count):
        """Return the first targets: some near by, and half as many elsewhere."""
        return self.local[:count] + self.away[: math.ceil(count * AWAY_PART)]


def order_targets(targets, host, centre):
    """
    Return the `Ranked` targets of a service for a host.

    Args:
      targets: The usable `Target`s of one service.
      host: The host's id.
      centre: The host's data centre.
    """
    ranked = sorted(
        targets, key=lambda t: zlib.crc32(f"{host} {t.incarnation}".encode())
    )
    near = [target for target in ranked if target.centre == centre]
    away = [target for target in ranked if target.centre != centre]
    return Ranked(near, away)


def subset_size(near, hosts, rate):
    """
    Return to how many targets near by a host keeps.

    Args:
      near: How many targets of the service are in its data centre.
      hosts: How many hosts are there.
      rate: The host's own sends to the service, a second.
    """
    for_reach = HOSTS_PER_TARGET * near / hosts
    for_load = REUSE_WITHIN * rate
    return min(NEAR_MOST, max(NEAR_LEAST, math.ceil(max(for_reach, for_load))))


class EventRate:
    """How often something happens, over the last seconds."""

    def __init__(self):
        self._count = 0.0
        self._at = 0.0

    def note(self, now):
        """Count one, and return the rate a second."""
        self._count = self._count * math.exp((self._at - now) / RATE_OVER) + 1.0
        self._at = now
        return self._count / RATE_OVER

"""
Deterministic subsetting: the targets of a large service that a host uses.

If each host of a large service used all of its targets, it would seldom send to the
same target again before an idle connection is closed, and each choice would score
hundreds of targets. So a host uses a subset, ordered by a hash of its id and the
targets'. The subset is stable, differs between hosts so that every target is covered,
and changes by one place when a target joins or leaves. If the subset has no good choice
for a request, all targets of the service are considered.

The subset's size follows the host's request rate, so that connections are reused.
"""

import math
import zlib
from typing import NamedTuple

from ..core.traffic import Target

# Services with up to this many targets are used without subsetting.
MAX_TARGETS_WITHOUT_SUBSET = 48
# Bounds of the number of targets in the host's own data centre. With the maximum, some
# are still idle when a third of the targets fail and others are busy. With the minimum,
# one draw in a thousand has only failing targets; then all targets are considered.
MAX_LOCAL_TARGETS = 32
MIN_LOCAL_TARGETS = 6
# Average number of local hosts that use a target. With three or four, some targets
# would be in no host's subset.
HOSTS_PER_TARGET = 6.0
# Targets in other data centres for each local one, as a fallback.
REMOTE_RATIO = 0.5
# Seconds within which a host should reuse a connection. Targets close idle connections
# after three to ten.
REUSE_INTERVAL = 3.0
# Time constant in seconds of a host's rate of sends.
RATE_TIME_CONSTANT = 5.0
# All targets are considered if the best score in the subset is lower. Idle healthy
# targets score 0.9 and more, busy ones about 0.7.
MIN_SUBSET_SCORE = 0.65


class OrderedTargets(NamedTuple):
    """A service's targets in a host's order of preference, local and remote ones."""

    local: list[Target]
    remote: list[Target]

    def subset(self, count):
        """Return the first `count` local targets and a share of the remote ones."""
        return self.local[:count] + self.remote[: math.ceil(count * REMOTE_RATIO)]


def order_targets(targets, host, data_centre):
    """
    Return the `OrderedTargets` of a service for a host.

    Args:
      targets: The usable `Target`s of one service.
      host: The host's id.
      data_centre: The host's data centre.
    """
    ordered = sorted(
        targets, key=lambda t: zlib.crc32(f"{host} {t.incarnation}".encode())
    )
    local = [target for target in ordered if target.data_centre == data_centre]
    remote = [target for target in ordered if target.data_centre != data_centre]
    return OrderedTargets(local, remote)


def subset_size(local, hosts, rate):
    """
    Return how many local targets a host uses.

    Args:
      local: The number of the service's targets in the host's data centre.
      hosts: The number of hosts there.
      rate: The host's own sends to the service per second.
    """
    for_coverage = HOSTS_PER_TARGET * local / hosts
    for_load = REUSE_INTERVAL * rate
    return min(
        MAX_LOCAL_TARGETS,
        max(MIN_LOCAL_TARGETS, math.ceil(max(for_coverage, for_load))),
    )


class EventRate:
    """An exponentially decaying average of an event rate."""

    def __init__(self):
        self._count = 0.0
        self._updated_at = 0.0

    def note_event(self, now):
        """Record one event, and return the rate per second."""
        self._count = (
            self._count * math.exp((self._updated_at - now) / RATE_TIME_CONSTANT) + 1.0
        )
        self._updated_at = now
        return self._count / RATE_TIME_CONSTANT

"""
The network paths from one host to the targets.

A host that cannot open a connection to a target cannot tell whether the target or its
own path has failed. Another host can: if that one connects to the target, only the path
is broken. A host is partitioned if several targets are reachable from other hosts only
and none is reachable directly, and isolated if nobody reaches any target.

Broken paths of single targets are remembered for some seconds, so that connections to
them go through another host at once.
"""

import enum
import math
from typing import NamedTuple

from ..core.ids import ServiceName

# Seconds without any contact with targets after which earlier failures no longer count.
FAILURE_TTL = 5.0
# Targets that must be reachable from other hosts only until a host is partitioned, and
# unreachable from any host until it is isolated.
MIN_BYPASSED = 3
MIN_UNREACHED = 3
# Services to which the targets of an isolated host must belong, if it knows as many. A
# single service may be down.
MIN_SERVICES = 2
# Seconds for which a broken path to one target is not tried. They double while the path
# stays broken.
MIN_BREAK = 2.0
MAX_BREAK = 8.0
# Seconds for which no other host is asked about a target that none could reach.
DOWN_TTL = 1.0
# Seconds with contact after which a partition is over. They double if the next one
# begins soon afterwards, so that a flapping path is not used.
MIN_RECOVERY = 0.4
MAX_RECOVERY = 6.4
RELAPSE_WINDOW = 10.0


class PathState(enum.Enum):
    """Whether this host reaches targets. Values appear in log lines."""

    CONNECTED = "connected"
    PARTITIONED = "partitioned"
    ISOLATED = "isolated"


class PathVerdict(enum.Enum):
    """What became of connecting to a target. Values appear in log lines."""

    DIRECT = "direct"
    # Only another host reached the target.
    BYPASSED = "bypassed"
    # No other host reached it either.
    DOWN = "down"
    # No other host could be asked.
    UNCONFIRMED = "unconfirmed"


class _Failure(NamedTuple):
    service: ServiceName
    verdict: PathVerdict
    failed_at: float


class _Break(NamedTuple):
    until: float
    seconds: float


class HostPaths:
    """
    The state of one host's paths to targets.

    `state` is its `PathState`. Times are in seconds.
    """

    def __init__(self):
        self.state = PathState.CONNECTED
        self.contact_at = -math.inf
        self._failures = {}
        self._breaks = {}
        self._down_until = {}
        self._contact_since = None
        self._recovery = MIN_RECOVERY
        self._recovered_at = -math.inf

    # Observations.

    def note_contact(self, now):
        """Record bytes that a target sent on a direct connection."""
        self.contact_at = now
        self._failures = {}
        if self.state is PathState.CONNECTED:
            return
        if self._contact_since is None:
            self._contact_since = now
        if now - self._contact_since >= self._recovery:
            self._recover(now)

    def note_connected(self, incarnation, now):
        """Record a direct connection that was opened to a target."""
        self._breaks.pop(incarnation, None)
        self._down_until.pop(incarnation, None)
        self.note_contact(now)

    def note_failed(self, incarnation, service, verdict, service_count, now):
        """
        Record that no direct connection to a target could be opened.

        Args:
          incarnation: The target's incarnation.
          service: The target's service.
          verdict: The `PathVerdict`, which is not `DIRECT`.
          service_count: The number of services with targets.
          now: The current time.
        """
        self._contact_since = None
        self._failures = {
            key: failure
            for key, failure in self._failures.items()
            if now - failure.failed_at < FAILURE_TTL
        }
        self._failures[incarnation] = _Failure(service, verdict, now)
        if verdict is PathVerdict.BYPASSED:
            self._note_break(incarnation, now)
        elif verdict is PathVerdict.DOWN:
            self._down_until[incarnation] = now + DOWN_TTL
        self._judge(service_count, now)

    def _note_break(self, incarnation, now):
        former = self._breaks.get(incarnation, _Break(now, 0.0))
        if former.until > now:
            return
        seconds = min(MAX_BREAK, max(MIN_BREAK, 2.0 * former.seconds))
        self._breaks[incarnation] = _Break(now + seconds, seconds)

    def _judge(self, service_count, now):
        """Decide whether the failures since the last contact concern all targets."""
        bypassed = self._count(PathVerdict.BYPASSED)
        if bypassed >= MIN_BYPASSED:
            self._leave(PathState.PARTITIONED, now)
        elif not bypassed and self.state is PathState.CONNECTED:
            services = {failure.service for failure in self._failures.values()}
            is_general = len(services) >= min(MIN_SERVICES, service_count)
            if is_general and len(self._failures) >= MIN_UNREACHED:
                self._leave(PathState.ISOLATED, now)

    def _count(self, verdict):
        return sum(f.verdict is verdict for f in self._failures.values())

    def _leave(self, state, now):
        """Enter a state in which targets are not reached directly."""
        if self.state is PathState.CONNECTED:
            is_relapse = now - self._recovered_at < RELAPSE_WINDOW
            longer = min(MAX_RECOVERY, 2.0 * self._recovery)
            self._recovery = longer if is_relapse else MIN_RECOVERY
        self.state = state

    def _recover(self, now):
        self.state = PathState.CONNECTED
        self._recovered_at = now
        self._contact_since = None
        self._breaks = {}

    def evict(self, listed, now):
        """Evict targets that are no longer listed, and what has expired."""
        self._breaks = {
            key: value
            for key, value in self._breaks.items()
            if key in listed and now - value.until < MAX_BREAK
        }
        self._down_until = {
            key: until
            for key, until in self._down_until.items()
            if key in listed and until > now
        }

    # Questions.

    @property
    def failed_targets(self):
        """The incarnations that failed since the last contact."""
        return tuple(self._failures)

    def prefers_tunnel(self, incarnation, now):
        """Return whether a connection to a target goes through another host first."""
        if self.state is not PathState.CONNECTED:
            return True
        broken = self._breaks.get(incarnation)
        return broken is not None and now < broken.until

    def may_ask(self, incarnation, now):
        """Return whether to ask another host about a target that didn't connect."""
        is_known_down = self._down_until.get(incarnation, -math.inf) > now
        return self.state is not PathState.CONNECTED or not is_known_down

    def is_own_failure_likely(self, incarnation):
        """Return whether targets other than this one failed too since a contact."""
        return bool(self._failures.keys() - {incarnation})

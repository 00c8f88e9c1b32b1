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
# Seconds between the first and the last of these failures. Gateways that were
# partitioned at the same moment need a while to notice it.
MIN_ISOLATION_SPAN = 0.5
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
    """What is known of a target to which no direct connection was opened."""

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

    `state` is its `PathState`, `contact_at` when a target last sent anything on a
    direct connection, and `recovered_at` when the last partition ended. Times are in
    seconds.
    """

    def __init__(self):
        self.state = PathState.CONNECTED
        self.contact_at = -math.inf
        self._failures = {}
        self._breaks = {}
        self._down_until = {}
        self.recovered_at = -math.inf
        self._contact_since = None
        self._recovery = MIN_RECOVERY

    # Observations.

    def note_contact(self, now):
        """Record bytes that a target sent on a direct connection."""
        self.contact_at = now
        self._failures = {}
        if self.state is PathState.CONNECTED:
            return
        if self._contact_since is None:
            self._contact_since = now
        # Partitioned hosts can afford to wait, isolated ones refuse all requests.
        is_isolated = self.state is PathState.ISOLATED
        if is_isolated or now - self._contact_since >= self._recovery:
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
          verdict: The `PathVerdict`.
          service_count: The number of services with targets.
          now: The current time.
        """
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
        self._judge(verdict, service_count, now)

    def note_probe_failed(self):
        """Record that a path which is known to be broken still is."""
        self._contact_since = None

    def _note_break(self, incarnation, now):
        former = self._breaks.get(incarnation, _Break(now, 0.0))
        if former.until > now:
            return
        seconds = min(MAX_BREAK, max(MIN_BREAK, 2.0 * former.seconds))
        self._breaks[incarnation] = _Break(now + seconds, seconds)

    def _judge(self, verdict, service_count, now):
        """Decide whether the failures since the last contact concern all targets."""
        failures = self._failures.values()
        bypassed_at = [
            f.failed_at for f in failures if f.verdict is PathVerdict.BYPASSED
        ]
        if verdict is PathVerdict.BYPASSED:
            # A single gateway that reaches a target ends an isolation.
            least = 1 if self.state is PathState.ISOLATED else MIN_BYPASSED
            if len(bypassed_at) >= least:
                self._enter(PathState.PARTITIONED, now)
            return
        since = max(bypassed_at, default=-math.inf)
        unreached = [f for f in failures if f.failed_at > since]
        services = {failure.service for failure in unreached}
        is_general = len(services) >= min(MIN_SERVICES, service_count)
        first_at = min((f.failed_at for f in unreached), default=now)
        is_lasting = now - first_at >= MIN_ISOLATION_SPAN
        if is_general and is_lasting and len(unreached) >= MIN_UNREACHED:
            self._enter(PathState.ISOLATED, now)

    def _enter(self, state, now):
        """Enter a state in which targets are not reached directly."""
        if self.state is PathState.CONNECTED:
            is_relapse = now - self.recovered_at < RELAPSE_WINDOW
            longer = min(MAX_RECOVERY, 2.0 * self._recovery)
            self._recovery = longer if is_relapse else MIN_RECOVERY
        self.state = state

    def _recover(self, now):
        self.state = PathState.CONNECTED
        self.recovered_at = now
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

    def is_cause(self, incarnation, now):
        """Return whether silence of a target is due to this host's path."""
        if self.prefers_tunnel(incarnation, now):
            return True
        failure = self._failures.get(incarnation)
        if failure is None or failure.verdict is PathVerdict.DOWN:
            return False
        is_bypassed = failure.verdict is PathVerdict.BYPASSED
        return is_bypassed or self.is_own_failure_likely(incarnation)

    def is_unconfirmed(self, incarnation):
        """Return whether a target failed since a contact and nobody confirmed it."""
        failure = self._failures.get(incarnation)
        return failure is not None and failure.verdict is PathVerdict.UNCONFIRMED

    def is_own_failure_likely(self, incarnation):
        """
        Return whether targets of other services failed too since the last contact.

        Those of one service may fail together, under requests that crash them.
        """
        failure = self._failures.get(incarnation)
        return failure is not None and any(
            other.service != failure.service for other in self._failures.values()
        )

"""
The hosts of a data centre among which rate limits are shared.

An unreachable host may have crashed or may be partitioned and still sending, so its
share stays reserved for some seconds. A host stops using its shares before the others
reassign them: its lease starts with its last message that is known to be delivered.
"""

import math

from .meter import DecayingSum
from .shares import HostDemand

# Seconds without a message after which a host's share is reassigned.
MEMBER_TIMEOUT = 12.0
# Seconds since its last delivered message after which a host stops sending to limited
# targets. Shorter than `MEMBER_TIMEOUT` by more than the delay of a message.
LEASE_DURATION = 8.0
# Seconds without a message after which a host's last known demand is kept.
UNREACHABLE_TIMEOUT = 2.0
# Seconds that a host waits after its first message from another one. Before that it
# does not know all hosts and their demand.
JOIN_DELAY = 3.0
# Seconds without a message of any other host after which a host assumes that it is the
# only one of its data centre.
SOLE_HOST_TIMEOUT = 60.0
# The same for a host that has received no message since its start.
STARTUP_SOLE_HOST_TIMEOUT = 10.0
# Seconds over which the demand for a service is averaged.
DEMAND_WINDOW = 5.0


class _Member:
    """Another host of the data centre."""

    __slots__ = ("demand", "last_message_at")

    def __init__(self):
        self.last_message_at = -math.inf
        self.demand = {}

    def resume(self, now):
        """Restore the demand from before a partition."""
        for total in self.demand.values():
            total.add(total.at(self.last_message_at) - total.at(now), now)


class Membership:
    """
    The hosts of the data centre that are known to one of them.

    Args:
      own_host: The host's own id.
      started_at: When it started, in seconds.
      has_seeds: Whether its settings name other hosts.
    """

    def __init__(self, own_host, started_at, has_seeds=True):
        self.own_host = own_host
        self._started_at = started_at
        self._has_seeds = has_seeds
        self._members = {}
        self._own_demand = {}
        self._joined_at = math.inf
        self._last_message_at = -math.inf
        self._last_delivered_at = -math.inf

    def note_message(self, host, now):
        """Note a message of another host."""
        if now - self._last_message_at > MEMBER_TIMEOUT:
            self._joined_at = now
        member = self._members.get(host)
        if member is None or now - member.last_message_at > MEMBER_TIMEOUT:
            member = self._members[host] = _Member()
        elif now - member.last_message_at > UNREACHABLE_TIMEOUT:
            member.resume(now)
        member.last_message_at = self._last_message_at = now

    def note_demand(self, host, service, count, now):
        """Count requests for a service that callers sent to another host."""
        member = self._members.get(host)
        if member is not None:
            _add(member.demand, service, count, now)

    def note_own_demand(self, service, count, now):
        """Count requests for a service that callers sent to this host."""
        _add(self._own_demand, service, count, now)

    def note_delivered(self, sent_at):
        """Note that a message sent at `sent_at` was delivered to other hosts."""
        self._last_delivered_at = max(self._last_delivered_at, sent_at)

    def evict(self, now):
        """Drop hosts whose share is reassigned."""
        if any(
            now - m.last_message_at > MEMBER_TIMEOUT for m in self._members.values()
        ):
            self._members = {
                host: member
                for host, member in self._members.items()
                if now - member.last_message_at <= MEMBER_TIMEOUT
            }

    def may_send(self, now):
        """Return whether this host may use its shares."""
        self.evict(now)
        if self._members:
            has_joined = now - self._joined_at >= JOIN_DELAY
            return has_joined and now - self._last_delivered_at < LEASE_DURATION
        if self._last_message_at == -math.inf:
            return (
                not self._has_seeds
                or now - self._started_at >= STARTUP_SOLE_HOST_TIMEOUT
            )
        return now - self._last_message_at >= SOLE_HOST_TIMEOUT

    def demands(self, service, now):
        """Return the `HostDemand` of each host of the data centre for a service."""
        demands = [HostDemand(self.own_host, _read(self._own_demand, service, now))]
        for host, member in self._members.items():
            # An unreachable host is assumed to have the same demand as before.
            as_of = member.last_message_at
            demands.append(HostDemand(host, _read(member.demand, service, as_of)))
        return demands


def _add(sums, service, count, now):
    total = sums.get(service)
    if total is None:
        total = sums[service] = DecayingSum(DEMAND_WINDOW)
    total.add(count, now)


def _read(sums, service, now):
    total = sums.get(service)
    return total.at(now) / DEMAND_WINDOW if total is not None else 0.0

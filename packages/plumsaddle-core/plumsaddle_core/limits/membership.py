"""
The hosts of a data centre among which rate limits are shared.

An unreachable host may have crashed or may be partitioned and still sending, so its
share stays reserved for some seconds. A host stops using its shares before the others
give them away: its lease is the last message of its own that it knows has reached them.
"""

import math

from .meter import DecayingSum
from .shares import HostDemand

# Seconds without a message after which a host's share goes to the others.
MEMBER_FOR = 12.0
# Seconds since its last message that reached others after which a host stops sending
# to limited targets. Shorter than `MEMBER_FOR` by more than a message takes.
LEASE = 8.0
# Seconds without a message after which the demand of a host is taken to be as before.
UNREACHABLE_AFTER = 2.0
# Seconds that a host waits after it has heard the first other one. Until then it has
# not heard of all others, and knows little of what callers send to each.
JOIN_FOR = 3.0
# Seconds without a word of any other host after which a host takes itself for the only
# one of its data centre.
SOLE_AFTER = 60.0
# The same for one that has heard nobody since its start.
SOLE_AT_START = 10.0
# Seconds over which the demand for a service is averaged.
DEMAND_FOR = 5.0


class _Member:
    """Another host of the data centre."""

    __slots__ = ("demand", "heard_at")

    def __init__(self):
        self.heard_at = -math.inf
        self.demand = {}

    def resume(self, now):
        """Take the demand of before a partition for that of now."""
        for total in self.demand.values():
            total.add(total.at(self.heard_at) - total.at(now), now)


class Membership:
    """
    The hosts of the data centre, as one of them knows them.

    Args:
      own: The host's own id.
      started: When it started, in seconds.
      has_seeds: Whether its settings name other hosts.
    """

    def __init__(self, own, started, has_seeds=True):
        self.own = own
        self._started = started
        self._has_seeds = has_seeds
        self._members = {}
        self._own_demand = {}
        self._joined_at = math.inf
        self._heard_at = -math.inf
        self._reached_at = -math.inf

    def note_host(self, host, now):
        """Note that another host was heard."""
        if now - self._heard_at > MEMBER_FOR:
            self._joined_at = now
        member = self._members.get(host)
        if member is None or now - member.heard_at > MEMBER_FOR:
            member = self._members[host] = _Member()
        elif now - member.heard_at > UNREACHABLE_AFTER:
            member.resume(now)
        member.heard_at = self._heard_at = now

    def note_demand(self, host, service, count, now):
        """Note requests for a service that callers sent to another host."""
        member = self._members.get(host)
        if member is not None:
            _add(member.demand, service, count, now)

    def note_own_demand(self, service, count, now):
        """Note requests for a service that callers sent to this host."""
        _add(self._own_demand, service, count, now)

    def note_delivered(self, sent_at):
        """Note that a message sent at a moment has reached the other hosts."""
        self._reached_at = max(self._reached_at, sent_at)

    def evict(self, now):
        """Drop hosts whose share has gone to the others."""
        if any(now - m.heard_at > MEMBER_FOR for m in self._members.values()):
            self._members = {
                host: member
                for host, member in self._members.items()
                if now - member.heard_at <= MEMBER_FOR
            }

    def may_send(self, now):
        """Return whether this host may use its shares."""
        self.evict(now)
        if self._members:
            has_joined = now - self._joined_at >= JOIN_FOR
            return has_joined and now - self._reached_at < LEASE
        if self._heard_at == -math.inf:
            return not self._has_seeds or now - self._started >= SOLE_AT_START
        return now - self._heard_at >= SOLE_AFTER

    def demands(self, service, now):
        """Return the `HostDemand` of each host of the data centre for a service."""
        demands = [HostDemand(self.own, _read(self._own_demand, service, now))]
        for host, member in self._members.items():
            # An unreachable host is taken to be asked as much as before.
            at = member.heard_at
            demands.append(HostDemand(host, _read(member.demand, service, at)))
        return demands


def _add(sums, service, count, now):
    total = sums.get(service)
    if total is None:
        total = sums[service] = DecayingSum(DEMAND_FOR)
    total.add(count, now)


def _read(sums, service, now):
    total = sums.get(service)
    return total.at(now) / DEMAND_FOR if total is not None else 0.0

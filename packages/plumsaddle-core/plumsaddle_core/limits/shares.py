"""
Which hosts may send to targets with a rate limit, and how much each.

The limited targets of a service in a data centre are mapped to intervals on a line,
each as long as its rate. The hosts of the data centre are mapped to the same line, each
in proportion to its demand. A host may send to the targets whose intervals overlap its
own, at the rate of the overlap. So the shares of a target add up to its limit, few
hosts have a share in it, and every host has a share in some target while the rates
allow one request per second and host. At lower rates only some hosts have shares. All
hosts compute the same layout from the gossiped demand, without further coordination.
"""

import functools
import math
import zlib
from typing import NamedTuple

from ..core.ids import HostId, TargetIncarnation

# Seconds in which the limits allow one request of each selected host. Each of these may
# hold a token, so this bounds the burst.
REQUEST_INTERVAL = 1.0
# Hosts selected however low the limits are, since a single one seldom receives enough
# requests to use a limit.
MIN_HOSTS = 4
# The fraction of the demand that is assumed to be spread equally, so that a host whose
# first callers have just arrived has a share.
EQUAL_FRACTION = 0.1


class HostDemand(NamedTuple):
    """A host, and its demand for a service in requests per second."""

    host: HostId
    demand: float


class LimitedTarget(NamedTuple):
    """A target, and its limit over all hosts in requests per second."""

    incarnation: TargetIncarnation
    rate: float


def compute_shares(targets, hosts, own_host):
    """
    Compute the shares of one host.

    Args:
      targets: The `LimitedTarget`s of a service in the host's data centre.
      hosts: The `HostDemand` of each host there, the host itself included.
      own_host: The host's id.
    Returns:
      The requests per second that the host may send, by target incarnation. Targets in
      which it has no share are left out.
    """
    total = sum(target.rate for target in targets)
    weights = _select_hosts(hosts, total)
    if own_host not in weights:
        return {}
    start, end = _find_span(weights, own_host, total)
    shares = {}
    position = 0.0
    for target in sorted(targets, key=lambda t: (_hash(t.incarnation), t.incarnation)):
        overlap = min(end, position + target.rate) - max(start, position)
        position += target.rate
        if overlap > 0.0:
            shares[target.incarnation] = overlap
    return shares


def _select_hosts(hosts, total):
    """Return the weights of the hosts that have shares, by id."""
    mean_demand = sum(demand for _, demand in hosts) / len(hosts)
    equal = EQUAL_FRACTION * mean_demand if mean_demand else 1.0
    weights = {host: demand + equal for host, demand in hosts}
    max_hosts = max(MIN_HOSTS, int(total * REQUEST_INTERVAL))
    if len(weights) <= max_hosts:
        return weights
    selected = sorted(weights, key=lambda host: _score(host, weights[host]))[:max_hosts]
    return {host: weights[host] for host in selected}


def _score(host, weight):
    """Return a host's score in weighted rendezvous hashing; the lowest win."""
    return -math.log((_hash(host) + 1) / (2**32 + 1)) / weight


def _find_span(weights, own_host, total):
    """Return the start and end of a host's interval."""
    scale = total / sum(weights.values())
    start = 0.0
    for host in sorted(weights, key=lambda h: (_hash(h), h)):
        if host == own_host:
            break
        start += weights[host] * scale
    return start, start + weights[own_host] * scale


@functools.lru_cache(maxsize=65536)
def _hash(name):
    return zlib.crc32(name.encode())

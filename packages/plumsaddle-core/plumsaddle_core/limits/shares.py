"""
Which hosts may send to targets with a rate limit, and how much each.

The limited targets of one service in a data centre are laid out on a line, each as long
as its rate, and the hosts of the data centre beside them, each as long as its share of
the demand. A host may send to the targets beside it, at the rate of the overlap. The
shares of a target add up to its limit, few hosts have a share in it, and every host has
one in some target while the rates allow for one request a second and host; below that,
fewer hosts take part, some at least. All hosts compute the same layout from what they
know of each other, so no counting and no permission passes between them.
"""

import functools
import math
import zlib
from typing import NamedTuple

from ..core.ids import HostId, TargetIncarnation

# Seconds of the limits that allow for one request of each host that takes part.
# Each of them may hold a token, so it bounds the burst.
REQUEST_INTERVAL = 1.0
# Hosts that take part however low the limits are: one alone seldom receives as many
# requests as a limit allows.
MIN_HOSTS = 4
# The part of the demand that counts as spread equally, so that a host whose callers
# have just come has a share.
EQUAL_FRACTION = 0.1


class HostDemand(NamedTuple):
    """A host, and the requests a second that callers send it for a service."""

    host: HostId
    demand: float


class LimitedTarget(NamedTuple):
    """A target, and the requests a second that it takes from all hosts."""

    incarnation: TargetIncarnation
    rate: float


def compute_shares(targets, hosts, own):
    """
    Return the shares of one host.

    Args:
      targets: The `LimitedTarget`s of a service in the host's data centre.
      hosts: The `HostDemand` of each host there, the host itself included.
      own: The host's id.
    Returns:
      By incarnation the requests a second that the host may send, without those to
      which it may send none.
    """
    total = sum(target.rate for target in targets)
    weights = _select_hosts(hosts, total)
    if own not in weights:
        return {}
    start, end = _find_span(weights, own, total)
    shares = {}
    at = 0.0
    for target in sorted(targets, key=lambda t: (_hash(t.incarnation), t.incarnation)):
        overlap = min(end, at + target.rate) - max(start, at)
        at += target.rate
        if overlap > 0.0:
            shares[target.incarnation] = overlap
    return shares


def _select_hosts(hosts, total):
    """Return the weights of the hosts that take part, by id."""
    mean = sum(demand for _, demand in hosts) / len(hosts)
    equal = EQUAL_FRACTION * mean if mean else 1.0
    weights = {host: demand + equal for host, demand in hosts}
    most = max(MIN_HOSTS, int(total * REQUEST_INTERVAL))
    if len(weights) <= most:
        return weights
    picked = sorted(weights, key=lambda host: _score(host, weights[host]))[:most]
    return {host: weights[host] for host in picked}


def _score(host, weight):
    """Return a host's place in weighted rendezvous hashing, the lowest first."""
    return -math.log((_hash(host) + 1) / (2**32 + 1)) / weight


def _find_span(weights, own, total):
    """Return where a host's part of the line begins and ends."""
    scale = total / sum(weights.values())
    start = 0.0
    for host in sorted(weights, key=lambda h: (_hash(h), h)):
        if host == own:
            break
        start += weights[host] * scale
    return start, start + weights[own] * scale


@functools.lru_cache(maxsize=65536)
def _hash(name):
    return zlib.crc32(name.encode())

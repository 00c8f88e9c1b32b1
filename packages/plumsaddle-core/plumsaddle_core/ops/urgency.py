"""
How urgent a request is against the others for its service.

Operators rank workspaces and routes; a workspace's rank goes before its route's, and
the lowest number is the most urgent. Ranks say nothing while there is room for all.
Where work is refused or tried again, the more urgent goes first: of the retries that a
data centre may send, a part is left to it, and it may count on more of a full target's
time.
"""

from typing import NamedTuple

# The part of the retries that the least urgent requests may use up.
RETRIES_LEAST = 0.7
# The part of its time left that the least urgent request may be expected to wait and
# run at a full target; beyond that it is refused, and leaves the place to others.
PATIENCE_LEAST = 0.6


class RequestPriority(NamedTuple):
    """What orders requests: the workspace's rank, and then the route's."""

    workspace: int
    route: int


def request_priority(route, workspace):
    """Return the `Rank` of a request; nobody's has its route's rank for both."""
    first = route.priority if workspace is None else workspace.priority
    return RequestPriority(first, route.priority)


def priorities_by_service(routes, workspaces):
    """
    Return the ranks that requests for each service may have, the most urgent first.

    Args:
      routes: The `Route` tuples of a configuration.
      workspaces: Its `Workspace` tuples.
    Returns:
      A dictionary of service to a list of `Rank`; empty without workspaces. Routes
      alone seldom share a service, and to keep places free for the more urgent of two
      that do costs the other one more than it brings.
    """
    if not workspaces:
        return {}
    firsts = {workspace.priority for workspace in workspaces}
    ranks = {}
    for route in routes:
        own = {RequestPriority(first, route.priority) for first in firsts}
        if route.is_public:
            own.add(request_priority(route, None))
        for share in route.shares:
            ranks.setdefault(share.service, set()).update(own)
    return {service: sorted(found) for service, found in ranks.items()}


def relative_urgency(ranks, rank):
    """
    Return how urgent a rank is among others, from 0.0 to 1.0 for the most urgent.

    Args:
      ranks: What `rank_services` returned for the service.
      rank: The request's `Rank`.
    """
    if len(ranks) < 2 or rank not in ranks:
        return 1.0
    return 1.0 - ranks.index(rank) / (len(ranks) - 1)


def usable_retry_share(urgent):
    """Return the part of the retries that a request of an urgency may use up."""
    return RETRIES_LEAST + (1.0 - RETRIES_LEAST) * urgent


def max_wait_share(urgent):
    """Return the part of its time left that a request may spend at a full target."""
    return PATIENCE_LEAST + (1.0 - PATIENCE_LEAST) * urgent

"""
The urgency of a request among all requests for its service.

Operators assign priorities to workspaces and routes. A workspace's priority takes
precedence over its route's, and the lowest number is the most urgent. Priorities have
no effect while there is capacity for all requests. Otherwise urgent requests may use
more of a data centre's retries and wait longer at a target without free slots.
"""

from typing import NamedTuple

# The fraction of the retries that the least urgent requests may use up.
MIN_RETRY_FRACTION = 0.7
# The fraction of its remaining time that the least urgent request may be expected to
# take at a target without free slots. If it would take longer, it is refused.
MIN_WAIT_FRACTION = 0.6


class RequestPriority(NamedTuple):
    """The sort key of requests: the workspace's priority, then the route's."""

    workspace: int
    route: int


def request_priority(route, workspace):
    """
    Return the `RequestPriority` of a request.

    Without a workspace, the route's priority stands in for the workspace's.
    """
    workspace_priority = route.priority if workspace is None else workspace.priority
    return RequestPriority(workspace_priority, route.priority)


def priorities_by_service(routes, workspaces):
    """
    Return the priorities that requests for each service may have.

    Args:
      routes: The `Route` tuples of a configuration.
      workspaces: Its `Workspace` tuples.
    Returns:
      A dictionary of service to a list of `RequestPriority`, the most urgent first. It
      is empty without workspaces, since reserving capacity among routes alone costs
      more than it gains.
    """
    return ranks_by_service(routes, workspaces) if workspaces else {}


def ranks_by_service(routes, workspaces):
    """
    Return the priorities that requests for each service may have.

    Unlike `priorities_by_service`, it orders routes also without workspaces: a queue
    reserves no capacity, so ranks cost nothing while no urgent requests come.
    """
    workspace_priorities = {workspace.priority for workspace in workspaces}
    priorities = {}
    for route in routes:
        own = {
            RequestPriority(workspace_priority, route.priority)
            for workspace_priority in workspace_priorities
        }
        if route.is_public or not workspaces:
            own.add(request_priority(route, None))
        for share in route.shares:
            priorities.setdefault(share.service, set()).update(own)
    return {service: sorted(found) for service, found in priorities.items()}


def route_ranks(routes):
    """Return the rank of each priority of routes; 0 is the most urgent."""
    priorities = sorted({route.priority for route in routes})
    return {priority: rank for rank, priority in enumerate(priorities)}


def relative_urgency(priorities, priority):
    """
    Return the urgency of a priority among others, from 0.0 to 1.0 for the most urgent.

    Args:
      priorities: The service's list from `priorities_by_service`.
      priority: The request's `RequestPriority`.
    """
    if len(priorities) < 2 or priority not in priorities:
        return 1.0
    return 1.0 - priorities.index(priority) / (len(priorities) - 1)


def usable_retry_fraction(urgency):
    """Return the fraction of the retries that a request of an urgency may use up."""
    return MIN_RETRY_FRACTION + (1.0 - MIN_RETRY_FRACTION) * urgency


def max_wait_fraction(urgency):
    """Return the fraction of its time left that a request may spend at a target."""
    return MIN_WAIT_FRACTION + (1.0 - MIN_WAIT_FRACTION) * urgency

"""
Which route a request belongs to on the platform, and which service gets it.

The host name selects a set of prefixes, and the longest of them that begins the path
wins. Each prefix begins and ends with a slash, so a look-up cuts the path at its
slashes from the right; its cost depends on the path and not on the number of routes.
"""


def build_route_table(routes):
    """
    Return the table of a configuration's routes.

    Args:
      routes: The `Route` tuples.
    Returns:
      A dictionary of host to prefix to `Route`.
    """
    table = {}
    for route in routes:
        table.setdefault(route.host.lower(), {})[route.prefix] = route
    return table


def find_route(table, host, path):
    """
    Find the route of a request.

    Args:
      table: What `build_table` returned.
      host: The Host header, with or without a port.
      path: The path, with or without a query.
    Returns:
      A `Route`, or None if none matches.
    """
    prefixes = table.get(_name_of(host))
    if prefixes is None:
        return None
    path = path.partition("?")[0]
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def _name_of(host):
    """Return a Host header's name without its port, in lower case."""
    if host.startswith("["):
        return host.partition("]")[0].lower() + "]"
    return host.partition(":")[0].lower()


def choose_service(route, rng):
    """
    Return the service for one request of a route, in proportion to the weights.

    The choice stands for the whole request: what does not fit its service is
    refused, since moving it would undo the operators' split.

    Args:
      route: The `Route`.
      rng: A `random.Random`.
    Returns:
      A `ServiceName`.
    """
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return rng.choices(shares, weights)[0].service

"""
Finds the route of a request, and chooses the service for it.

The host name selects a set of prefixes, of which the longest matching one wins. Each
prefix starts and ends with a slash, so a look-up tries the path's own prefixes from the
longest on; its cost doesn't depend on the number of routes.
"""


def build_route_table(routes):
    """
    Build the route table of a configuration.

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
      table: The result of `build_route_table`.
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

    The choice is final: if its service has no capacity, the request is rejected, since
    moving it would change the operators' split.

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

"""
Lookup of the route that a request belongs to.

The longest prefix that ends at a slash of the path wins, and among routes of the same
prefix the method decides. The table is built once per configuration version. A lookup
walks up the path's segments, so its cost does not depend on the number of routes.
"""

from returns.result import Failure, Success

from ..core.reasons import Reason, refuse


def build_routes(cfg):
    """Return the routes of a configuration by prefix and method."""
    table = {}
    for route in cfg.route:
        prefix = route.prefix.rstrip("/") or "/"
        methods = table.setdefault(prefix, {})
        for method in route.methods:
            methods[method.upper()] = route
    return table


def find_route(table, method, path):
    """
    Find the route of a request.

    Args:
      table: What `build_routes` returned.
      method: The request's method.
      path: The path without the query string.
    Returns:
      A `Success` of a `Route`, or a `Failure` of a `Refusal`.
    """
    prefix = path.rstrip("/") or "/"
    while True:
        methods = table.get(prefix)
        if methods:
            route = methods.get(method)
            if route is None and method == "HEAD":
                route = methods.get("GET")
            if route is None:
                return Failure(refuse(Reason.METHOD_NOT_ALLOWED, method))
            return Success(route)
        if prefix == "/":
            return Failure(refuse(Reason.NO_ROUTE, path))
        prefix = prefix.rpartition("/")[0] or "/"

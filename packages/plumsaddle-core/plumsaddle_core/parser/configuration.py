"""
Read and check the text that operators publish.

The text lists services with their targets, what each depends on, and the routes.
The types are checked first; when they fit, the stages below look for what only the
whole shows. `check_configuration` is run by the command line before it appends a
version, and by every host before it applies one.
"""

from ..core.data import Configuration, RequestKind
from .text import parse_text


def check_configuration(text, source):
    """
    Parse and check a configuration.

    Args:
      text: The TOML text.
      source: The name of the file or version, for the errors.
    Returns:
      A `Success` of a `Configuration`, or a `Failure` of all errors.
    """
    return parse_text(text, source, Configuration, STAGES)


def check_names(cfg):
    """Yield services, targets and addresses that stand twice."""
    names = set()
    ids = set()
    addresses = {}
    for position, service in enumerate(cfg.service):
        if service.name in names:
            yield ("service", position, "name"), f"service {service.name} stands twice"
        names.add(service.name)
        for number, target in enumerate(service.targets):
            path = ("service", position, "targets", number)
            if target.id in ids:
                yield path + ("id",), f"target {target.id} stands twice"
            ids.add(target.id)
            other = addresses.setdefault(target.address, target.id)
            if other != target.id:
                message = f"address {target.address} is already {other}'s"
                yield path + ("address",), message


def check_floors(cfg):
    """Yield floors that the targets cannot meet even when all are in."""
    for position, service in enumerate(cfg.service):
        staying = sum(not target.leaving for target in service.targets)
        if service.floor > staying:
            message = f"floor {service.floor} is above the {staying} targets that stay"
            yield ("service", position, "floor"), message


def check_dependencies(cfg):
    """Yield dependencies that do not exist and cycles among those that do."""
    known = {service.name: service.depends_on for service in cfg.service}
    for position, service in enumerate(cfg.service):
        path = ("service", position, "depends_on")
        for name in service.depends_on:
            if name not in known:
                yield path, f"there is no service {name}"
        if _reaches(service.name, service.depends_on, known):
            yield path, f"{service.name} depends on itself in the end"


def _reaches(goal, names, known):
    """Return whether a service is among the names or what they depend on."""
    seen = set()
    left = list(names)
    while left:
        name = left.pop()
        if name == goal:
            return True
        if name not in seen:
            seen.add(name)
            left.extend(known.get(name, ()))
    return False


def check_routes(cfg):
    """Yield routes to missing services and routes that stand twice."""
    names = {service.name for service in cfg.service}
    seen = set()
    for position, route in enumerate(cfg.route):
        if route.service not in names:
            yield ("route", position, "service"), f"there is no service {route.service}"
        for method in route.methods:
            if (route.prefix, method) in seen:
                message = f"{method} {route.prefix} stands twice"
                yield ("route", position, "prefix"), message
            seen.add((route.prefix, method))


def check_limits(cfg):
    """Yield connection bounds too small for the hosts that share a target."""
    for position, service in enumerate(cfg.service):
        if service.connections < service.slots:
            message = f"{service.connections} connections cannot fill the slots"
            yield ("service", position, "connections"), message
        if service.connections < cfg.hosts_max:
            message = f"fewer than one for each of {cfg.hosts_max} hosts"
            yield ("service", position, "connections"), message


def check_probes(cfg):
    """
    Yield services that could never try out a target that was taken out.

    Trials are made with idempotent requests. A service that has none among its
    routes needs a path to probe.
    """
    for position, service in enumerate(cfg.service):
        kinds = {route.kind for route in cfg.route if route.service == service.name}
        if RequestKind.IDEMPOTENT not in kinds and service.probe_path is None:
            message = "no idempotent route leads here, so a probe_path is needed"
            yield ("service", position, "name"), message


STAGES = [
    check_names,
    check_floors,
    check_dependencies,
    check_routes,
    check_limits,
    check_probes,
]

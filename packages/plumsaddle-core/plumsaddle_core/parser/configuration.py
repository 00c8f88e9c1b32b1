"""
Parser of the configuration that operators publish.

The configuration lists services with their targets and dependencies, and the routes.
Entries are validated by type first; the checks below look for inconsistencies between
entries. The command line runs `check_configuration` before it appends a version, and
every host before it applies one.
"""

from ..core.data import Configuration
from .text import parse_text


def check_configuration(text, source):
    """
    Parse and check a configuration.

    Args:
      text: The TOML text.
      source: The name of the file or version, for error messages.
    Returns:
      A `Success` of a `Configuration`, or a `Failure` of all errors.
    """
    return parse_text(text, source, Configuration, CHECKS)


def check_names(cfg):
    """Yield an error for each duplicate service, target and address."""
    names = set()
    ids = set()
    addresses = {}
    for position, service in enumerate(cfg.service):
        if service.name in names:
            yield (
                ("service", position, "name"),
                f"service {service.name} is defined twice",
            )
        names.add(service.name)
        for number, target in enumerate(service.targets):
            path = ("service", position, "targets", number)
            if target.id in ids:
                yield path + ("id",), f"target {target.id} is defined twice"
            ids.add(target.id)
            other = addresses.setdefault(target.address, target.id)
            if other != target.id:
                message = f"address {target.address} is already used by {other}"
                yield path + ("address",), message


def check_floors(cfg):
    """Yield an error for each floor above the number of targets that stay."""
    for position, service in enumerate(cfg.service):
        staying = sum(not target.leaving for target in service.targets)
        if service.floor > staying:
            message = f"floor {service.floor} exceeds the {staying} targets not leaving"
            yield ("service", position, "floor"), message


def check_dependencies(cfg):
    """Yield an error for each unknown dependency and each dependency cycle."""
    known = {service.name: service.depends_on for service in cfg.service}
    for position, service in enumerate(cfg.service):
        path = ("service", position, "depends_on")
        for name in service.depends_on:
            if name not in known:
                yield path, f"unknown service {name}"
        if _reaches(service.name, service.depends_on, known):
            yield path, f"dependency cycle through {service.name}"


def _reaches(goal, names, known):
    """Return whether a service is one of the names or a transitive dependency."""
    seen = set()
    pending = list(names)
    while pending:
        name = pending.pop()
        if name == goal:
            return True
        if name not in seen:
            seen.add(name)
            pending.extend(known.get(name, ()))
    return False


def check_routes(cfg):
    """Yield an error for each route to an unknown service and each duplicate."""
    names = {service.name for service in cfg.service}
    seen = set()
    for position, route in enumerate(cfg.route):
        if route.service not in names:
            yield ("route", position, "service"), f"unknown service {route.service}"
        for method in route.methods:
            if (route.prefix, method) in seen:
                message = f"{method} {route.prefix} is defined twice"
                yield ("route", position, "prefix"), message
            seen.add((route.prefix, method))


def check_limits(cfg):
    """Yield an error for each connection limit below the slots or hosts."""
    for position, service in enumerate(cfg.service):
        if service.connections < service.slots:
            message = f"{service.connections} connections are fewer than the slots"
            yield ("service", position, "connections"), message
        if service.connections < cfg.hosts_max:
            message = f"less than one per host for {cfg.hosts_max} hosts"
            yield ("service", position, "connections"), message


def check_probes(cfg):
    """
    Yield an error for each service that has no way to try an ejected target.

    Trials use idempotent requests, so a service without an idempotent route needs a
    probe path.
    """
    for position, service in enumerate(cfg.service):
        has_idempotent_route = any(
            route.kind.is_idempotent
            for route in cfg.route
            if route.service == service.name
        )
        if not has_idempotent_route and service.probe_path is None:
            message = "probe_path is required for a service without an idempotent route"
            yield ("service", position, "name"), message


CHECKS = [
    check_names,
    check_floors,
    check_dependencies,
    check_routes,
    check_limits,
    check_probes,
]

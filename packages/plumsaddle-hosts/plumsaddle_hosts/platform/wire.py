"""
The names of the users' platform, decoded once into plumsaddle's own types.

Nothing here decides anything, and no other module knows these names. A field has a
comment where the platform's name for it misleads.
"""

import msgspec

from plumsaddle_core.core.traffic import (
    Configuration,
    Kind,
    Limits,
    Route,
    Share,
    Target,
    TargetState,
)

# Headers of requests and answers.
REQUEST_ID = "Request-Id"
# Milliseconds that the sender will wait, counted from when the request arrives; a
# length of time, not a point in time.
TIME_LEFT = "Deadline-Ms"
# The id of one start of a target, not of a machine.
TARGET_ID = "Target-Instance"
# The target's proof that the answer is its own.
SIGNATURE = "Response-Signature"
NOT_RUN = "Not-Executed"
RETRY_AFTER = "Retry-After"

# Topics and keys of the store.
OPERATOR_TOPIC = "keyed.op"
TARGETS_TOPIC = "keyed.servers"
CONFIGURATION_KEY = "config"

KINDS = {"safe": Kind.IDEMPOTENT, "unsafe": Kind.ORDER, "upload": Kind.UPLOAD}
STATES = {"ready": TargetState.READY, "draining": TargetState.LEAVING}


def decode_target(target_id, data, now):
    """
    Decode the registry's entry of a target.

    Args:
      target_id: The key under which the entry stands.
      data: The entry's bytes.
      now: The present, in seconds.
    Returns:
      A `Target`, or None if the entry cannot be read.
    """
    try:
        entry = msgspec.json.decode(data)
        return Target(
            target_id,
            entry["service"],
            entry["address"],
            entry["zone"],
            int(entry.get("slots", 1)),
            # A state that is not known yet is not safe to send work to.
            STATES.get(entry["state"], TargetState.LEAVING),
            int(entry.get("warmup_left_ms", 0)) / 1000,
            now,
        )
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None


def decode_configuration(data):
    """
    Decode a version of the operators' configuration.

    Args:
      data: The record's bytes.
    Returns:
      A `Configuration`, or None if it cannot be read.
    """
    try:
        return _decode_configuration(msgspec.json.decode(data))
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None


def _decode_configuration(text):
    routes = []
    connections = {}
    limits = None
    for entry in text["resources"]:
        spec = entry["spec"]
        if entry["entry_kind"] == "routes":
            routes.append(_decode_route(entry["metadata"]["name"], spec))
        elif entry["entry_kind"] == "services":
            # The bound holds for one target and all its callers together.
            connections[entry["metadata"]["name"]] = int(spec.get("max_conns", 0))
        elif entry["entry_kind"] == "limits":
            limits = _decode_limits(spec)
    if limits is None:
        raise ValueError("the configuration has no limits")
    return Configuration(int(text["version"]), tuple(routes), connections, limits)


def _decode_route(name, spec):
    if "traffic_split" in spec:
        shares = tuple(
            Share(part["service"], float(part["weight"]))
            for part in spec["traffic_split"]
        )
    else:
        shares = (Share(spec["service"], 1.0),)
    return Route(
        name,
        spec["host"],
        spec["path_prefix"],
        KINDS[spec["route_type"]],
        shares,
        # The number of targets, the first one included.
        int(spec.get("max_attempts", 1)),
        int(spec["timeout_ms"]) / 1000,
        # The time for a full-valued answer, not a measured latency.
        int(spec["target_latency_ms"]) / 1000,
        int(spec.get("priority", 0)),
    )


def _decode_limits(spec):
    return Limits(
        int(spec["max_header_bytes"]),
        int(spec["max_body_bytes"]),
        int(spec["header_timeout_ms"]) / 1000,
        int(spec["idle_timeout_ms"]) / 1000,
    )

"""
Features that a host's settings can disable under `[experiments]`, for measurements.

Disabling them breaks no guarantee to callers, except that without floor trials fewer
targets than the floor may stay in use.
"""

import enum


class Feature(enum.Enum):
    """A feature; values are the names in the settings."""

    # Data centres exchange outcomes that change a target's failure estimate.
    REMOTE_EVIDENCE = "far-evidence"
    # Data centres exchange their numbers of requests in flight.
    REMOTE_LOAD = "far-load"
    # Failures of the host's own network path are not attributed to the target.
    PATH_EVIDENCE = "paths"
    # Connections to targets through other hosts.
    TUNNELS = "tunnels"
    # Trial requests that keep the floor of healthy targets in use.
    FLOOR_TRIALS = "floor-trials"
    # A slow request is also sent to a second target.
    HEDGING = "second-sends"
    # Targets with an open connection are preferred.
    OPEN_CONNECTIONS = "open-connections"
    # Time spent waiting for a slot is excluded from service times.
    SERVICE_TIMES = "work-times"
    # With scheduling on, targets are scored by what callers get.
    OUTCOME_SCORES = "outcome-scores"
    # Requests that are suspected of crashing targets are held back.
    SUSPECT_HOLDS = "holding-back"
    # The bytes and datagrams that a host sends to other hosts are limited.
    BANDWIDTH_LIMIT = "allowance"

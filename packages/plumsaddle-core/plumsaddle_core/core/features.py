"""
The mechanisms that a host can do without, to measure what each of them is worth.

A host's settings may name some under `[experiments]`. None of them keeps a promise to
callers by itself, but for the trials, which keep the floor of targets in use.
"""

import enum


class Feature(enum.Enum):
    """A mechanism, by the name that settings give it."""

    # Data centres tell each other outcomes that change a belief.
    REMOTE_EVIDENCE = "far-evidence"
    # Data centres tell each other what they have in flight.
    REMOTE_LOAD = "far-load"
    # A host keeps what it believes of its own path apart from the target.
    PATH_EVIDENCE = "paths"
    # Requests that keep sound targets in use.
    FLOOR_TRIALS = "floor-trials"
    # A second send beside a slow one.
    HEDGING = "second-sends"
    # Targets with an open connection are preferred.
    OPEN_CONNECTIONS = "open-connections"
    # The wait for a slot is not counted as work.
    SERVICE_TIMES = "work-times"
    # Requests under which targets have ended are held back.
    SUSPECT_HOLDS = "holding-back"
    # What hosts tell each other is bounded by their links.
    BANDWIDTH_LIMIT = "allowance"

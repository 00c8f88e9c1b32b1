"""
The settings file of a host on the platform.

`deploy/host.toml.in` turns the platform's fields into this file, so the platform's
names stand there and the names here are plumsaddle's own.
"""

import tomllib

from returns.result import Failure, Success

from plumsaddle_core.core.parts import Feature
from plumsaddle_core.core.traffic import Bounds, HostSettings

from ..utils.addresses import is_address

BYTES_A_MEGABIT = 125_000.0
# Fields of `[bounds]` in the file, with the field of `Bounds` and the divisor that
# makes it seconds.
BOUNDS = {
    "leaving_ms": ("leaving", 1000.0),
    "grace_s": ("grace", 1.0),
    "contact_ms": ("contact", 1000.0),
    "apply_ms": ("apply", 1000.0),
    "retry_ratio": ("retry_ratio", 1.0),
    "retry_window_s": ("retry_window", 1.0),
    "retry_extra": ("retry_extra", 1.0),
    "floor_share": ("floor_share", 1.0),
    "quota_window_s": ("quota_window", 1.0),
    "quota_overshoot": ("quota_overshoot", 1.0),
    "quota_slack": ("quota_slack", 1.0),
}


def check_host_settings(text):
    """
    Check the text of a settings file.

    Args:
      text: The file's text.
    Returns:
      A `Success` of `HostSettings`, or a `Failure` of a list of all mistakes, each a
      line of text.
    """
    try:
        fields = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as exc:
        return Failure([f"the file is not TOML: {exc}"])
    mistakes = []

    def word(table, name):
        value = table.get(name)
        if not isinstance(value, str) or not value:
            mistakes.append(f"{name}: a text is needed, not {value!r}")
        return value

    def address(table, name):
        value = word(table, name)
        if isinstance(value, str) and value and not is_address(value):
            mistakes.append(f"{name}: {value!r} is no IP:PORT")
        return value

    listen = fields.get("listen", {})
    if not isinstance(listen, dict):
        mistakes.append("listen: a table is needed")
        listen = {}
    seeds = fields.get("seeds") or []
    if not isinstance(seeds, list) or not all(is_address(seed) for seed in seeds):
        mistakes.append(f"seeds: a list of IP:PORT is needed, not {seeds!r}")
    settings = HostSettings(
        word(fields, "id"),
        word(fields, "data_centre"),
        tuple(fields.get("data_centres") or ()),
        address(listen, "callers"),
        address(listen, "ready"),
        address(listen, "hosts"),
        tuple(seeds),
        address(fields, "store"),
        _check_bounds(fields.get("bounds", {}), mistakes),
        _check_link(fields.get("link_mbps"), mistakes),
        _check_experiments(fields.get("experiments", {}), mistakes),
    )
    return Failure(mistakes) if mistakes else Success(settings)


def _check_link(value, mistakes):
    """Return the bytes a second of a link given in megabits a second, or None."""
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        mistakes.append(f"link_mbps: a number above 0 is needed, not {value!r}")
        return None
    return value * BYTES_A_MEGABIT


def _check_experiments(table, mistakes):
    """Return the parts that a table switches off."""
    off = table.get("off", []) if isinstance(table, dict) else None
    known = {part.value: part for part in Feature}
    if not isinstance(off, list) or not all(isinstance(name, str) for name in off):
        mistakes.append("experiments.off: a list of texts is needed")
        return frozenset()
    for name in sorted(set(off) - set(known)):
        mistakes.append(f"experiments.off: {name!r} is none of {', '.join(known)}")
    return frozenset(known[name] for name in off if name in known)


def _check_bounds(table, mistakes):
    """Return the `Bounds` of a table; what is missing keeps its default."""
    if not isinstance(table, dict):
        mistakes.append("bounds: a table is needed")
        return Bounds()
    values = {}
    for name, (field, divisor) in BOUNDS.items():
        value = table.get(name)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
            mistakes.append(f"bounds.{name}: a number is needed, not {value!r}")
            continue
        values[field] = value / divisor
    return Bounds(**values)

"""
Parser of a host's settings file.

Settings contain the host's addresses, its data centre, the platform and the seed peers.
They are read once, at startup.
"""

from ..core.data import Settings
from .text import parse_text


def check_settings(text, source):
    """
    Parse and check a host's settings.

    Args:
      text: The TOML text.
      source: The name of the file, for error messages.
    Returns:
      A `Success` of `Settings`, or a `Failure` of all errors.
    """
    return parse_text(text, source, Settings, [check_listeners, check_times])


def check_listeners(settings):
    """Yield an error for each listener whose address is already in use."""
    seen = {}
    for name, address in settings.listen._asdict().items():
        other = seen.setdefault(address, name)
        if other != name:
            yield ("listen", name), f"{address} is already used for {other}"


def check_times(settings):
    """Yield an error if checkpoints are not less frequent than reads."""
    platform = settings.platform
    if platform.checkpoint_every <= platform.read_wait:
        message = "must be longer than read_wait"
        yield ("platform", "checkpoint_every"), message

"""
Read and check the settings file of one host.

Settings say what a host is told before it knows anything else: its addresses, its
data centre, the platform and its first peers. They are read once, at the start.
"""

from ..core.data import Settings
from .text import parse_text


def check_settings(text, source):
    """
    Parse and check a host's settings.

    Args:
      text: The TOML text.
      source: The name of the file, for the errors.
    Returns:
      A `Success` of `Settings`, or a `Failure` of all errors.
    """
    return parse_text(text, source, Settings, [check_listeners, check_times])


def check_listeners(settings):
    """Yield listeners that share one address."""
    seen = {}
    for name, address in settings.listen._asdict().items():
        other = seen.setdefault(address, name)
        if other != name:
            yield ("listen", name), f"{address} is already used for {other}"


def check_times(settings):
    """Yield times that would keep the host from noticing an outage."""
    platform = settings.platform
    if platform.checkpoint_every <= platform.read_wait:
        message = "must be longer than read_wait"
        yield ("platform", "checkpoint_every"), message

"""
The log lines of hosts on the platform, decoded.
"""

import json
from typing import NamedTuple


class Event(NamedTuple):
    """One line of a log: when (seconds since the epoch), where, what."""

    at: float
    host: str
    part: str
    message: str
    fields: dict


def read_events(lines):
    """
    Decode log lines; what is no log line of a host is passed over.

    Args:
      lines: Texts, each a JSON object as the hosts write it, after any prefix.
    Returns:
      A list of `Event` in the order of their times.
    """
    events = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            event = Event(
                float(fields["created"]),
                fields["host"],
                fields["name"],
                fields["message"],
                fields,
            )
        except (ValueError, KeyError, TypeError):
            continue
        events.append(event)
    return sorted(events, key=lambda event: event.at)

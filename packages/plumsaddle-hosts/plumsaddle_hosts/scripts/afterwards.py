"""
The commands that explain what happened from the logs of hosts on the platform.
"""

import sys

from .causes import sum_up_causes, tell_causes
from .common import DONE, MISTAKE, NOT_KNOWN, fail, read_text, say
from .events import read_events
from .host_paths import tell_host_paths
from .host_versions import tell_host_versions
from .standing import find_key, tell_request, tell_standing
from .trace import trace_request
from .workspace import tell_workspace

NO_REQUEST = "The logs tell of no request."


def _read_logs(paths):
    """Return the events of all files in order, or exit."""
    lines = []
    for path in paths:
        lines += read_text(path).splitlines()
    return read_events(lines)


def _tell(lines, missing):
    """Say the lines and exit, or exit with why there are none."""
    if not lines:
        fail(missing, NOT_KNOWN)
    for line in lines:
        say(line)
    sys.exit(DONE)


def trace(request_id, *logs):
    """
    Tell the story of one request from the logs of hosts on the platform.

    Args:
      request_id: The request's id.
      logs: The hosts' logs.
    """
    story = trace_request(_read_logs(logs), str(request_id))
    _tell(story, f"No line bears the id {request_id}.")


def explain_from_logs(name, logs):
    """
    Tell what hosts saw of a target or a workspace, or why a request was held back.

    Of a host, it tells when that reached no target by itself, and which versions it had
    in force and where it got them. It exits afterwards.

    Args:
      name: The target's id, the workspace's name, the host's id, the request's key, or
        the id under which it was refused.
      logs: The hosts' logs.
    """
    events = _read_logs(logs)
    key = find_key(events, str(name))
    lines = tell_request(events, key) if key else tell_standing(events, str(name))
    lines = lines or tell_workspace(events, str(name))
    lines = lines or (
        tell_host_paths(events, str(name)) + tell_host_versions(events, str(name))
    )
    _tell(lines, f"No line names {name}, and none has a key for it.")


def causes(*logs, every=2.0):
    """
    Count why requests were not served, by service and span of seconds.

    Args:
      logs: The hosts' logs.
      every: The seconds of a span.
    """
    sums = sum_up_causes(_read_logs(logs), float(every))
    _tell(tell_causes(sums), NO_REQUEST)


def report(*logs, out="report.png"):
    """
    Draw a day from the logs of hosts on the platform.

    Args:
      logs: The hosts' logs.
      out: The picture's path; its ending (png, svg, pdf) decides the format.
    """
    # The plotting library is large and is needed for this command only.
    try:
        from .picture import draw_day
    except ImportError as exc:
        fail(f"A report needs the plotting library: {exc}", MISTAKE)
    from .day import sum_up_day

    day = sum_up_day(_read_logs(logs))
    if day is None:
        fail(NO_REQUEST, NOT_KNOWN)
    draw_day(day, out)
    say(f"{out}: {len(day.seconds)} seconds, {len(day.targets)} targets")
    sys.exit(DONE)

"""
The story of one request, put together from the logs of all hosts.

The lines that bear the request's id tell what was done. What the hosts had seen of its
targets shortly before tells why: the failed and stuck sends of other requests, and the
changes of the list of targets. A request that broke a target bears a key, and what the
same request did under other ids, at any host, stands under that key.
"""

import json

# Seconds before a request's first line for which other requests' failures are shown:
# for longer than that a failure hardly moves the choice of a target.
BEFORE = 10.0
# Fields that each line has and that are printed in places of their own.
HEAD = {"created", "name", "message", "host", "request"}
# What hosts tell each other, and what each one believes by itself: of the latter only
# the request's own host had it.
TOLD = {"send failed", "stuck"}
OWN = {"listed", "outdated entry", "unlisted", "lapsed"}


def trace_request(events, request_id):
    """
    Return the lines that tell the story of a request.

    Args:
      events: A list of `Event`.
      request_id: The request's id.
    Returns:
      Texts: the evidence about its targets, then what was done. Times are seconds
      from the request's first line. The list is empty if no line bears the id.
    """
    own = [event for event in events if event.fields.get("request") == request_id]
    if not own:
        return []
    begin, end = own[0].at, own[-1].at
    targets = {e.fields["target"] for e in own if "target" in e.fields}
    hosts = {e.host for e in own}
    keys = {e.fields["key"] for e in own if e.fields.get("key")}
    evidence = [
        event
        for event in events
        if _is_evidence(event, hosts, targets)
        and event.fields.get("request") != request_id
        and begin - BEFORE <= event.at <= end
    ]
    repeats = [
        event
        for event in events
        if event.fields.get("key") in keys
        and event.fields.get("request") != request_id
        and event.at <= end
        and event not in evidence
    ]
    story = sorted(own + evidence + repeats, key=lambda event: event.at)
    return [_tell(event, begin, request_id) for event in story]


def _is_evidence(event, hosts, targets):
    """Return whether an event tells of a request's targets, or of its way there."""
    if event.message == "paths changed":
        return event.host in hosts
    if event.fields.get("target") not in targets:
        return False
    if event.message == "tunnel requested":
        return event.fields["peer"] in hosts
    return event.message in TOLD or (event.message in OWN and event.host in hosts)


def _tell(event, begin, request_id):
    """Return one event as a line; those of other requests are set in."""
    is_own = event.fields.get("request") == request_id
    fields = " ".join(
        f"{name}={json.dumps(value) if isinstance(value, list) else value}"
        for name, value in event.fields.items()
        if name not in HEAD and value is not None
    )
    mark = "" if is_own else "    | "
    return f"{event.at - begin:+8.3f} {event.host} {mark}{event.message} {fields}"

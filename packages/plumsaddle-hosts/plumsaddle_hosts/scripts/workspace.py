"""
What the hosts let through and refused of one workspace, second by second.
"""

from collections import Counter, defaultdict


class _Second:
    """What became of a workspace's requests in one second, over all hosts."""

    def __init__(self):
        self.answered = 0
        self.refusals = []
        self.waits = []
        self.other_refusals = Counter()
        self.answered_by_route = Counter()


def tell_workspace(events, name):
    """
    Return a line for each second in which something was answered to a workspace.

    Args:
      events: A list of `Event`.
      name: The workspace's name.
    Returns:
      Texts, with times in seconds from the first line that names it: how many requests
      were answered, how many refused since the limit was reached and at how many hosts,
      and what these went by: the limit, the least and greatest number that they knew to
      be left of it, the greatest demand a second, the least part of the limit for the
      hosts that they heard, the most hosts that they missed, and by route how many were
      refused of those asked. Then how many requests were sent after a wait and the
      longest one, and the other refusals by cause and route. The list is empty if no
      line names the workspace.
    """
    own = [event for event in events if event.fields.get("workspace") == name]
    seconds = defaultdict(_Second)
    for event in own:
        second = seconds[int(event.at - own[0].at)]
        if event.message == "answered":
            second.answered += 1
            second.answered_by_route[event.fields.get("route")] += 1
        elif event.fields.get("cause") == "over-limit":
            second.refusals.append(event)
        elif event.message == "refused":
            kind = event.fields.get("cause"), event.fields.get("route")
            second.other_refusals[kind] += 1
        elif event.message == "dequeued":
            second.waits.append(event.fields["waited"])
    return [_tell(at, seconds[at]) for at in sorted(seconds)]


def _tell(at, second):
    line = f"+{at} s answered={second.answered}"
    if second.refusals:
        line += _tell_over_limit(second)
    if second.waits:
        line += f" waited={len(second.waits)} longest={max(second.waits):g}"
    for (cause, route), count in second.other_refusals.most_common():
        line += f" {cause}:{route}={count}"
    return line


def _tell_over_limit(second):
    fields = [event.fields for event in second.refusals]
    left = [values["left"] for values in fields]
    return (
        f" over-limit={len(fields)} "
        f"hosts={len({event.host for event in second.refusals})} "
        f"rate={fields[-1]['rate']:g} burst={fields[-1]['burst']:g} "
        f"left={min(left):g}..{max(left):g} "
        f"demand={max(values['demand'] for values in fields):g} "
        f"part={min(values['part'] for values in fields):g} "
        f"silent={max(values['silent'] for values in fields)}"
        f"{_tell_routes(second, fields)}"
    )


def _tell_routes(second, fields):
    """Return the demand and the refusals of each route, the most urgent first."""
    refused = Counter(values["route"] for values in fields if values.get("route"))
    ranks = {values.get("route"): values.get("rank") for values in fields}
    names = sorted(
        refused.keys() | {name for name in second.answered_by_route if name},
        key=lambda name: (ranks.get(name) or 0, name),
    )
    parts = [
        f"{name}={refused[name]}/{refused[name] + second.answered_by_route[name]}"
        for name in names
    ]
    return f" refused/asked: {' '.join(parts)}" if refused else ""

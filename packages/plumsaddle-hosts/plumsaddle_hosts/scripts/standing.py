"""
What the hosts saw of one target, second by second, from their logs.
"""

from collections import Counter, defaultdict

LISTINGS = {"listed", "unlisted", "lapsed"}


class _Second:
    """What happened at a target in one second, over all hosts."""

    def __init__(self):
        self.hosts = set()
        self.beliefs = []
        self.failures = Counter()
        self.listings = set()


def tell_standing(events, target):
    """
    Return a line for each second in which something was seen of a target.

    Args:
      events: A list of `Event`.
      target: The target's id.
    Returns:
      Texts, with times in seconds from the target's first line: how many sends began
      and from how many hosts, the least and greatest probability of failing that they
      were given, and the failures by kind. The list is empty if no line names it.
    """
    own = [event for event in events if event.fields.get("target") == target]
    seconds = defaultdict(_Second)
    for event in own:
        _add(seconds[int(event.at - own[0].at)], event)
    return [_tell(at, seconds[at]) for at in sorted(seconds)]


def _add(second, event):
    fields = event.fields
    if event.message == "sent":
        second.hosts.add(event.host)
        second.beliefs.append(fields["fails"])
    elif event.message == "send failed":
        second.failures[fields["fate"]] += 1
    elif event.message == "stuck":
        second.failures["stuck"] += 1
    elif event.message in LISTINGS:
        second.listings.add(fields.get("state", event.message))


def _tell(at, second):
    parts = [f"+{at} s"]
    if second.listings:
        parts.append(f"entry={','.join(sorted(second.listings))}")
    if second.beliefs:
        least, most = min(second.beliefs), max(second.beliefs)
        parts.append(f"sends={len(second.beliefs)} hosts={len(second.hosts)}")
        parts.append(f"fails={least:.2f}..{most:.2f}")
    parts += [f"{kind}={count}" for kind, count in sorted(second.failures.items())]
    return " ".join(parts)

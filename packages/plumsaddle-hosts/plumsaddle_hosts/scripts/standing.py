"""
What the hosts saw of one target, second by second, from their logs, and under which
requests targets have ended.
"""

from collections import Counter, defaultdict

LISTINGS = {"listed", "unlisted", "lapsed"}


class _Second:
    """What happened at a target in one second, over all hosts."""

    def __init__(self):
        self.hosts = set()
        self.beliefs = []
        # The learned paces that sends expected, and their reasons but for the score.
        self.paces = []
        self.rules = Counter()
        self.failures = Counter()
        self.listings = set()
        # The rate limits that it named, None for one that ended, and on whose word.
        self.limits = set()
        self.limit_hosts = set()
        self.waits = []
        # Hosts that learned that it is draining, and the backoffs that it asked for.
        self.drain_hosts = set()
        self.backoffs = []


def tell_standing(events, target):
    """
    Return a line for each second in which something was seen of a target.

    Args:
      events: A list of `Event`.
      target: The target's id.
    Returns:
      Texts, with times in seconds from the target's first line: how many sends began
      and from how many hosts, the least and greatest probability of failing that they
      were given, the least and greatest learned pace if a target isn't as fast as
      usual, the sends that were trials or probes, the rate limits that hosts learned
      it names, how many hosts did, the longest wait for a token, how many hosts learned
      that it is draining, the longest backoff that it asked for and how often, and the
      failures by kind. The list is empty if no line names it.
    """
    own = [event for event in events if event.fields.get("target") == target]
    seconds = defaultdict(_Second)
    for event in own:
        _add(seconds[int(event.at - own[0].at)], event)
    return [_tell(at, seconds[at]) for at in sorted(seconds)]


def find_key(events, name):
    """Return the key that a name is, or that a request of that id bears, or None."""
    for event in events:
        key = event.fields.get("key")
        if key and name in (key, event.fields.get("request")):
            return key
    return None


def tell_request(events, key):
    """
    Return the story of a request under which targets have ended.

    Args:
      events: A list of `Event`.
      key: The request's key, as failed sends and refusals bear it.
    Returns:
      Texts, with times in seconds from the first line with the key: each send that
      broke, each target that ended and what else it ran, when hosts held the request
      back, and how often it was refused. The list is empty if no line bears the key.
    """
    own = [event for event in events if event.fields.get("key") == key]
    refusals = [event for event in own if event.message == "refused"]
    lines = [
        _tell_step(event, event.at - own[0].at)
        for event in own
        if event.message != "refused"
    ]
    if refusals:
        hosts = len({event.host for event in refusals})
        first, last = (refusals[i].at - own[0].at for i in (0, -1))
        lines.append(
            f"{first:+.3f} to {last:+.3f} refused={len(refusals)} hosts={hosts}"
        )
    return lines


def _tell_step(event, after):
    shown = ("request", "target", "fate", "beside", "lives", "held_for")
    fields = event.fields.items()
    told = " ".join(f"{name}={value}" for name, value in fields if name in shown)
    return f"{after:+.3f} {event.host} {event.message} {told}"


def _add(second, event):
    fields = event.fields
    if event.message == "sent":
        second.hosts.add(event.host)
        second.beliefs.append(fields["fails"])
        second.waits.append(fields.get("wait", 0.0))
        second.paces.append(fields.get("pace", 1.0))
        rule = fields.get("rule", "best")
        if rule != "best":
            second.rules[rule] += 1
    elif event.message == "send failed":
        second.failures[fields["fate"]] += 1
    elif event.message == "stuck":
        second.failures["stuck"] += 1
    elif event.message == "rate limit":
        second.limits.add(fields["rate"])
        second.limit_hosts.add(event.host)
    elif event.message == "draining notice":
        second.drain_hosts.add(event.host)
    elif event.message == "backoff notice":
        second.backoffs.append(fields["seconds"])
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
    if any(pace != 1.0 for pace in second.paces):
        parts.append(f"pace={min(second.paces):.2f}..{max(second.paces):.2f}")
    parts += [f"{rule}={count}" for rule, count in sorted(second.rules.items())]
    if any(second.waits):
        parts.append(f"wait={max(second.waits):.2f}")
    if second.limits:
        limits = sorted("none" if x is None else f"{x:g}" for x in second.limits)
        parts.append(f"limit={','.join(limits)} learned-by={len(second.limit_hosts)}")
    if second.drain_hosts:
        parts.append(f"draining-learned-by={len(second.drain_hosts)}")
    if second.backoffs:
        longest = max(second.backoffs)
        parts.append(f"backoff={longest:g} backoffs={len(second.backoffs)}")
    parts += [f"{kind}={count}" for kind, count in sorted(second.failures.items())]
    return " ".join(parts)

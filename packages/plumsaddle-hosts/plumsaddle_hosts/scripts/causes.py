"""
Why requests were not served, from the logs of all hosts.

Each request that ended without a whole answer has one cause, taken from its last send
and from what was believed when that began. Counted by service and span of seconds, the
causes tell which decision to look at: a target that was known to fail, one that nobody
could know of, a refusal that another target would not have given.
"""

import enum
from collections import Counter, defaultdict
from typing import NamedTuple

# The failure probability from which a target was in doubt when it was chosen.
DOUBT_FROM = 0.15
UNKNOWN_SERVICE = "?"


class Loss(enum.Enum):
    """Why a request was not served."""

    FLOOR_TRIAL = "floor-trial"
    PROBE = "probe"
    DOUBTED = "doubted-target"
    UNFORESEEN = "unforeseen-failure"
    OWN_FAILURE = "target's-own-500"
    SHED = "refused-by-targets"
    RETRY_DENIED = "retry-denied"
    UNREACHED = "unreached"
    NO_PATH = "no-path"
    HELD_BACK = "held-back"
    OVER_LIMIT = "over-limit"
    TARGETS_LIMITED = "targets-limited"
    BACKING_OFF = "backing-off"
    UNKNOWN_KEY = "unknown-key"
    TOO_SLOW = "too-slow"
    NO_ROOM = "no-room"
    QUEUE_FULL = "queue-full"
    WAITED_IN_VAIN = "waited"
    HOST = "host-not-able"


# Causes of refusals that say all by themselves.
BY_CAUSE = {
    "held-back": Loss.HELD_BACK,
    "over-limit": Loss.OVER_LIMIT,
    "targets-limited": Loss.TARGETS_LIMITED,
    "backing-off": Loss.BACKING_OFF,
    "queue-full": Loss.QUEUE_FULL,
    "waited": Loss.WAITED_IN_VAIN,
    "unknown-key": Loss.UNKNOWN_KEY,
    "no-path": Loss.NO_PATH,
}


class Span(NamedTuple):
    """What became of one service's requests in a span of seconds."""

    asked: int
    losses: Counter


def sum_up_causes(events, every=2.0):
    """
    Find the cause of each request that was not served.

    Args:
      events: A list of `Event` in the order of their times.
      every: The seconds of a span.
    Returns:
      A dictionary of service to the begin of a span (seconds from the first request)
      to its `Span`; empty without requests.
    """
    services = {
        event.fields["target"]: event.fields["service"]
        for event in events
        if event.message == "listed"
    }
    requests = defaultdict(list)
    for event in events:
        if "request" in event.fields:
            requests[event.fields["request"]].append(event)
    begin = min((story[0].at for story in requests.values()), default=0.0)
    asked, losses = defaultdict(Counter), defaultdict(Counter)
    for story in requests.values():
        service = _service_of(story, services)
        at = (story[0].at - begin) // every * every
        asked[service][at] += 1
        loss = _find_loss(story)
        if loss is not None:
            losses[service, at][loss] += 1
    return {
        service: {at: Span(counts[at], losses[service, at]) for at in sorted(counts)}
        for service, counts in sorted(asked.items())
    }


def _service_of(story, services):
    for event in story:
        service = event.fields.get("service") or services.get(
            event.fields.get("target")
        )
        if service:
            return service
    return UNKNOWN_SERVICE


def _find_loss(story):
    """Return the `Loss` of one request's events, or None if it was served."""
    sends = [event for event in story if event.message == "sent"]
    for event in story:
        if event.message == "answered":
            return Loss.OWN_FAILURE if event.fields["status"] >= 500 else None
    ends = [event for event in story if event.message == "refused"]
    if not ends:
        # Callers that left, and hosts that were lost with the request.
        return None
    return _loss_of_refusal(ends[-1].fields, sends[-1].fields if sends else None)


def _loss_of_refusal(refusal, send):
    """Return the `Loss` of a refused request by its refusal and last send, or None."""
    cause, last = refusal["cause"], refusal.get("last")
    if cause in ("no-route", "caller-gone"):
        return None
    if cause in BY_CAUSE:
        return BY_CAUSE[cause]
    if last == "path-lost":
        return Loss.NO_PATH
    if cause == "time-over":
        return Loss.TOO_SLOW
    if cause in ("no-room", "no-target"):
        return Loss.NO_ROOM
    if cause == "unreached" or last == "unreached":
        return Loss.UNREACHED
    if send is None:
        return Loss.HOST
    if last in ("not-run", "wrong-target"):
        has_one = len(refusal.get("targets", ())) < 2
        return Loss.RETRY_DENIED if has_one else Loss.SHED
    if send.get("rule") == "floor-trial":
        return Loss.FLOOR_TRIAL
    if send.get("rule") == "probe":
        return Loss.PROBE
    return Loss.DOUBTED if send["fails"] >= DOUBT_FROM else Loss.UNFORESEEN


def tell_causes(sums):
    """Return the lines of a table of what `sum_up_causes` returned."""
    lines = []
    for service, spans in sums.items():
        total = Counter()
        for span in spans.values():
            total.update(span.losses)
        asked = sum(span.asked for span in spans.values())
        lines.append(f"{service}: {asked} requests, {_tell(total)}")
        lines += [
            f"  +{at:g} s {span.asked} requests, {_tell(span.losses)}"
            for at, span in spans.items()
            if span.losses
        ]
    return lines


def _tell(losses):
    if not losses:
        return "all served"
    named = (f"{loss.value}={count}" for loss, count in losses.most_common())
    return f"{sum(losses.values())} not served: " + " ".join(named)

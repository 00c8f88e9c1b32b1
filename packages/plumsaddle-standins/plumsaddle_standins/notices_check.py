"""
Checks that hosts keep to what stand-in targets have announced to them.
"""

# Seconds after a draining notice from which no request of the host that got it may
# reach the target.
DRAIN_HOLDS_AFTER = 2.0
# Seconds after a rejection from which its backoff holds, and the requests of the
# rejected host that may reach the target until the backoff ends.
BACKOFF_HOLDS_AFTER = 0.5
TOLERATED_IN_BACKOFF = 2


def _never(host, since, until):
    return False


def _always(notice):
    return True


def find_ignored_notices(worker, host_of, is_excused=_never, is_delivered=_always):
    """
    Return the requests that reached a target against its notices, as texts.

    Args:
      worker: The `WorkerStandin`.
      host_of: A function that returns which host got a request from its caller, by the
        request's id.
      is_excused: A function that returns whether a host was restarted, frozen or cut
        off between two times.
      is_delivered: A function that returns whether a `Notice` has reached its host.
    """
    lines = []
    for notice in filter(is_delivered, worker.notices):
        host = host_of(notice.request_id)
        drains = notice.backoff is None
        begin = notice.at + (DRAIN_HOLDS_AFTER if drains else BACKOFF_HOLDS_AFTER)
        end = float("inf") if drains else notice.at + notice.backoff
        late = [
            seen
            for seen in worker.seen
            if begin < seen.at < end
            and host_of(seen.id) == host
            and not is_excused(host, notice.at, seen.at)
        ]
        if len(late) > (0 if drains else TOLERATED_IN_BACKOFF):
            said = "drains" if drains else f"asked for {notice.backoff:g} s"
            lines.append(f"{worker.id} {said}, and {host} sent {len(late)} requests")
    return lines

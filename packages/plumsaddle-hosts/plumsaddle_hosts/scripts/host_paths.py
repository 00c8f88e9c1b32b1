"""
When a host reached no target by itself, from its log.
"""


def tell_host_paths(events, host):
    """
    Return a line for each change of a host's paths to targets.

    Args:
      events: A list of `Event`.
      host: The host's id.
    Returns:
      Texts, with times in seconds from the host's first line, such as
      `+5.431 s partitioned (was connected), last contact 0.43 s before, failed since:
      t1, t2, t3`. The list is empty if the host logged no change.
    """
    own = [event for event in events if event.host == host]
    return [
        _tell(event, own[0].at) for event in own if event.message == "paths changed"
    ]


def _tell(event, begin):
    fields = event.fields
    names = ", ".join(fields["targets"])
    return (
        f"+{event.at - begin:.3f} s {fields['state']} (was {fields['former']}), last "
        f"contact {fields['contact_age']} s before, failed since: {names or 'none'}"
    )

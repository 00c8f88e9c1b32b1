"""
Which versions of the configuration a host had in force, from its log.
"""


def tell_host_versions(events, host):
    """
    Return a line for each version that a host put in force, and each restored store.

    Args:
      events: A list of `Event`.
      host: The host's id.
    Returns:
      Texts, with times in seconds from the host's first line, such as `+5.431 s version
      24 in force (was 21), from the store`. The list is empty if the host logged none.
    """
    own = [event for event in events if event.host == host]
    lines = (_tell(event, event.at - own[0].at) for event in own)
    return [line for line in lines if line is not None]


def _tell(event, after):
    fields = event.fields
    if event.message == "version":
        former = fields.get("former")
        return (
            f"+{after:.3f} s version {fields['version']} in force (was "
            f"{former or 'none'}), from the {fields.get('source', 'store')}"
        )
    if event.message == "store restored":
        return (
            f"+{after:.3f} s {fields['topic']} listed again in era {fields['era']} "
            f"(was {fields['former_era']}), at {fields['at']} (was {fields['former']})"
        )
    return None

"""
Which of a large service's targets a host keeps to.

With hundreds of targets before a host that sends ten requests a second, no connection
is used twice before its target closes it, and each choice weighs hundreds of targets.
So a host keeps to a few dozen, drawn by a hash of its id and theirs: the same ones as
long as they live, others for other hosts, so that each target has its hosts. A target
that joins or leaves changes only one place of some hosts' draws. When none of them is
a good choice, all targets of the service are weighed.
"""

import zlib

# Targets that a host keeps to, in its own data centre and in the others together. A
# third of the targets may fail at once and others be full, and of thirty there are
# still some that are idle; with 45 hosts each target has five or more.
NEAR_MOST = 32
AWAY_MOST = 16
# Below this value of the best one (shares of a request's value) all are weighed. An
# idle sound target has 0.9 and more, a full one about 0.7.
WIDEN_BELOW = 0.65


def draw_subset(targets, host, centre):
    """
    Return the targets that a host keeps to.

    Args:
      targets: The usable `Target`s of one service.
      host: The host's id.
      centre: The host's data centre.
    Returns:
      A list; all targets if there are few.
    """
    if len(targets) <= NEAR_MOST + AWAY_MOST:
        return list(targets)
    ranked = sorted(targets, key=lambda t: zlib.crc32(f"{host} {t.life}".encode()))
    near = [target for target in ranked if target.centre == centre]
    away = [target for target in ranked if target.centre != centre]
    return near[:NEAR_MOST] + away[:AWAY_MOST]

"""
How many requests a target may have in flight for a request of some urgency to join it.

The load it answers: more urgent and less urgent requests than all targets have slots
for, arriving at many hosts that do not coordinate. Every host knows the requests in
flight at each target, as other hosts report them. The more urgent a request, the more
requests it may join at a target. So urgent requests find room on every host, while less
urgent ones wait on theirs, without a message about ranks.

The least urgent ones may join a few as well: a slot that came free is noticed about as
late as a short request takes, so it needs a request that already queues there. The
depth is bounded by the slots, since what queues at a target is served in any order.
"""

# Requests that may queue at a target for each of its slots: before any may join it, and
# in addition before the most urgent ones.
BASE_DEPTH_PER_SLOT = 1.0
URGENT_DEPTH_PER_SLOT = 1.0
# The part of the time that a request may wait after which its urgency rises, so that
# less urgent requests are not passed over until their time is up.
AGING_START = 0.5
# The urgency that a request keeps once it probably misses its objective. Its response
# is worth less then, and does not lose more value until its deadline.
LATE_URGENCY_FACTOR = 0.5


def effective_urgency(urgency: float, waited: float, patience: float) -> float:
    """
    Return the urgency of a request that has waited, from 0.0 to 1.0.

    Args:
      urgency: The urgency of its rank, from 0.0 to 1.0.
      waited: The seconds that it has waited.
      patience: The seconds that it may wait in total and still meet its objective.
    """
    if waited >= patience:
        return urgency * LATE_URGENCY_FACTOR
    progress = (waited / patience - AGING_START) / (1.0 - AGING_START)
    return urgency + (1.0 - urgency) * max(0.0, progress)


def max_in_flight(slots: int, urgency: float) -> int:
    """
    Return the requests in flight below which a request may join a target.

    Args:
      slots: The target's slots.
      urgency: The urgency of the request, from `effective_urgency`.
    """
    slots = max(1, slots)
    depth = BASE_DEPTH_PER_SLOT + URGENT_DEPTH_PER_SLOT * urgency
    return slots + round(slots * depth)

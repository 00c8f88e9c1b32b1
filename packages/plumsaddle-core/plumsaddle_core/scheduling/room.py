"""
How many requests a target may have in flight for a request of some urgency to join it.

The load it answers: more urgent and less urgent requests than all targets have slots
for, arriving at many hosts that do not coordinate. Every host knows the requests in
flight at each target, as other hosts report them. The least urgent requests join a
target only while it has a free slot, and the more urgent ones also some that queue
there. So urgent requests find room on every host, while less urgent ones wait on
theirs, without a message about ranks.

An urgent request that queues at a target is served there after the running ones, so
the extra depth is bounded by the slots: it delays a response by at most one duration.
"""

# Requests beyond the slots that the most urgent ones may let queue, for each slot.
EXTRA_DEPTH_PER_SLOT = 1.0
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
    return slots + round(slots * EXTRA_DEPTH_PER_SLOT * urgency)

"""
A host's view of the targets of one service, from which decisions are made.

The load it answers: many hosts choose among the same targets by requests in flight that
they know with a delay. While room is scarce, all would choose the same few targets that
looked free. Each then chooses between two targets taken at random from the sound ones
with room, which is known as the power of two choices and holds up with old information.
"""

from typing import NamedTuple

from ..core.ids import TargetId
from .decision import SOUND_FAILURE_PROBABILITY, Outlook
from .room import max_in_flight

# Seconds after which requests in flight at other hosts are known.
REPORT_DELAY = 0.15
# Room is scarce if it is less than this many times the requests that all hosts receive
# within `REPORT_DELAY`.
SCARCE_FACTOR = 1.5
# Targets among which a request chooses while room is scarce.
CHOICES = 2


class TargetLoad(NamedTuple):
    """The load of a target that may be sent to, and its failure probability."""

    id: TargetId
    slots: int
    in_flight: int
    failure_probability: float

    @property
    def is_sound(self):
        """Whether the target probably serves a request."""
        return self.failure_probability <= SOUND_FAILURE_PROBABILITY


class ServiceView(NamedTuple):
    """
    The targets of a service as one host sees them.

    `is_scarce` tells whether hosts may be competing for the room that is left, counted
    for the least urgent requests. `capacity` is
    the expected number of slots of all targets that serve what they get.
    """

    loads: tuple[TargetLoad, ...]
    outlook: Outlook
    is_scarce: bool
    capacity: float


def make_view(loads, waiting, demand):
    """
    Return the `ServiceView` of a service.

    Args:
      loads: The `TargetLoad` of each target.
      waiting: About how many requests wait on all hosts.
      demand: The requests per second that all hosts receive for the service.
    """
    sound = [load for load in loads if load.is_sound]
    open_slots = sum(max(0, load.slots - load.in_flight) for load in sound)
    failures = sum(load.failure_probability for load in sound)
    outlook = Outlook(
        sum(load.slots for load in sound),
        open_slots,
        failures / len(sound) if sound else 1.0,
        waiting,
    )
    room = sum(
        max(0, max_in_flight(load.slots, 0.0) - load.in_flight) for load in sound
    )
    is_scarce = room < SCARCE_FACTOR * demand * REPORT_DELAY
    capacity = sum(load.slots * (1.0 - load.failure_probability) for load in loads)
    return ServiceView(tuple(loads), outlook, is_scarce, capacity)


def crowded_targets(view, tried, urgency, rng):
    """
    Return the ids of targets that a request should not join now.

    These are the full ones and, while room is scarce, all but a few of the others.

    Args:
      view: The `ServiceView`.
      tried: The ids of targets that the request must not be sent to.
      urgency: The request's urgency, from `room.effective_urgency`.
      rng: A `random.Random`.
    """
    crowded = {
        load.id
        for load in view.loads
        if load.in_flight >= max_in_flight(load.slots, urgency)
    }
    if not view.is_scarce:
        return crowded
    eligible = [
        load.id
        for load in view.loads
        if load.is_sound and load.id not in crowded and load.id not in tried
    ]
    if len(eligible) <= CHOICES:
        return crowded
    kept = set(rng.sample(eligible, CHOICES))
    return {load.id for load in view.loads if load.id not in kept}

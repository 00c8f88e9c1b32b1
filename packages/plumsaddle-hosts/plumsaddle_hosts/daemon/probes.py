"""
Probe targets in trial whose service has a probe path.

A service with nothing but orders has no idempotent request to try a target with.
The probe goes the way of real work and counts as a try like any other.
"""

from multidict import CIMultiDict

from plumsaddle_core.core.data import HealthState, RequestKind

from ..back.sender import Outgoing
from ..back.tries import run_try
from ..front.headers import TIMEOUT


def start_probes(host, now):
    """
    Send a probe to each idle target in trial.

    Args:
      host: The host's parts.
      now: The present, on the loop's clock.
    """
    for state in host.services.values():
        if state.service.probe_path is None:
            continue
        for member in state.pool.members.values():
            if member.health is HealthState.TRIAL and member.in_flight == 0:
                state.pool.acquire(member)
                host.spawn(_probe(host, state, member, now))


async def _probe(host, state, member, now):
    """Run one probe; its sign is weighed by the try itself."""
    timeout = state.service.stall_timeout
    headers = CIMultiDict({TIMEOUT: str(int(timeout * 1000))})
    outgoing = Outgoing("GET", state.service.probe_path, headers, None, now + timeout)
    result = await run_try(host, state, member, reference_kind(state), outgoing)
    answer = result.value_or(None)
    if answer is not None and answer.rest is not None:
        answer.rest.close(None)


def reference_kind(state):
    """
    Return the kind of request whose latencies a probe is compared with.

    Among probes alone a slow target would be compared with itself, since only
    targets that were taken out are probed, and would always pass.

    Args:
      state: The `ServiceState`.
    Returns:
      The kind of the service's own work if its usual latency is known.
    """
    for kind in (RequestKind.ORDER, RequestKind.IDEMPOTENT):
        if state.latencies[kind].slow_after() is not None:
            return kind
    return RequestKind.IDEMPOTENT

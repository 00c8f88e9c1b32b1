"""Tests of probes."""

import random

from plumsaddle_core.core.data import HealthSignal, RequestKind, Service, Target
from plumsaddle_core.ops.health_signals import signal_of_result

from ..back.services import ServiceState
from .probes import reference_kind


async def ask_nobody(service, deadline):
    """Go direct, as without a keeper."""


def make_state():
    target = Target("t", "10.0.0.1:80", "x")
    service = Service("s", 1, 4, 44, (target,))
    return ServiceState(service, 4, "h@1", str, ask_nobody, random.Random(1))


def test_slow_probe_of_an_order_service_is_slow():
    """
    A target that is ten times too slow passes its trials and gets orders again.

    Its service has nothing but orders, so the only look-ups are the probes of this
    very target, and compared with themselves they are as fast as ever.
    """
    state = make_state()
    for _ in range(20):
        state.latencies[RequestKind.ORDER].note_latency(0.02)
        state.latencies[RequestKind.IDEMPOTENT].note_latency(0.2)
    kind = reference_kind(state)
    assert signal_of_result(kind, None, 0.2, state.latencies[kind]) is HealthSignal.SLOW


def test_probe_of_a_service_without_latencies_counts_as_a_lookup():
    assert reference_kind(make_state()) is RequestKind.IDEMPOTENT

"""
Tests of the order in which pipelined requests begin.
"""

import pytest
from hypothesis import given, strategies as st

from ..core.traffic import PipelineLimits
from .pipeline import RESPONSE_RESERVE, HostPipelines, Pipeline, PipelinedRequest

LIMITS = PipelineLimits(4, 8 * RESPONSE_RESERVE, 6, 64 * RESPONSE_RESERVE)


def _pipeline(host, kinds):
    """Return a pipeline of requests, each `look`, `act` or `end`, and what began."""
    begun = []
    requests = [PipelinedRequest(kind != "act", kind == "end", 100) for kind in kinds]
    pipeline = Pipeline(host, begun.append, requests[0])
    for request in requests[1:]:
        pipeline.append(request)
    pipeline.begin_ready()
    return pipeline, requests, begun


@pytest.mark.parametrize(
    ("kinds", "count"),
    [
        (["look"] * 4, 3),
        (["look"] * 9, 3),
        (["look", "act", "look"], 0),
        (["act", "look"], 0),
        (["look", "look", "act", "look"], 1),
        (["look", "end", "look"], 1),
    ],
)
def test_repeatable_requests_begin_up_to_a_barrier(kinds, count):
    """Guards against an order that begins behind a response that may close."""
    _, requests, begun = _pipeline(HostPipelines(LIMITS), kinds)
    assert begun == requests[1 : 1 + count]


def test_what_stands_behind_an_order_waits_for_its_response():
    """Guards against a lookup that overtakes the order sent before it."""
    host = HostPipelines(LIMITS)
    pipeline, requests, begun = _pipeline(host, ["look", "act", "look"])
    pipeline.note_answer(requests[0], 0)
    pipeline.advance()
    pipeline.begin_ready()
    assert not begun
    pipeline.note_answer(requests[1], 0)
    pipeline.begin_ready()
    assert begun == [requests[2]]
    assert host.waited_count == 1


def test_what_began_behind_a_closing_response_is_cancelled():
    """Guards against work for requests that callers send again."""
    host = HostPipelines(LIMITS)
    pipeline, requests, begun = _pipeline(host, ["look"] * 4)
    cancelled = pipeline.end_after(requests[1])
    assert set(cancelled) == set(requests[2:])
    pipeline.append(PipelinedRequest(True, False, 100))
    pipeline.begin_ready()
    assert len(begun) == 3
    assert host.requests == 1


def test_one_connection_leaves_room_for_others():
    """Guards against a caller's hundred requests that occupy all of a host."""
    host = HostPipelines(LIMITS)
    _pipeline(host, ["look"] * 100)
    _, requests, begun = _pipeline(host, ["look"] * 3)
    assert begun == requests[1:3]


def test_connections_get_the_room_of_a_host_in_turn():
    """Guards against a connection that takes all room that others release."""
    host = HostPipelines(LIMITS)
    first, requests, _ = _pipeline(host, ["look"] * 4)
    _pipeline(host, ["look"] * 4)
    waiting = [_pipeline(host, ["look"] * 4) for _ in range(3)]
    assert host.requests == LIMITS.requests_per_host
    first.end_after(requests[0])
    assert [len(begun) for _, _, begun in waiting] == [1, 1, 1]


def test_large_responses_that_wait_stop_further_requests():
    """Guards against a host that holds many responses behind a slow one."""
    host = HostPipelines(LIMITS)
    pipeline, requests, begun = _pipeline(host, ["look"] * 3)
    pipeline.note_answer(requests[1], 8 * RESPONSE_RESERVE)
    assert pipeline.is_full
    pipeline.append(PipelinedRequest(True, False, 100))
    pipeline.begin_ready()
    assert len(begun) == 2


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 5)), max_size=60))
def test_any_course_keeps_the_order_and_the_bounds(steps):
    """Guards against room that is never released, and against an order out of turn."""
    host = HostPipelines(LIMITS)
    pipelines = [_pipeline(host, ["look"])[0] for _ in range(3)]
    for step, draw in steps:
        number = draw % len(pipelines)
        pipeline = pipelines[number]
        if step <= 1:
            pipeline.append(PipelinedRequest(step == 0, draw == 5, 100))
        elif step == 2:
            for request in pipeline._requests:
                if request.is_begun and not request.is_answered:
                    pipeline.note_answer(request, draw * 1000)
                    break
        elif step == 3 and len(pipeline._requests) > 1 and pipeline.first.is_answered:
            pipeline.advance()
        elif step == 4:
            pipeline.end_after(pipeline.first)
        pipeline.begin_ready()
        assert host.requests <= LIMITS.requests_per_host
        for one in pipelines:
            _check(one)
    for pipeline in pipelines:
        pipeline.close()
    assert (host.requests, host.bytes) == (0, 0)


def _check(pipeline):
    """Check that nothing began behind a barrier or a closing response."""
    requests = list(pipeline._requests)
    for number, request in enumerate(requests[1:], 1):
        if request.is_begun:
            assert request.is_repeatable
            assert not any(r.is_barrier or r.is_last for r in requests[:number])

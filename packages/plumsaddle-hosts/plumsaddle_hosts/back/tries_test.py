"""
What a try takes from the answers of targets.
"""

import asyncio
import types

import pytest
from multidict import CIMultiDict
from returns.result import Success

from plumsaddle_core.core.data import RequestKind

from . import tries
from .sender import Answer


@pytest.mark.parametrize("status", [200, 429, 500])
@pytest.mark.parametrize("text", ["draining", "Leaving", " draining "])
def test_an_answer_of_any_status_tells_that_its_target_drains(
    status, text, monkeypatch
):
    """Guards against work for a leaving target that is full and sheds requests."""
    marked = []
    host = types.SimpleNamespace(
        session=None,
        note_leaving=marked.append,
        metrics=types.SimpleNamespace(
            tries=types.SimpleNamespace(inc=lambda labels: None)
        ),
    )
    service = types.SimpleNamespace(shed_status=[429], stall_timeout=1.0)
    target = types.SimpleNamespace(key="t1@a", id="t1", address="a")
    member = types.SimpleNamespace(target=target)
    state = types.SimpleNamespace(
        service=service,
        start_try=lambda member, *args: types.SimpleNamespace(member=member),
        end_try=lambda *args: None,
    )

    async def answer(*args):
        return Success(Answer(status, CIMultiDict({"X-Target-State": text}), b""))

    monkeypatch.setattr(tries, "send", answer)
    asyncio.run(tries.run_try(host, state, member, RequestKind.ORDER, None))
    assert marked == ["t1@a"]

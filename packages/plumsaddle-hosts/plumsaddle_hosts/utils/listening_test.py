"""
Tests of opening listeners whose addresses are not free yet.
"""

import asyncio

from . import listening
from .listening import open_when_free


def test_a_listener_is_opened_once_its_address_is_free(monkeypatch):
    """Guards against a process that ends since one of its ports is taken."""
    monkeypatch.setattr(listening, "RETRY_INTERVAL", 0.001)
    attempts, reports = [], []

    async def open_once():
        attempts.append("open")
        if len(attempts) < 7:
            raise OSError(98, "Address already in use")
        return "listener"

    opening = open_when_free(
        open_once, reports.append, lambda: attempts.append("retry")
    )
    assert asyncio.run(opening) == "listener"
    assert attempts == ["open", "retry"] * 3 + ["open"]
    # Not once for each attempt.
    assert [exc.errno for exc in reports] == [98]

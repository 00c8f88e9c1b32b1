"""
Tests of how the rest of a long response is read.
"""

import asyncio

from .target_connection import Exchange
from .verdict import MAX_PART, ReplyRest, classify_head


class _Connection:
    resumed = 0

    def resume_reading(self):
        self.resumed += 1


def test_a_slow_caller_holds_no_part_of_a_response_twice():
    """Guards against hosts that outgrow their memory with slow callers."""

    async def run():
        exchange, connection = Exchange(b"id-1"), _Connection()
        exchange.status = 200
        exchange.body += bytes(2 * MAX_PART)
        rest = ReplyRest(exchange, connection, 1.0)
        _, reply = classify_head(exchange, rest)
        assert (reply.body, rest.held) == (b"", 2 * MAX_PART)
        assert len(await rest.read()) == MAX_PART
        assert not connection.resumed
        assert len(await rest.read()) == MAX_PART
        assert connection.resumed and not rest.held

    asyncio.run(run())

"""
A timeout that reads what has arrived before it expires.
"""

import asyncio
import contextlib

# Seconds after a timeout in which sockets are polled once more.
POLL_TIME = 0.02


@contextlib.asynccontextmanager
async def polled_timeout_at(due_at):
    """
    Cancel the enclosed code at a time as `asyncio.timeout_at` does, `POLL_TIME` later.

    If this process has not run for a while, a response in time may wait to be read when
    the timeout is due. Otherwise a target would be blamed for its host:

        async with polled_timeout_at(loop.time() + 1.0):
            await reader.read()

    Args:
      due_at: The time in seconds, on the clock of the event loop. None if there is no
        timeout.
    Raises:
      TimeoutError: If the enclosed code was cancelled.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as timeout:
        if due_at is None:
            yield
            return
        timer = loop.call_at(
            due_at, lambda: timeout.reschedule(loop.time() + POLL_TIME)
        )
        try:
            yield
        finally:
            timer.cancel()

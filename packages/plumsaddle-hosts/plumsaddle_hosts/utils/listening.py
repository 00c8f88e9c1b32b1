"""
Opens the listeners of a process once the machine has their ports and addresses.

A port may belong to the process before for a while, or be the local port of somebody's
outgoing connection, and an address may not be configured yet.
"""

import asyncio
import socket

RETRY_INTERVAL = 0.1
# Seconds between two reports of a listener that can't be opened.
REPORT_INTERVAL = 5.0


async def complete_unless_stopped(work, stop):
    """
    Run a coroutine to its end, unless an event is set before.

    Args:
      work: The coroutine, which is cancelled then.
      stop: The `asyncio.Event`.
    Returns:
      Whether it has ended by itself.
    """
    loop = asyncio.get_running_loop()
    working, stopping = loop.create_task(work), loop.create_task(stop.wait())
    await asyncio.wait({working, stopping}, return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if working.done():
        working.result()
        return True
    working.cancel()
    await asyncio.wait({working})
    return False


def set_backlog(sock, backlog):
    """
    Let the kernel hold connections until they are accepted.

    asyncio accepts as many in one turn as its own backlog says, and each takes a
    descriptor before any can be closed.

    Args:
      sock: The listening socket.
      backlog: How many.
    """
    listener = socket.socket(fileno=sock.fileno())
    try:
        listener.listen(backlog)
    finally:
        listener.detach()


async def open_when_free(open_once, report, before_retry=lambda: None):
    """
    Open a listener, and wait while its address is not free.

    Args:
      open_once: A coroutine function that opens it or raises `OSError`.
      report: Called now and then with the exception, to log it.
      before_retry: Called before each further attempt.
    Returns:
      What `open_once` returned.
    """
    loop = asyncio.get_running_loop()
    reported_at = None
    while True:
        try:
            return await open_once()
        except OSError as exc:
            at = loop.time()
            if reported_at is None or at >= reported_at + REPORT_INTERVAL:
                reported_at = at
                report(exc)
        await asyncio.sleep(RETRY_INTERVAL)
        before_retry()

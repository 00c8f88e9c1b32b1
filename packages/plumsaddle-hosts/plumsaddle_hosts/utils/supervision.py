"""
Keeps the parts of a process running.
"""

import asyncio
import logging

log = logging.getLogger("supervision")
# Seconds until a part that failed is started again.
RESTART_DELAY = 1.0


async def keep_running(name, run):
    """
    Run a part until it ends or is cancelled, and again after an exception.

    Args:
      name: The part's name, for the log.
      run: A coroutine function.
    """
    while True:
        try:
            return await run()
        except Exception:
            log.error("part failed", extra={"part": name}, exc_info=True)
        except asyncio.CancelledError:
            if asyncio.current_task().cancelling():
                raise
            # Something that the part waited for was cancelled, not the part.
            log.error("part failed", extra={"part": name}, exc_info=True)
        await asyncio.sleep(RESTART_DELAY)

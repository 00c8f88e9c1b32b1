"""
The commands for requests that hosts hold back since targets have ended under them.
"""

import time

import msgspec
from returns.result import Failure

from plumsaddle_core.ops.suspects import CRASH_THRESHOLD

from ..edge.stored import TOPIC, decode_record
from .common import DEFAULT_SETTINGS, DONE, NO_ANSWER, NOT_KNOWN, run_with, say


def held(settings=DEFAULT_SETTINGS):
    """
    List the requests under which targets have ended, as the platform's store knows.

    Args:
      settings: Where the platform is.
    """

    async def work(session, platform, cfg):
        result = await platform.list_newest(TOPIC)
        if isinstance(result, Failure):
            say(f"The store did not answer: {result.failure().value}")
            return NO_ANSWER
        for record in result.unwrap().records:
            say(_tell(record))
        return DONE

    run_with(settings, work)


def _tell(record):
    try:
        known = decode_record(record.value)
    except (msgspec.DecodeError, RecursionError) as exc:
        return f"{record.key}  unusable: {exc}"
    ended = len(known.ended)
    is_enough = ended - len(known.answered) >= CRASH_THRESHOLD
    standing = "enough to be held back" if is_enough else "suspect"
    ago = round(time.time() - known.at)
    return (
        f"{record.key}  {standing}: {ended} targets ended, the last {ago} s ago, "
        f"{len(known.answered)} answered"
    )


def release(key, settings=DEFAULT_SETTINGS):
    """
    Let a request through again, at all hosts.

    Args:
      key: The request's key.
      settings: Where the platform is.
    """

    async def work(session, platform, cfg):
        listed = await platform.list_newest(TOPIC)
        if isinstance(listed, Failure):
            say(f"The store did not answer: {listed.failure().value}")
            return NO_ANSWER
        if str(key) not in {record.key for record in listed.unwrap().records}:
            say(f"The store knows of no request with the key {key}.")
            return NOT_KNOWN
        result = await platform.put(TOPIC, {str(key): b""})
        if isinstance(result, Failure):
            # It may have been done all the same, and doing it twice does no harm.
            say(f"Not known whether it was done: {result.failure().value}. Try again.")
            return NO_ANSWER
        say(f"{key} is let through.")
        return DONE

    run_with(settings, work)

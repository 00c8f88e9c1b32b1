"""
What the commands share: how they read their settings, speak and end.
"""

import asyncio
import sys
from pathlib import Path
from typing import Annotated, NamedTuple

import aiohttp
from pydantic import Field
from returns.result import Failure

from plumsaddle_core.core.data import AddressText, Platform
from plumsaddle_core.parser.text import parse_text

from ..platform.store import Store

DONE = 0
NO_ANSWER = 1
MISTAKE = 2
REFUSED = 3
NOT_KNOWN = 4
NOT_EVERYWHERE = 5
DEFAULT_SETTINGS = "plumsaddle.toml"
# Until the hosts show what the log took, in seconds.
VERDICT_WAIT = 10.0
LOOK_EVERY = 0.1


class OperatorSettings(NamedTuple):
    """Where the platform's log is, and the operators' listeners of the hosts."""

    platform: Annotated[str, Field(pattern=r"^https?://")]
    hosts: tuple[AddressText, ...] = ()


def say(text):
    """Print a line of the answer."""
    print(text)


def fail(text, code):
    """Print why a command ends, and end it with an exit code."""
    print(text, file=sys.stderr)
    sys.exit(code)


def read_text(path):
    """Return a file's text, or exit."""
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        return fail(f"{path}: {exc}", MISTAKE)


def _read_settings(path):
    """Return the checked settings of the command line, or exit."""
    result = parse_text(read_text(path), str(path), OperatorSettings)
    if isinstance(result, Failure):
        fail("\n".join(map(str, result.failure())), MISTAKE)
    return result.unwrap()


def run_with(settings, work):
    """Run a coroutine function with a session, the platform and the settings."""
    cfg = _read_settings(settings)

    async def run():
        async with aiohttp.ClientSession() as session:
            platform = Store(
                session, cfg.platform, Platform(cfg.platform).append_timeout
            )
            return await work(session, platform, cfg)

    sys.exit(asyncio.run(run()))

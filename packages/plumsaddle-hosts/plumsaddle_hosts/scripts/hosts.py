"""
The entry hosts as the command line asks them, over their operators' listeners.
"""

import asyncio
import json
import sys

import aiohttp

ASK_TIMEOUT = 2.0
# The most bytes of an answer.
MAX_ANSWER = 64_000_000


async def ask_host(session, address, path):
    """
    Ask one host.

    Args:
      session: An `aiohttp.ClientSession`.
      address: The host's operators' listener.
      path: The path to ask for.
    Returns:
      The JSON value, or None if the host gave none.
    """
    timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT)
    try:
        async with session.get(f"http://{address}{path}", timeout=timeout) as resp:
            return await _read_value(resp, address) if resp.status == 200 else None
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
        return None


async def _read_value(resp, address):
    """Return the JSON value of a response, or None if it is too long."""
    data = bytearray()
    async for part in resp.content.iter_any():
        data += part
        if len(data) > MAX_ANSWER:
            print(f"{address}: the answer is too long", file=sys.stderr)
            return None
    return json.loads(data)


async def ask_all(session, addresses, path):
    """Return the answers of all hosts, by address; None where there was none."""
    answers = await asyncio.gather(
        *(ask_host(session, address, path) for address in addresses)
    )
    return dict(zip(addresses, answers, strict=True))

"""
The memory of processes that a test has started.
"""

import asyncio
from pathlib import Path

BYTES_PER_KIBIBYTE = 1024
POLL_INTERVAL = 0.02


def read_peak(pid):
    """Return the most resident bytes that a process has had."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * BYTES_PER_KIBIBYTE
    raise ValueError(f"process {pid} has ended")


async def watch_memory(host, seconds, limit):
    """
    Watch a host's memory, and kill it as the platform does once it is over its limit.

    Args:
      host: The `HostProcess`.
      seconds: For how long.
      limit: In bytes.
    Returns:
      The most resident bytes so far.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while (peak := read_peak(host.process.pid)) <= limit and loop.time() < end:
        await asyncio.sleep(POLL_INTERVAL)
    if peak > limit:
        host.process.kill()
    return peak

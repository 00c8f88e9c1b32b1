"""
Callers of large responses: some read at once, some slowly, some not at all.
"""

import asyncio
import time

import aiohttp

from .callers import ASKERS, PATIENCE, Ended
from .trial import HOST_NAME
from .worker import LONG_BODY, Mode

PATH = "/file/a"
TIME_LEFT_MS = 4000
# Requests a second.
RATE = 6.0
# The shares of callers that read slowly and that read nothing.
SLOW, STALLED = 0.3, 0.2
CHUNK = 65536
# Seconds between two reads of a slow caller.
PAUSE = 0.1
# Seconds for which a target cuts its responses, and between two such times.
CUT_FOR, CUT_EVERY = 0.7, 2.0


class DownloadCallers:
    """
    Callers that request large responses of any host.

    Args:
      hosts: The `HostProcess` objects.
      rng: A `random.Random`.
    """

    def __init__(self, hosts, rng):
        self._hosts = hosts
        self._rng = rng
        self._began = time.monotonic()
        self.ended = []

    async def run(self, seconds):
        """Send for some seconds, and wait for the last responses."""
        async with aiohttp.ClientSession() as session:
            asked = []
            while self._at() < seconds:
                await asyncio.sleep(self._rng.expovariate(RATE))
                asked.append(asyncio.create_task(self._ask(session, len(asked))))
            await asyncio.gather(*asked)

    def _at(self):
        return time.monotonic() - self._began

    async def _ask(self, session, number):
        request_id = f"d-{number}"
        draw = self._rng.random()
        pause = PAUSE if draw < SLOW else 0.0
        if draw > 1.0 - STALLED:
            pause = TIME_LEFT_MS / 1000
        host = self._rng.choice(self._hosts)
        started = self._at()
        status, is_whole = None, False
        headers = {
            "Host": HOST_NAME,
            "Request-Id": request_id,
            "Deadline-Ms": str(TIME_LEFT_MS),
            "Authorization": f"Bearer {ASKERS[0].key}",
        }
        try:
            async with session.get(
                f"http://127.0.0.1:{host.callers}{PATH}",
                headers=headers,
                timeout=aiohttp.ClientTimeout(TIME_LEFT_MS / 1000 + PATIENCE),
            ) as resp:
                body = await _read(resp, pause)
                status = resp.status
                signature = resp.headers.get("Response-Signature", "")
                is_signed = signature.endswith("." + request_id)
                is_whole = status == 200 and body == LONG_BODY and is_signed
        except (aiohttp.ClientError, TimeoutError):
            # The response broke off, which its caller noticed.
            pass
        seconds = self._at() - started
        self.ended.append(
            Ended(request_id, PATH, started, seconds, status, is_whole, ASKERS[0].name)
        )


async def _read(resp, pause):
    """Read a response with a pause after each part."""
    body = bytearray()
    while part := await resp.content.read(CHUNK):
        body += part
        if pause:
            await asyncio.sleep(pause)
    return bytes(body)


async def cut_at_times(workers, rng):
    """Let one target after the other cut its responses for a while."""
    for worker in workers:
        worker.mode = Mode.LONG
    while True:
        worker = rng.choice(workers)
        await asyncio.sleep(rng.expovariate(1 / CUT_EVERY))
        worker.mode = Mode.LONG_CUT
        await asyncio.sleep(CUT_FOR)
        worker.mode = Mode.LONG

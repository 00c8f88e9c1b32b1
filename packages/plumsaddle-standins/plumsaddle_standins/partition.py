"""
A fleet for tests whose hosts can be partitioned from targets, and its callers.
"""

import asyncio
import random

import aiohttp

from .host_link import CUTS, HostLink, connect_through
from .trial import Trial

HOSTS = 6
PATHS = (("/look/", "GET", 0.4), ("/act/", "POST", 0.5), ("/up/", "POST", 0.1))
UPLOAD = bytes(range(256)) * 200
RATE = 60.0
# What the users' rule tolerates.
MIN_SHARE_OF_OTHERS = 2 / 3
TOLERATED_FAILURES = 10
TOLERATED_FAILURE_SHARE = 1 / 50


class Partition:
    """A `Trial` whose hosts reach targets through a `HostLink` each."""

    def __init__(self, seed=1, hosts=HOSTS, **options):
        options = {"targets": 4, "centres": ("x", "y"), **options}
        self.trial = Trial(hosts=hosts, **options)
        self.links = []
        self._rng = random.Random(seed)
        self._count = 0
        # Ids of requests that may run more than once.
        self.repeatable = set()

    async def __aenter__(self):
        await self.trial.__aenter__()
        for host in self.trial.hosts:
            link = HostLink()
            await link.start()
            host.connector.create_connection = connect_through(link.address)
            self.links.append(link)
        return self

    async def __aexit__(self, *exc_info):
        for link in self.links:
            link.heal()
            link.stop()
        await self.trial.__aexit__(*exc_info)

    def cut(self, form, hosts):
        """Partition some hosts, by number, from all targets."""
        for number in hosts:
            self.links[number].cut(CUTS[form])

    async def load(self, seconds):
        """
        Send requests to all hosts for some seconds, once each.

        Returns:
          A list of host number, request id, and status or None without a response.
        """
        asked = []
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await asyncio.sleep(self._rng.expovariate(RATE))
            asked.append(asyncio.create_task(self._ask()))
        return await asyncio.gather(*asked)

    async def _ask(self):
        self._count += 1
        number = self._rng.randrange(len(self.trial.hosts))
        path, method, _ = self._rng.choices(PATHS, [p[2] for p in PATHS])[0]
        request_id = f"r-{self._count}"
        if path == "/look/":
            self.repeatable.add(request_id)
        body = UPLOAD if path == "/up/" else None
        try:
            status, _, _ = await self.trial.ask(
                f"{path}{self._count}", request_id, method, body, host=number, left=2000
            )
        except aiohttp.ClientError:
            status = None
        return number, request_id, status

    def runs(self, request_id):
        """Return how often a request ran at any target."""
        return sum(w.runs[request_id] for w in self.trial.workers.values())


def find_worse_served(results, cut):
    """Return a text if the callers of partitioned hosts were served far worse."""
    at_cut = [status for number, _, status in results if number in cut]
    at_others = [status for number, _, status in results if number not in cut]
    served = at_cut.count(200)
    failed = len(at_cut) - served
    share = served / max(1, len(at_cut))
    share_of_others = at_others.count(200) / max(1, len(at_others))
    all_failed = sum(status != 200 for _, _, status in results)
    is_worse = not at_others or share < MIN_SHARE_OF_OTHERS * share_of_others
    if is_worse and failed > TOLERATED_FAILURES + TOLERATED_FAILURE_SHARE * all_failed:
        return f"{served} of {len(at_cut)}, others {share_of_others:.2f}"
    return None


def find_untrue(partition, results):
    """Return the ids of requests that ran twice, or despite a promise."""
    untrue = []
    for _, request_id, status in results:
        runs = partition.runs(request_id)
        is_promise = status in (408, 421, 429, 503)
        may_repeat = request_id in partition.repeatable
        if (is_promise and runs) or (runs > 1 and not may_repeat):
            untrue.append(request_id)
    return untrue

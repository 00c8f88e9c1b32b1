"""
Rate limits that targets name, kept by all hosts together.
"""

import asyncio

from .trial import Trial, in_loop

WINDOW = 4.0
# Seconds after which a named limit must hold.
KNOWN_AFTER = 3.0


def tolerated(rate):
    """Return how many requests a window may hold at a limit of so many a second."""
    return 1.5 * rate * WINDOW + 5


def most_in_window(arrivals, since):
    """Return the most arrivals in any window that begins at a moment or later."""
    late = [at for at in arrivals if at >= since]
    return max(
        (sum(1 for other in late if at <= other < at + WINDOW) for at in late),
        default=0,
    )


async def press(trial, seconds, every, path="/look/a"):
    """Send to all hosts by turns and return the answers in order."""
    sent = []
    for number in range(int(seconds / every)):
        ask = trial.ask(path, f"press-{number}", host=number % len(trial.hosts))
        sent.append(asyncio.ensure_future(ask))
        await asyncio.sleep(every)
    return await asyncio.gather(*sent)


async def limit_busiest(trial, limit, after=1.0):
    """Let the target that received most name a limit; return it and the time."""
    await asyncio.sleep(after)
    busiest = max(trial.workers.values(), key=lambda worker: len(worker.arrivals))
    busiest.rate_limit = limit
    return busiest, asyncio.get_running_loop().time()


@in_loop
async def test_a_named_rate_limit_holds_over_all_hosts():
    """Guards against hosts that ignore, or apply each by itself, a target's limit."""
    async with Trial(("look",), targets=5, hosts=6) as trial:
        pressing = asyncio.ensure_future(press(trial, 2.0 + KNOWN_AFTER + WINDOW, 0.02))
        limited, named_at = await limit_busiest(trial, "1.4")
        answers = await pressing
        most = most_in_window(limited.arrivals, named_at + KNOWN_AFTER)
        assert most <= tolerated(1.4)
        assert {status for status, _, _ in answers} == {200}

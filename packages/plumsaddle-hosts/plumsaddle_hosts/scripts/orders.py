"""
The commands on orders without an outcome: show them, and settle what is known of them.
"""

import asyncio
import getpass

from returns.result import Failure

from plumsaddle_core.ops.orders import Settled
from plumsaddle_core.utils.codec import encode_events

from .common import (
    DEFAULT_SETTINGS,
    DONE,
    LOOK_EVERY,
    MISTAKE,
    NO_ANSWER,
    NOT_KNOWN,
    VERDICT_WAIT,
    fail,
    run_with,
    say,
)
from .hosts import ask_all


class Orders:
    """Orders without an outcome: show them, and settle what is known of them."""

    def list(self, settings=DEFAULT_SETTINGS):
        """
        Show the orders without an outcome.

        Args:
          settings: Where the platform and the hosts are.
        """
        run_with(settings, _list_orders)

    def show(self, key, settings=DEFAULT_SETTINGS):
        """
        Show what is known of the orders with a key.

        Args:
          key: The caller's Idempotency-Key.
          settings: Where the platform and the hosts are.
        """
        run_with(settings, lambda *parts: _list_orders(*parts, key=str(key)))

    def settle(self, key, outcome, host_is_gone=False, settings=DEFAULT_SETTINGS):
        """
        Write to the log what became of an order.

        Args:
          key: The caller's Idempotency-Key.
          outcome: `run` or `not-run`, as you found out at the service.
          host_is_gone: Your word that the claiming host is gone for good, which
            not-run needs: a frozen host could still send the order when it thaws.
          settings: Where the platform and the hosts are.
        """
        if outcome not in ("run", "not-run"):
            fail("The outcome is `run` or `not-run`.", MISTAKE)
        if outcome == "not-run" and host_is_gone is not True:
            fail(
                "To settle as not-run, make sure that the claiming host is gone for "
                "good, and say so with --host-is-gone.",
                MISTAKE,
            )
        run_with(settings, lambda *parts: _settle(str(key), outcome == "run", *parts))


async def _find_orders(session, cfg, key):
    """Return the orders of the first host whose state is complete, or exit."""
    path = f"/orders?key={key}" if key else "/orders"
    answers = await ask_all(session, cfg.hosts, path)
    for answer in answers.values():
        if answer and answer["complete"]:
            return answer["orders"]
    return fail("No host knows the state of all orders.", NO_ANSWER)


async def _list_orders(session, platform, cfg, key=""):
    for order in await _find_orders(session, cfg, key):
        say(
            f"{order['key']}  {order['state']}  claimed by {order['host']}  "
            f"{order['detail']}"
        )
    return DONE


async def _settle(key, has_run, session, platform, cfg):
    found = await _find_orders(session, cfg, key)
    open_orders = [o for o in found if o["state"] in ("claimed", "unknown")]
    if len(open_orders) != 1:
        fail(f"{len(open_orders)} open orders have this key.", MISTAKE)
    order = open_orders[0]
    event = Settled(order["hash"], order["claim"], has_run, getpass.getuser())
    appended = await platform.append(order["stream"], encode_events([event]))
    if isinstance(appended, Failure):
        fail("Not known whether the log took it; look and try again.", NOT_KNOWN)
    for _ in range(int(VERDICT_WAIT / LOOK_EVERY)):
        now = [
            o
            for o in await _find_orders(session, cfg, key)
            if o["claim"] == order["claim"]
        ]
        if now and now[0]["state"] not in ("claimed", "unknown"):
            say(f"{key} is settled: {now[0]['state']}.")
            return DONE
        await asyncio.sleep(LOOK_EVERY)
    return fail("It stands in the log, but the hosts do not show it yet.", NOT_KNOWN)

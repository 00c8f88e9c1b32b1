"""
Slots of contended services between hosts: the keeper's end and the asking end.

A host that has seen sheds opens one stream to the keeper of the service and keeps it.
What is asked and given back within a moment goes out in one message. The keeper says
something at least four times a second, so that a host notices soon when it is frozen
or cut off; then it goes direct, and nothing is lost but time.
"""

import asyncio
import contextlib
import itertools
import logging
from typing import Any, NamedTuple

from grpclib.exceptions import GRPCError, StreamTerminatedError

from plumsaddle_core.ops.slot_allocator import SlotAllocator, choose_allocator

from . import exchange_pb2 as pb

log = logging.getLogger("keeper")
BEAT_EVERY = 0.25
SILENT_FOR = 1.0
REOPEN_AFTER = 1.0
TROUBLE = (GRPCError, StreamTerminatedError, OSError, TimeoutError)


class Held(NamedTuple):
    """A grant that a host holds."""

    service: str
    number: int


class ServerLink:
    """The keeper's end of one host's stream."""

    def __init__(self):
        self.held = set()
        self.outbox = []
        self.has_news = asyncio.Event()
        self.is_open = True


class Asked(NamedTuple):
    """Who asked, and by which ticket of its own."""

    link: ServerLink
    ticket: int


class Keeping:
    """
    The keeper's end: the slots of the services that this host keeps.

    Args:
      host: The host's parts.
    """

    def __init__(self, host):
        self._host = host
        self._keepers = {}

    async def serve_link(self, stream):
        """Serve one host until its stream ends, then take back what it held."""
        link = ServerLink()
        sender = asyncio.get_running_loop().create_task(_send_grants(link, stream))
        try:
            while (news := await stream.recv_message()) is not None:
                self._take(link, news)
        finally:
            sender.cancel()
            link.is_open = False
            now = asyncio.get_running_loop().time()
            for held in link.held:
                self._keeper(held.service).release(held.number, now, False)
            self.serve_all(now)

    def _keeper(self, service):
        keeper = self._keepers.get(service)
        if keeper is None:
            keeper = self._keepers[service] = SlotAllocator(1)
        state = self._host.services.get(service)
        if state is not None:
            keeper.slots = state.service.slots
        return keeper

    def _take(self, link, news):
        now = asyncio.get_running_loop().time()
        for back in news.returns:
            link.held.discard(Held(back.service, back.number))
            self._keeper(back.service).release(back.number, now, back.is_shed)
        for ask in news.asks:
            if ask.service in self._host.services:
                asked = Asked(link, ask.ticket)
                self._keeper(ask.service).request_slot(asked, now + ask.seconds)
        self.serve_all(now)

    def serve_all(self, now):
        """Grant what is free."""
        for service, keeper in self._keepers.items():
            state = self._host.services.get(service)
            if state is None:
                continue
            for grant in keeper.grant_slots(state.pool.healthy_keys(), now):
                link = grant.ticket.link
                if not link.is_open:
                    keeper.release(grant.number, now, False)
                    continue
                link.held.add(Held(service, grant.number))
                link.outbox.append(
                    pb.SlotGrant(
                        ticket=grant.ticket.ticket,
                        target=grant.target,
                        number=grant.number,
                        service=service,
                    )
                )
                link.has_news.set()


async def _send_grants(link, stream):
    """Send grants as they come, and an empty message when none does."""
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(link.has_news.wait(), BEAT_EVERY)
        link.has_news.clear()
        grants, link.outbox = link.outbox, []
        await stream.send_message(pb.SlotGrants(grants=grants))


class Slot(NamedTuple):
    """A granted slot, in the hands of the host that asked."""

    target: str
    number: int
    service: str
    link: Any

    def give_back(self, is_shed):
        """Tell the keeper that the slot is free, or that the target was full."""
        self.link.give_back(self.service, self.number, is_shed)


class KeeperLink:
    """
    The asking end of a stream to one keeper.

    Args:
      exchange: The `Exchange`, which opens streams.
      address: The keeper's address.
    """

    def __init__(self, exchange, address):
        self.is_open = True
        self.closed_at = 0.0
        self._exchange = exchange
        self._address = address
        self._tickets = itertools.count(1)
        self._pending = {}
        self._asks = []
        self._returns = []
        self._has_news = asyncio.Event()

    def ask(self, service, seconds):
        """Ask for a slot; return a ticket and a future of a `Slot` or None."""
        ticket = next(self._tickets)
        fut = asyncio.get_running_loop().create_future()
        self._pending[ticket] = fut
        self._asks.append(pb.SlotAsk(ticket=ticket, service=service, seconds=seconds))
        self._has_news.set()
        return ticket, fut

    def drop(self, ticket):
        """Forget a ticket; its grant is given back should it still come."""
        self._pending.pop(ticket, None)

    def give_back(self, service, number, is_shed):
        """Give a slot back."""
        if self.is_open:
            self._returns.append(
                pb.SlotReturn(service=service, number=number, is_shed=is_shed)
            )
            self._has_news.set()

    async def run(self):
        """Keep the stream until it breaks; whoever waits then goes direct."""
        loop = asyncio.get_running_loop()
        try:
            async with self._exchange.open_keep(self._address) as stream:
                await stream.send_request()
                sender = loop.create_task(self._send_news(stream))
                try:
                    await self._receive(stream)
                finally:
                    sender.cancel()
        except TROUBLE as exc:
            log.debug("keeper: The stream to %s broke, %s.", self._address, exc)
        finally:
            self.is_open = False
            self.closed_at = loop.time()
            for fut in self._pending.values():
                if not fut.done():
                    fut.set_result(None)

    async def _send_news(self, stream):
        while True:
            await self._has_news.wait()
            self._has_news.clear()
            asks, self._asks = self._asks, []
            returns, self._returns = self._returns, []
            await stream.send_message(pb.SlotNews(asks=asks, returns=returns))

    async def _receive(self, stream):
        while True:
            async with asyncio.timeout(SILENT_FOR):
                message = await stream.recv_message()
            if message is None:
                return
            for grant in message.grants:
                self._take(grant)

    def _take(self, grant):
        fut = self._pending.pop(grant.ticket, None)
        if fut is None or fut.done():
            self.give_back(grant.service, grant.number, False)
            return
        fut.set_result(Slot(grant.target, grant.number, grant.service, self))


def _give_back_unused(fut):
    """Give back a slot that was granted in the very moment its waiter gave up."""
    if fut.done() and not fut.cancelled() and fut.result() is not None:
        fut.result().give_back(False)


class KeeperClient:
    """
    The asking end: which host keeps a service, and the streams to keepers.

    Args:
      host: The host's parts.
      exchange: The `Exchange`.
    """

    def __init__(self, host, exchange):
        self._host = host
        self._exchange = exchange
        self._links = {}

    async def ask(self, service, deadline):
        """Ask a service's keeper as `_ask` does, and count what came of it."""
        slot = await self._ask(service, deadline)
        result = "direct" if slot is None else "granted"
        self._host.metrics.grants.inc({"service": service, "result": result})
        return slot

    async def _ask(self, service, deadline):
        """
        Ask a service's keeper for a slot.

        Args:
          service: The service's name.
          deadline: On the loop's clock.
        Returns:
          A `Slot`, or None if the keeper can't be asked, is silent, or the
          deadline has passed.
        """
        loop = asyncio.get_running_loop()
        link = self._link(self._keeper_address(service, loop.time()), loop.time())
        if link is None:
            return None
        ticket, fut = link.ask(service, max(0.0, deadline - loop.time()))
        try:
            async with asyncio.timeout_at(deadline):
                return await fut
        except TimeoutError:
            _give_back_unused(fut)
            return None
        except asyncio.CancelledError:
            _give_back_unused(fut)
            raise
        finally:
            link.drop(ticket)

    def _keeper_address(self, service, now):
        members = self._host.members
        rows = [row for row in members.alive(now) if not row.is_leaving]
        if not members.own.is_leaving:
            rows.append(members.own)
        addresses = {row.id: row.address for row in rows}
        if not addresses:
            return members.own.address
        return addresses[choose_allocator(service, sorted(addresses))]

    def _link(self, address, now):
        link = self._links.get(address)
        if link is not None and link.is_open:
            return link
        if link is not None and now - link.closed_at < REOPEN_AFTER:
            return None
        link = self._links[address] = KeeperLink(self._exchange, address)
        self._host.spawn(link.run())
        return link

"""
Datagrams between the hosts of one data centre.

Each host tells all others of its data centre at once when a request of its own starts
or ends at a target, and beats once a second besides. Hosts find each other through the
seeds of their settings and then by what they tell of each other, so it costs the store
nothing. Losing any message costs a little accuracy and nothing else.

Hosts of other data centres are told nothing but, by a seed, who is in theirs: bytes
between data centres are dear.
"""

import asyncio
import logging
import time

import msgspec

from plumsaddle_core.ops.zone import SILENT_AFTER, Counts, OutcomeNote, PeerNews, Sign

from ..utils.addresses import split_address
from .clock import now

log = logging.getLogger("peers")
# A host whose last word is older than this is not written to any more. Longer than a
# restart takes, so that a restarted host is found again without a seed.
MEMBER_FOR = 12.0
# Members that a beat names. A newcomer that hears one beat a second from each member
# knows all of them after the first.
NAMED_MOST = 64
# While a host knows nobody of its data centre, it asks the seeds this often (seconds).
ASK_EVERY = 1.0


class Hello(msgspec.Struct, array_like=True, tag="h"):
    """A host that looks for the others of its data centre."""

    host: str
    centre: str
    address: str


class Members(msgspec.Struct, array_like=True, tag="m"):
    """Addresses of hosts of the asker's data centre."""

    addresses: list[str]


class Work(msgspec.Struct, array_like=True, tag="w"):
    """
    A host's work in flight and its last outcomes.

    A beat also names members, and how far the host has read each topic of the store.
    """

    host: str
    life: int
    number: int
    in_flight: dict[str, int]
    outcomes: list[tuple[int, str, str, str, int, float]]
    counts: dict[str, tuple[int, int, int, int]]
    members: list[str] = []
    read: dict[str, int] = {}


_decode = msgspec.msgpack.Decoder(Hello | Members | Work).decode
_encode = msgspec.msgpack.Encoder().encode


class Peers(asyncio.DatagramProtocol):
    """
    The datagram socket of a host.

    Args:
      settings: The `HostSettings`.
      zone: The `Zone` that this host's knowledge is kept in.
      feeds: Each `Feed` of the host.
    """

    def __init__(self, settings, zone, feeds):
        self._settings = settings
        self._zone = zone
        self._feeds = {feed.topic: feed for feed in feeds}
        self._life = time.time_ns() // 1_000_000
        self._number = 0
        self._members = {}
        self._strangers = {}
        self._transport = None
        self._is_due = False

    async def open(self):
        """Open the socket."""
        address = split_address(self._settings.peers)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def take_settings(self, settings):
        """Take settings that were read anew; the seeds may have changed."""
        self._settings = settings

    def tell_soon(self):
        """Tell the others of this host's work before the loop's next turn ends."""
        if not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_soon(self._tell)

    def beat(self, at):
        """Tell the others that this host lives, and look for others."""
        self._members = {
            address: heard
            for address, heard in self._members.items()
            if at - heard < MEMBER_FOR
        }
        for host in self._zone.forget_silent(at):
            log.info("silent", extra={"peer": host})
        # Only hosts heard lately are named, else two hosts would keep naming a dead one
        # to each other for ever.
        fresh = [a for a, heard in self._members.items() if at - heard < SILENT_AFTER]
        read = {topic: feed.next_offset for topic, feed in self._feeds.items()}
        self._send_work(fresh[:NAMED_MOST], read)
        if not self._members:
            self._ask_seeds()

    def _ask_seeds(self):
        settings = self._settings
        hello = _encode(Hello(settings.id, settings.centre, settings.peers))
        for seed in settings.seeds:
            if seed != settings.peers:
                self._send(hello, seed)

    def _tell(self):
        self._is_due = False
        self._send_work([], {})

    def _send_work(self, members, read):
        self._number += 1
        outcomes = [
            (o.number, o.target, o.service, o.route, o.sign.value, round(o.seconds, 4))
            for o in self._zone.last_outcomes()
        ]
        work = Work(
            self._settings.id,
            self._life,
            self._number,
            self._zone.own_in_flight(),
            outcomes,
            self._zone.own_counts(),
            members,
            read,
        )
        data = _encode(work)
        for address in self._members:
            self._send(data, address)

    def _send(self, data, address):
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, split_address(address))

    # What the event loop calls.

    def connection_made(self, transport):
        self._transport = transport

    def error_received(self, exc):
        # A peer that is down refuses datagrams; its silence says the same.
        log.debug("refused", extra={"cause": str(exc)})

    def datagram_received(self, data, sender):
        try:
            message = _decode(data)
        except msgspec.DecodeError as exc:
            log.warning("unreadable", extra={"peer": sender[0], "cause": str(exc)})
            return
        address = f"{sender[0]}:{sender[1]}"
        if isinstance(message, Hello):
            self._take_hello(message, address)
        elif isinstance(message, Members):
            self._learn(message.addresses)
        else:
            self._members[address] = now()
            self._learn(message.members)
            self._zone.take(_news_of(message), now())
            for topic, offset in message.read.items():
                if topic in self._feeds:
                    self._feeds[topic].note_peer(offset, now())

    def _take_hello(self, hello, address):
        """Answer a host that looks for others of its data centre."""
        at = now()
        if hello.centre == self._settings.centre:
            known = list(self._members)
            self._members[address] = at
        else:
            known = self._remember_stranger(hello.centre, address, at)
        self._send(_encode(Members(known[:NAMED_MOST])), address)

    def _remember_stranger(self, centre, address, at):
        """Keep a host of another data centre, and return the others of it."""
        strangers = self._strangers.setdefault(centre, {})
        known = [a for a, heard in strangers.items() if at - heard < MEMBER_FOR]
        strangers[address] = at
        return [a for a in known if a != address]

    def _learn(self, addresses):
        """Write to hosts that were named; they stay only if they answer."""
        at = now()
        for address in addresses:
            if address != self._settings.peers and address not in self._members:
                self._members[address] = at - MEMBER_FOR / 2


def _news_of(work):
    outcomes = tuple(
        OutcomeNote(number, target, service, route, Sign(sign), seconds)
        for number, target, service, route, sign, seconds in work.outcomes
    )
    counts = {service: Counts(*numbers) for service, numbers in work.counts.items()}
    return PeerNews(work.host, work.life, work.number, work.in_flight, outcomes, counts)

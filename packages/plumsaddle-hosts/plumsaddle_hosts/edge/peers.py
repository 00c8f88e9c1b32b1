"""
Datagrams between hosts.

Each host tells all others of its data centre when a request of its own starts or ends
at a target, and beats once a second besides. Hosts find each other through the seeds
of their settings and then by what they tell of each other, so it costs the store
nothing. Losing any message costs a little accuracy and nothing else. All of it draws
on an allowance of bytes, so that it never fills a small link.

To each other data centre a host tells only what changes a belief, and once a second
which targets it has used: to one host there, drawn anew for each message, which tells
all of its own. So a data centre pays for one copy, and no host matters. One host of
each data centre, the first by address that was heard lately, tells the others in the
same way what all of its hosts have in flight.
"""

import asyncio
import logging
import random
import secrets

import msgspec

from plumsaddle_core.core.parts import Part
from plumsaddle_core.ops.pacing import TOLD_DATAGRAMS, Allowance, told_rate
from plumsaddle_core.ops.zone import MISSING_AFTER, SILENT_AFTER

from ..utils.addresses import is_address, split_address
from .clock import now
from .messages import (
    Far,
    Hello,
    Load,
    Members,
    Work,
    decode,
    encode,
    far_load_of,
    far_news_of,
    news_of,
)
from .strangers import MEMBER_FOR, STRANGERS_NAMED, Strangers

log = logging.getLogger("peers")
# Members that an answer to a newcomer names, and those that a beat names, drawn anew
# each time. A newcomer hears a beat a second from each member, so that eight names each
# tell it all others within a second, and each beat is shorter than ten lines of a log.
NAMED_MOST = 64
NAMED_IN_BEAT = 8
# What a datagram has besides its data: the headers of IP and UDP, in bytes.
DATAGRAM_HEADERS = 28
# Seconds between two messages that carry counts. They bound retries over ten seconds
# and tell trouble over two and a half, and are a third of a message.
COUNTS_EVERY = 0.25
# Other data centres hear this often (seconds) which targets a host has used.
FAR_EVERY = 1.0
# Other data centres hear this often (seconds) what is in flight. Work takes 150 ms and
# more, so what they know is mostly still true.
LOAD_EVERY = 0.1
# The part of one host's allowance that passing these sums on may take if one host did
# it all the time; it is spread over all of them.
LOAD_PART = 4.0


class Peers(asyncio.DatagramProtocol):
    """
    The datagram socket of a host.

    Args:
      settings: The `HostSettings`.
      zone: The `Zone` that this host's knowledge is kept in.
      feeds: Each `Feed` of the host.
      rng: A `random.Random`, which draws whom to name and to tell elsewhere.
    """

    def __init__(self, settings, zone, feeds, rng=random):
        self._settings = settings
        self._zone = zone
        self._rng = rng
        self._feeds = {feed.topic: feed for feed in feeds}
        # Drawn and not taken from a clock: the time of day jumps back, and then a
        # restarted host would look older than it was and be ignored.
        self._life = secrets.randbits(48)
        is_bounded = Part.ALLOWANCE not in settings.off
        self._rate = told_rate(settings.link) if is_bounded else None
        self._allowance = Allowance(self._rate)
        self._datagrams = Allowance(TOLD_DATAGRAMS if is_bounded else None)
        self._counted_at = 0.0
        self._load_number = 0
        self._number = 0
        self._members = {}
        self._strangers = Strangers(settings, rng)
        self._transport = None
        self._due = None

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

    def tell_soon(self, is_urgent):
        """
        Tell the others of this host's work, as soon as the allowance lets it.

        What happens in one turn of the loop, or until then, goes out together.

        Args:
          is_urgent: Whether the news makes a target look worse.
        """
        at = now()
        wait = max(
            self._allowance.wait(is_urgent, at), self._datagrams.wait(is_urgent, at)
        )
        if self._due is not None:
            if not is_urgent:
                return
            self._due.cancel()
        loop = asyncio.get_running_loop()
        self._due = loop.call_later(wait, self._tell)

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
        named = self._rng.sample(fresh, min(NAMED_IN_BEAT, len(fresh)))
        read = {topic: feed.next_offset for topic, feed in self._feeds.items()}
        self._send_work(named, read, self._strangers.some(at))
        self._send_far(self._zone.own_used(at - FAR_EVERY), at)
        if not self._members or self._strangers.are_few(at):
            self._ask(at)

    def _ask(self, at):
        """Ask the seeds, and the hosts that are known elsewhere, for others."""
        settings = self._settings
        hello = encode(Hello(settings.id, settings.centre, settings.peers))
        asked = set(settings.seeds)
        for strangers in self._strangers.some(at).values():
            asked.update(strangers)
        for address in asked - {settings.peers}:
            self._send(hello, address)

    def _tell(self):
        self._due = None
        self._send_work([], {}, {})
        if self._zone.evidence.has_untold:
            self._send_far([], now())

    def _send_work(self, members, read, strangers):
        self._number += 1
        outcomes = [
            (o.number, o.target, o.service, o.route, o.sign, round(o.seconds, 4))
            for o in self._zone.outcomes.take()
        ]
        counts = {}
        if members or now() - self._counted_at >= COUNTS_EVERY:
            self._counted_at = now()
            counts = self._zone.own_counts()
        work = Work(
            self._settings.id,
            self._life,
            self._number,
            self._zone.own_in_flight(),
            outcomes,
            counts,
            members,
            read,
            strangers,
        )
        self._datagrams.spend(len(self._members), now())
        self._send_all(encode(work))

    def _send_far(self, used, at):
        """Tell one host of each other data centre what is news there."""
        evidence = [
            (e.number, e.target, round(e.ratio, 3)) for e in self._zone.evidence.take()
        ]
        if Part.FAR_EVIDENCE in self._settings.off:
            evidence = []
        if not evidence and not used:
            return
        settings = self._settings
        far = Far(settings.id, self._life, settings.centre, evidence, used)
        self._send_elsewhere(encode(far), at)

    def _send_elsewhere(self, data, at):
        """Send to one host of each other data centre."""
        for strangers in self._strangers.some(at).values():
            self._send(data, self._rng.choice(strangers))

    def tell_load(self, at):
        """
        Tell the other data centres what this one has in flight, if it is for this host.

        Returns:
          The seconds after which to do so again.
        """
        heard = [a for a, heard in self._members.items() if at - heard < MISSING_AFTER]
        is_first = all(address > self._settings.peers for address in heard)
        if not is_first or Part.FAR_LOAD in self._settings.off:
            return LOAD_EVERY
        settings = self._settings
        self._load_number += 1
        counts = self._zone.load()
        load = Load(settings.centre, settings.id, self._life, self._load_number, counts)
        data = encode(load)
        self._send_elsewhere(data, at)
        if self._rate is None:
            return LOAD_EVERY
        # Whoever passes it on tells as many hosts as there are here, but each time it
        # is another one that does.
        return max(LOAD_EVERY, len(data) * len(heard) / (self._rate * LOAD_PART))

    def _send_all(self, data):
        """Send to all hosts of the data centre."""
        self._send(data, *self._members)

    def _send(self, data, *addresses):
        size = len(addresses) * (len(data) + DATAGRAM_HEADERS)
        self._allowance.spend(size, now())
        if self._transport is None or self._transport.is_closing():
            return
        for address in addresses:
            self._transport.sendto(data, split_address(address))

    # What the event loop calls.

    def connection_made(self, transport):
        self._transport = transport

    def error_received(self, exc):
        # A peer that is down refuses datagrams; its silence says the same.
        log.debug("refused", extra={"cause": str(exc)})

    def datagram_received(self, data, sender):
        try:
            message = decode(data)
        except msgspec.DecodeError as exc:
            log.warning("unreadable", extra={"peer": sender[0], "cause": str(exc)})
            return
        address = f"{sender[0]}:{sender[1]}"
        if isinstance(message, Hello):
            self._take_hello(message, address)
        elif isinstance(message, Members):
            self._learn(message.addresses)
            self._strangers.learn(message.strangers, now())
        elif isinstance(message, Far):
            self._pass_on(message, address)
            self._zone.take_far(far_news_of(message), now())
        elif isinstance(message, Load):
            self._pass_on(message, address)
            self._zone.take_far_load(far_load_of(message), now())
        else:
            self._members[address] = now()
            self._learn(message.members)
            self._strangers.learn(message.strangers, now())
            self._zone.take(news_of(message), now())
            for topic, offset in message.read.items():
                if topic in self._feeds:
                    self._feeds[topic].note_peer(offset, now())

    def _take_hello(self, hello, address):
        """Answer a host that looks for others of its data centre."""
        at = now()
        strangers = self._strangers.some(at)
        if hello.centre == self._settings.centre:
            known = list(self._members)
            self._members[address] = at
        else:
            known = self._strangers.of(hello.centre, at)
            self._strangers.remember(hello.centre, address, at)
            own = [*self._members, self._settings.peers]
            strangers[self._settings.centre] = own[-STRANGERS_NAMED:]
        known = [a for a in known if a != address]
        self._send(encode(Members(known[:NAMED_MOST], strangers)), address)

    def _pass_on(self, message, address):
        """Pass the news of another data centre on to the hosts of this one."""
        if message.is_passed_on:
            return
        self._strangers.remember(message.centre, address, now())
        message.is_passed_on = True
        self._send_all(encode(message))

    def _learn(self, addresses):
        """Write to hosts that were named; they stay only if they answer."""
        at = now()
        for address in addresses:
            is_known = address == self._settings.peers or address in self._members
            if not is_known and is_address(address):
                self._members[address] = at - MEMBER_FOR / 2

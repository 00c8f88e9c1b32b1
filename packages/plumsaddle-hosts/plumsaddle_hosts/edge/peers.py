"""
Datagrams between hosts.

Each host tells the hub of its data centre when a request of its own starts or ends at
a target, and beats once a second besides. The hub tells all hosts there what it was
told, together. Hosts find each other through the seeds of their settings and then by
what they tell of each other, so it costs the store nothing. Losing any message costs a
little accuracy and nothing else.

To each other data centre the hub tells what changes a belief, once a second which
targets were used, and ten times a second the sums of work in flight. It tells one host
there, the hub as far as it is known, and that one tells its own. So a data centre pays
for one copy, and no host matters.

Hosts that follow the store for the others tell them directly what changes there.
"""

import asyncio
import logging
import random
import secrets

import msgspec

from plumsaddle_core.core.parts import Feature
from plumsaddle_core.limits.advertised import MAX_ROWS
from plumsaddle_core.ops.neighbours import PeerTable
from plumsaddle_core.ops.pacing import SendPacer

from ..utils.addresses import split_address
from .bundles import BundleBuffer
from .clock import now
from .messages import (
    Bundle,
    Heartbeat,
    Hello,
    HostUpdate,
    decode,
    encode,
)
from .others import RemoteSender
from .readers import ReaderRole
from .taking import Callbacks, MessageHandler

log = logging.getLogger("peers")
# Members that a hub's beat names, drawn anew each time.
HOSTS_PER_HEARTBEAT = 16
# What a datagram has besides its data: the headers of IP and UDP, in bytes.
DATAGRAM_HEADERS = 28
# Seconds between two messages that carry counts. They bound retries over ten seconds
# and tell trouble over two and a half, and are a third of a message.
COUNTS_INTERVAL = 0.25
# Other data centres hear this often (seconds) which targets a data centre has used.
REMOTE_UPDATE_INTERVAL = 1.0
# Other data centres hear this often (seconds) what is in flight, and clients of a hub
# half as often what is in flight elsewhere. Work takes 150 ms and more, so what they
# know is mostly still true.
LOAD_INTERVAL = 0.1
LOAD_TOTAL_INTERVAL = 0.2
# The same when the allowance is used up; what is older than 1.5 s counts for nothing.
MAX_LOAD_TOTAL_INTERVAL = 0.8
# A hub tells its clients something at least this often (seconds), so that they notice
# its loss.
HUB_SEND_INTERVAL = 0.2
# How often (seconds) a host that is no hub looks whether it should be, or has lost it.
TICK_INTERVAL = 0.25
# A host that has others to ask does no part for its data centre before this age, in
# seconds.
DISCOVERY_PERIOD = 1.5
# Rate limits of targets that a heartbeat of a host that is no hub tells again. The hub
# may have just started and know none.
ANTI_ENTROPY_ROWS = 2
# Messages to the hub that are remembered until it passes them on; a host sends some ten
# a second.
MAX_PENDING_ECHOES = 64


class PeerProtocol(asyncio.DatagramProtocol):
    """
    The datagram socket of a host.

    Args:
      settings: The `HostSettings`.
      shared: The `SharedState` that this host's knowledge is kept in.
      gate: The `Gate` that tells how the host stands to the store.
      feeds: Each `Feed` of the host.
      rng: A `random.Random`, which draws whom to name and to tell elsewhere.
      call_later: Called with seconds and a function to call then; the running loop's
        if None.
    """

    def __init__(self, settings, shared, gate, feeds, rng=random, call_later=None):
        self._settings = settings
        self._shared = shared
        self._rng = rng
        self._call_later = call_later or _call_later
        for feed in feeds:
            feed.subscribe(self.forward_page)
        # Drawn and not taken from a clock: the time of day jumps back, and then a
        # restarted host would look older than it was and be ignored.
        self._incarnation = secrets.randbits(48)
        is_bounded = Feature.BANDWIDTH_LIMIT not in settings.disabled_features
        self._pacer = SendPacer(settings.link_rate, is_bounded)
        self._counts_sent_at = 0.0
        self._number = 0
        # When the last messages to the hub were sent, by number.
        self._sent_at = {}
        self._peer_table = PeerTable(settings.peer_address, settings.link_rate)
        self._reader_role = ReaderRole(gate, feeds, self._peer_table, self._send)
        self._remote = RemoteSender(
            settings, shared, self._incarnation, self._send, rng
        )
        self._buffer = BundleBuffer()
        self._handler = MessageHandler(
            settings,
            shared,
            self._peer_table,
            self._reader_role,
            self._remote,
            self._buffer,
            Callbacks(
                lambda data, *addresses: self._send(data, *addresses),
                self._schedule_send,
                self._is_forwarding,
                self._sent_time,
            ),
        )
        self._bundle_sent_at = 0.0
        self._load_total_sent_at = 0.0
        self._transport = None
        # The call that tells what waits, and whether own work is part of that.
        self._send_call = None
        self._send_due_at = 0.0
        self._has_unsent_update = False
        self._started_at = now()

    async def open(self):
        """Open the socket."""
        address = split_address(self._settings.peer_address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def apply_settings(self, settings):
        """Take settings that were read anew; the seeds may have changed."""
        self._settings = settings

    def send_update_soon(self, is_urgent):
        """
        Tell the others of this host's work, as soon as the allowance lets it.

        Args:
          is_urgent: Whether the news makes a target look worse.
        """
        self._has_unsent_update = True
        self._schedule_send(is_urgent)

    def _schedule_send(self, is_urgent):
        """Tell what waits; all that happens until then goes out together."""
        at = now()
        wait = self._pacer.wait(is_urgent, at)
        if self._send_call is not None:
            if at + wait >= self._send_due_at:
                return
            self._send_call.cancel()
        self._send_due_at = at + wait
        self._send_call = self._call_later(wait, self._send_pending)

    def send_heartbeat(self, at):
        """Tell the others that this host lives, and look for others."""
        self._peer_table.evict_silent(at)
        for host in self._shared.evict_silent(at):
            log.info("silent", extra={"peer": host})
        self._shared.quotas.tick(at)
        self._pick_hub(at)
        self._send_update(at, self._make_heartbeat(at))
        if self._is_hub() and self._may_act_alone(at):
            self._remote.send_update(
                self._shared.tags_used_since(at - REMOTE_UPDATE_INTERVAL), at
            )
        else:
            # The hub tells it for all.
            self._shared.evidence.next_batch()
        if not len(self._peer_table) or self._remote.remote_hosts.needs_more(at):
            self._send_hello(at)

    def _make_heartbeat(self, at):
        members, strangers = [], {}
        if self._is_hub():
            # Only hosts heard lately are named, else two hosts would keep naming a dead
            # one to each other for ever.
            live = self._peer_table.live(at)
            members = self._rng.sample(live, min(HOSTS_PER_HEARTBEAT, len(live)))
            strangers = self._remote.remote_hosts.sample(at)
        return Heartbeat(
            self._settings.link_rate or 0.0,
            self._reader_role.store_status(at),
            self._reader_role.read_offsets(at),
            self._reader_role.recovery_age(at),
            members,
            strangers,
        )

    def _send_hello(self, at):
        """Ask the seeds, and the hosts that are known elsewhere, for others."""
        settings = self._settings
        hello = encode(Hello(settings.id, settings.data_centre, settings.peer_address))
        asked = set(settings.seeds)
        for strangers in self._remote.remote_hosts.sample(at).values():
            asked.update(strangers)
        for address in asked - {settings.peer_address}:
            self._send(hello, address)

    # The hub.

    def tick(self, at):
        """
        Do a hub's part if this host is one, and look whether it should be.

        Returns:
          The seconds after which to do so again.
        """
        if self._pick_hub(at):
            # Told at once, since what went to a lost hub was told to nobody.
            self._send_update(at, self._make_heartbeat(at))
        self._reader_role.update(self._may_act_alone(at), at)
        if self._is_hub():
            if self._buffer.clients(at):
                # Its clients hear it directly.
                self._shared.limits.membership.note_delivered(at)
            if self._may_act_alone(at):
                self._remote.send_load(at)
        elif not self._buffer.clients(at):
            return TICK_INTERVAL
        if at - self._bundle_sent_at >= HUB_SEND_INTERVAL:
            self._send_bundle(at)
        if at - self._bundle_sent_at >= HUB_SEND_INTERVAL:
            # There was nothing to tell but that it is here.
            self._send(encode(Bundle()), *self._buffer.clients(at))
            self._bundle_sent_at = at
        return LOAD_INTERVAL

    def _pick_hub(self, at):
        """Return whether this host has another hub than before."""
        former = self._peer_table.hub
        if not self._peer_table.pick_hub(at):
            return False
        log.info("hub", extra={"peer": self._peer_table.hub, "former": former})
        return True

    def _may_act_alone(self, at):
        """
        Whether this host may act for its data centre if it finds nobody before it.

        Hosts that start together hear of each other within two beats. Till then each
        takes itself for the first: 293 hosts would all read the store and speak to the
        other data centres ten times a second.
        """
        is_old = at - self._started_at >= DISCOVERY_PERIOD
        return is_old or not self._settings.has_seeds

    def _is_hub(self):
        """Whether this host is the hub as far as it knows."""
        return self._peer_table.hub is None

    def _is_forwarding(self, at):
        """Whether this host tells others what it is told."""
        return self._is_hub() or bool(self._buffer.clients(at))

    def _sent_time(self, work):
        """Return when a message was sent if it is this host's own, else None."""
        return (
            self._sent_at.get(work.number)
            if work.incarnation == self._incarnation
            else None
        )

    def _send_pending(self):
        self._send_call = None
        at = now()
        if self._has_unsent_update:
            self._send_update(at)
        elif self._is_forwarding(at):
            self._send_bundle(at)

    def _send_update(self, at, beat=None):
        """Tell this host's work to its hub, or as the hub to all."""
        self._has_unsent_update = False
        data = encode(self._make_update(at, beat))
        if not self._is_hub():
            self._sent_at[self._number] = at
            self._sent_at.pop(self._number - MAX_PENDING_ECHOES, None)
            self._send(data, self._peer_table.hub)
        if self._is_forwarding(at):
            self._buffer.add_host_update(self._settings.id, data)
            self._send_bundle(at)

    def _make_update(self, at, beat):
        self._number += 1
        outcomes = [
            (o.number, o.target, o.service, o.route, o.signal, round(o.seconds, 4))
            for o in self._shared.outcomes.next_batch()
        ]
        counts = {}
        if beat is not None or at - self._counts_sent_at >= COUNTS_INTERVAL:
            self._counts_sent_at = at
            counts = self._shared.own_counts()
        return HostUpdate(
            self._settings.id,
            self._settings.peer_address,
            self._incarnation,
            self._number,
            self._shared.own_in_flight(),
            outcomes,
            counts,
            beat,
            [tuple(note) for note in self._shared.suspects.own_records(at)],
            [tuple(row) for row in self._shared.quotas.local_rows(at)],
            [tuple(row) for row in self._limit_rows(beat)],
        )

    def _limit_rows(self, beat):
        """Return targets' rate limits to tell: what changed, and at times others."""
        named = self._shared.limits.advertised
        rows = named.local_rows()
        if beat is not None:
            most = MAX_ROWS if self._is_hub() else ANTI_ENTROPY_ROWS
            rows += named.anti_entropy_rows(most, self._rng)
        return rows

    def _send_bundle(self, at):
        """Tell all hosts what this one was told as a hub."""
        if self._is_hub() and self._remote.has_urgent_update:
            self._remote.send_update([], at)
        sums = None
        if self._is_load_total_due(at):
            self._load_total_sent_at = at
            sums = self._shared.remote_load_total(at)
        for_all, for_clients = self._buffer.drain(sums)
        everyone = self._peer_table.addresses()
        clients = self._buffer.clients(at)
        for data in for_all:
            self._send(data, *everyone)
        for data in for_clients:
            self._send(data, *clients)
        if for_all or for_clients:
            self._bundle_sent_at = at

    def _is_load_total_due(self, at):
        """Whether to tell clients what is in flight elsewhere; small links wait."""
        age = at - self._load_total_sent_at
        has_room = self._pacer.has_bandwidth(at)
        return age >= MAX_LOAD_TOTAL_INTERVAL or (
            age >= LOAD_TOTAL_INTERVAL and has_room
        )

    def forward_page(self, topic, page):
        """
        Tell the other hosts what this one has read, if it reads for them.

        Changes go to all hosts at once; by way of the hub goes that there are no more.

        Args:
          topic: The topic's name.
          page: The `Page`.
        """
        at = now()
        # The first that a store answers after an outage is a reader from then on, and
        # what it has just read keeps all others from asking.
        self._reader_role.update(self._may_act_alone(at), at)
        if not self._reader_role.is_reader:
            return
        if page.records:
            self._reader_role.send_records(topic, page)
        self._send_update(at, self._make_heartbeat(at))

    def _send(self, data, *addresses):
        at = now()
        size = len(addresses) * (len(data) + DATAGRAM_HEADERS)
        self._pacer.spend(len(addresses), size, at)
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
        address = f"{sender[0]}:{sender[1]}"
        try:
            self._handler.handle(decode(data), data, address, now())
        except msgspec.DecodeError as exc:
            log.warning("unreadable", extra={"peer": address, "cause": str(exc)})


def _call_later(seconds, function):
    return asyncio.get_running_loop().call_later(seconds, function)

"""
The datagram protocol between hosts.

Each host sends the hub of its data centre an update when one of its requests starts or
ends at a target, and a heartbeat once a second. The hub forwards updates in bundles to
all hosts of the data centre. Hosts find each other through the seeds in their settings
and the addresses that other hosts send. A lost message only reduces accuracy.

To each other data centre the hub sends evidence that changes failure estimates, once a
second the targets in use, and ten times a second the total of requests in flight. It
sends them to one host there, the hub if known, which forwards them. So only one copy
crosses between data centres, and any host can be lost.

Readers, the hosts that follow the store, send its changes directly to all others.
"""

import asyncio
import logging
import random
import secrets

import msgspec

from plumsaddle_core.core.features import Feature
from plumsaddle_core.ops.gateways import Gateways
from plumsaddle_core.ops.pacing import SendPacer
from plumsaddle_core.ops.peer_table import PeerTable
from plumsaddle_core.utils.pending import MAX_ROWS

from ..utils.addresses import split_address
from .bundles import BundleBuffer
from .clock import now
from .message_handler import Callbacks, MessageHandler
from .messages import (
    Bundle,
    Heartbeat,
    Hello,
    HostUpdate,
    decode,
    encode,
    encode_bundle,
)
from .readers import ReaderRole
from .remote_sender import RemoteSender
from .unconfirmed import UnconfirmedUpdates
from .version_exchange import VersionExchange

log = logging.getLogger("peers")
# Addresses that a hub's heartbeat lists, drawn at random each time.
HOSTS_PER_HEARTBEAT = 16
# The IP and UDP headers of a datagram, in bytes.
DATAGRAM_HEADERS = 28
# Seconds between updates that carry counts, which are large and are evaluated over
# several seconds.
COUNTS_INTERVAL = 0.25
# Seconds between load messages to other data centres, and between totals of the remote
# load to clients. Requests mostly take longer.
LOAD_INTERVAL = 0.1
LOAD_TOTAL_INTERVAL = 0.2
# The latter while bandwidth is exhausted. Remote load expires after 1.5 s.
MAX_LOAD_TOTAL_INTERVAL = 0.8
# A hub sends its clients something at least this often (seconds), so that they detect
# its loss.
HUB_SEND_INTERVAL = 0.2
# Seconds between the checks of a host without clients for a change of the hub.
TICK_INTERVAL = 0.25
# A host with seeds does not act on behalf of its data centre for this long (seconds)
# after its start.
DISCOVERY_PERIOD = 1.5
# Listed hosts of each other data centre that a host without peers asks.
HELLOS_PER_DATA_CENTRE = 8
# Notices of targets, of each kind, that a heartbeat to the hub repeats, as the hub may
# have restarted.
ANTI_ENTROPY_ROWS = 2


class PeerProtocol(asyncio.DatagramProtocol):
    """
    The datagram socket of a host.

    Args:
      settings: The `HostSettings`.
      shared: The host's `SharedState`.
      store_access: The host's `StoreAccess`.
      feeds: Each `Feed` of the host.
      rng: A `random.Random`, which selects addresses to list and remote receivers.
      call_later: Called with seconds and a function to call then; the running loop's
        if None.
      knowledge: The `HostState` whose configuration is exchanged, or None.
    """

    def __init__(
        self,
        settings,
        shared,
        store_access,
        feeds,
        rng=random,
        call_later=None,
        knowledge=None,
    ):
        # Returns whether this host opens connections to targets for others.
        self.is_gateway = lambda: False
        self._settings = settings
        # Other hosts know this one by its address, so a reload doesn't change it.
        self._address = settings.peer_address
        self._shared = shared
        self._rng = rng
        self._call_later = call_later or _call_later
        for feed in feeds:
            feed.subscribe(self.forward_page)
        # Random instead of a timestamp: the clock may be set back, and a restarted host
        # would then look outdated and be ignored.
        self._incarnation = secrets.randbits(48)
        is_bounded = Feature.BANDWIDTH_LIMIT not in settings.disabled_features
        self._pacer = SendPacer(settings.link_rate, is_bounded)
        self._counts_sent_at = 0.0
        self._number = 0
        self._unconfirmed = UnconfirmedUpdates()
        self._peer_table = PeerTable(settings.peer_address, settings.link_rate)
        self._reader_role = ReaderRole(
            store_access, feeds, self._peer_table, self._send
        )
        self._remote = RemoteSender(
            settings, shared, self._incarnation, self._send, rng
        )
        self._buffer = BundleBuffer()
        self.versions = VersionExchange(knowledge, self._send, rng, self._call_later)
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
                self._confirm,
                self._note_new_peer,
                self._answer_hello,
                self._send_state,
                lambda *args: self.gateways.note_remote(*args),
            ),
            self.versions,
        )
        self.gateways = Gateways(self._peer_table.gateways, rng)
        self._bundle_sent_at = 0.0
        self._load_total_sent_at = 0.0
        self._transport = None
        # The scheduled send, and whether it includes an update of this host.
        self._send_call = None
        self._send_due_at = 0.0
        self._has_unsent_update = False
        # The hosts that the store lists, a few of each other data centre.
        self._listed = set()
        self._started_at = now()

    async def open(self):
        """Open the socket."""
        address = split_address(self._address)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def apply_settings(self, settings):
        """Replace the settings after a reload; the seeds may have changed."""
        has_other_seeds = settings.seeds != self._settings.seeds
        self._settings = settings
        if has_other_seeds and self.is_alone():
            self._send_hello(now())

    def is_alone(self):
        """Return whether no other host of the data centre is known."""
        return not len(self._peer_table)

    def has_heard_seed(self):
        """Return whether a seed of the data centre has sent an update."""
        return self._peer_table.has_heard(self._settings.seeds)

    def note_seed_heard(self):
        """Divide limits among the hosts that are heard of, as a seed knows them all."""
        self._shared.quotas.expect_hosts(1)

    def find(self, others):
        """
        Look for hosts that the store lists.

        Args:
          others: Their addresses by data centre.
        """
        local = others.get(self._settings.data_centre, ())
        is_first = not self._listed
        self._listed = set(local)
        for data_centre, addresses in others.items():
            if data_centre != self._settings.data_centre:
                count = min(HELLOS_PER_DATA_CENTRE, len(addresses))
                self._listed.update(self._rng.sample(addresses, count))
        self._shared.quotas.expect_hosts(1 + sum(map(len, others.values())))
        at = now()
        self._send_hello(at)
        if is_first and local:
            # Hosts that start together know by this that they are not alone.
            self._send_state(at, local)

    def send_update_soon(self, is_urgent):
        """
        Schedule an update of this host's state, as soon as pacing permits.

        Args:
          is_urgent: Whether the update makes a target look worse.
        """
        self._has_unsent_update = True
        self._schedule_send(is_urgent)

    def _schedule_send(self, is_urgent):
        """Schedule a send; whatever happens until then is sent together."""
        at = now()
        wait = self._pacer.wait(is_urgent, at)
        if self._send_call is not None:
            if at + wait >= self._send_due_at:
                return
            self._send_call.cancel()
        self._send_due_at = at + wait
        self._send_call = self._call_later(wait, self._send_pending)

    def send_heartbeat(self, at):
        """Send a heartbeat, evict silent hosts, and look for more hosts if needed."""
        self._peer_table.evict_silent(at)
        for host in self._shared.evict_silent(at):
            log.info("evicted silent host", extra={"peer": host})
        self._shared.quotas.tick(at)
        self._pick_hub(at)
        self._send_update(at, self._make_heartbeat(at))
        if self._is_hub() and self._may_act_alone(at):
            gateways = self._own_gateways(at)
            self._remote.send_update(at, is_periodic=True, gateways=gateways)
        else:
            # The hub sends the evidence on behalf of the data centre.
            self._shared.evidence.next_batch()
        if self.is_alone() or self._remote.remote_hosts.needs_more(at):
            self._send_hello(at)

    def _own_gateways(self, at):
        """Return the gateways of this data centre."""
        others, _ = self._peer_table.gateways(at)
        return [*others, self._settings.peer_address] if self.is_gateway() else others

    def announce_paths(self):
        """Send a heartbeat now, since this host has begun or ceased to be a gateway."""
        at = now()
        self._send_update(at, self._make_heartbeat(at))

    def _make_heartbeat(self, at):
        members, remote_hosts = [], {}
        if self._is_hub():
            # Only live hosts, so that hosts don't keep listing dead ones to each other.
            live = self._peer_table.live_addresses(at)
            members = self._rng.sample(live, min(HOSTS_PER_HEARTBEAT, len(live)))
            remote_hosts = self._remote.remote_hosts.sample(at)
        offsets = self._reader_role.read_offsets(at)
        is_restored = self._reader_role.has_been_restored
        return Heartbeat(
            self._settings.link_rate or 0.0,
            self._reader_role.store_status(at),
            {} if is_restored else offsets,
            self._reader_role.recovery_age(at),
            members,
            remote_hosts,
            self.is_gateway(),
            self._reader_role.store_era,
            offsets if is_restored else {},
            self.versions.own_version,
        )

    def _send_hello(self, at):
        """Ask seeds, listed hosts and those of other data centres for addresses."""
        settings = self._settings
        hello = encode(
            Hello(
                settings.id,
                settings.data_centre,
                settings.peer_address,
                self.versions.own_version,
            )
        )
        addresses = set(settings.seeds)
        if self.is_alone():
            addresses |= self._listed
        for sample in self._remote.remote_hosts.sample(at).values():
            addresses.update(sample)
        for address in addresses - {settings.peer_address}:
            self._send(hello, address)

    # The hub.

    def tick(self, at):
        """
        Choose the hub, and do the periodic sends if this host is a hub.

        Returns:
          The seconds until the next call.
        """
        if self._pick_hub(at):
            self._repeat_unconfirmed(at)
        self.versions.tick(at)
        self._reader_role.update(self._may_act_alone(at), at)
        if self._is_hub():
            if self._buffer.clients(at):
                # Its clients receive its updates directly.
                self._shared.limits.membership.note_delivered(at)
            if self._may_act_alone(at):
                self._remote.send_load(at)
        elif not self._buffer.clients(at):
            return TICK_INTERVAL
        if at - self._bundle_sent_at >= HUB_SEND_INTERVAL:
            self._send_bundle(at)
        if at - self._bundle_sent_at >= HUB_SEND_INTERVAL:
            # Nothing was pending; an empty bundle shows that the hub is alive.
            self._send(encode(Bundle()), *self._buffer.clients(at))
            self._bundle_sent_at = at
        return LOAD_INTERVAL

    def _pick_hub(self, at):
        """Choose the hub, and return whether it has changed."""
        former_hub = self._peer_table.hub
        if not self._peer_table.choose_hub(at):
            return False
        log.info(
            "hub changed", extra={"peer": self._peer_table.hub, "former": former_hub}
        )
        return True

    def _may_act_alone(self, at):
        """
        Whether this host may act on behalf of its data centre.

        Hosts that start together discover each other within two heartbeats. Until then
        each considers itself the hub, and all would read the store and send to other
        data centres.
        """
        is_old = at - self._started_at >= DISCOVERY_PERIOD
        return is_old or not self._settings.has_seeds

    def _is_hub(self):
        """Whether this host considers itself the hub."""
        return self._peer_table.hub is None

    def _is_forwarding(self, at):
        """Whether this host forwards updates."""
        return self._is_hub() or bool(self._buffer.clients(at))

    def _confirm(self, update):
        """Note an update that came back, and return when this host sent it, or None."""
        if update.incarnation != self._incarnation:
            return None
        return self._unconfirmed.confirm(update.number)

    def _repeat_unconfirmed(self, at):
        """Send again at once what the former hub may not have forwarded."""
        for update in self._unconfirmed.take():
            self._shared.limits.advertised.repeat_local(update.limits)
            self._shared.availability.repeat_local(update.draining)
            self._shared.quotas.repeat_local(update.quotas)
            if update.outcomes:
                self._shared.outcomes.repeat_from(update.outcomes[0][0])
        self._send_update(at, self._make_heartbeat(at))

    def _note_new_peer(self, at, address):
        """Bring a host up to date whose incarnation has sent its first update."""
        is_own_hub = address == self._peer_table.hub
        if is_own_hub:
            # It has restarted, and lost what its clients had sent.
            self._repeat_unconfirmed(at)
        if is_own_hub or self._is_forwarding(at):
            self._answer_hello(at, address)

    def _answer_hello(self, at, address):
        """
        Send this host's state to one that has just started.

        Hosts that start together have nothing to send each other, and would send it to
        all.
        """
        limits, availability = self._notices
        has_notices = len(limits) or availability.draining_count
        if has_notices or self._may_act_alone(at):
            self._send_state(at, [address])

    def _send_state(self, at, addresses):
        """Send hosts that may not know this one its state and all notices."""
        update = self._make_state(at, self._make_heartbeat(at))
        update.counts = self._shared.own_counts()
        self._add_notices(update, MAX_ROWS)
        bundle = encode_bundle(Bundle([msgspec.Raw(encode(update))]))
        self._send(bundle, *addresses)

    def _send_pending(self):
        self._send_call = None
        at = now()
        if self._has_unsent_update:
            self._send_update(at)
        elif self._is_forwarding(at):
            self._send_bundle(at)

    def _send_update(self, at, heartbeat=None):
        """Send this host's update to its hub, or to all hosts if it is the hub."""
        self._has_unsent_update = False
        update = self._make_update(at, heartbeat)
        data = encode(update)
        if not self._is_hub():
            self._unconfirmed.add(update, at)
            self._send(data, self._peer_table.hub)
        if self._is_forwarding(at):
            self._buffer.add_host_update(self._settings.id, data)
            self._send_bundle(at)

    def _make_update(self, at, heartbeat):
        """Return an update with all that remains to be sent."""
        update = self._make_state(at, heartbeat)
        update.outcomes = [
            (o.number, o.target, o.service, o.route, o.signal, round(o.seconds, 4))
            for o in self._shared.outcomes.next_batch()
        ]
        if heartbeat is not None or at - self._counts_sent_at >= COUNTS_INTERVAL:
            self._counts_sent_at = at
            update.counts = self._shared.own_counts()
        limits, availability = self._notices
        update.quotas = [tuple(row) for row in self._shared.quotas.local_rows(at)]
        update.limits = [tuple(row) for row in limits.local_rows()]
        update.draining = availability.local_rows()
        if heartbeat is not None:
            count = MAX_ROWS if self._is_hub() else ANTI_ENTROPY_ROWS
            self._add_notices(update, count)
        return update

    def _make_state(self, at, heartbeat):
        """Return an update that holds only what every update repeats."""
        self._number += 1
        return HostUpdate(
            self._settings.id,
            self._settings.peer_address,
            self._incarnation,
            self._number,
            self._shared.own_in_flight(),
            [],
            {},
            heartbeat,
            [tuple(record) for record in self._shared.suspects.own_records(at)],
        )

    @property
    def _notices(self):
        """The `AdvertisedLimits` and the `Availability` of the targets."""
        return self._shared.limits.advertised, self._shared.availability

    def _add_notices(self, update, count):
        """Add up to so many notices of each kind, which other hosts may have missed."""
        limits, availability = self._notices
        rows = limits.anti_entropy_rows(count, self._rng)
        update.limits = update.limits + [tuple(row) for row in rows]
        update.draining = update.draining + availability.anti_entropy_rows(
            count, self._rng
        )

    def _send_bundle(self, at):
        """Forward the buffered updates."""
        if self._is_hub() and self._remote.has_urgent_update:
            self._remote.send_update(at)
        load_total = None
        if self._is_load_total_due(at):
            self._load_total_sent_at = at
            load_total = self._shared.remote_load_total(at)
        for_all_hosts, for_clients = self._buffer.drain(load_total)
        all_hosts = self._peer_table.addresses()
        clients = self._buffer.clients(at)
        for data in for_all_hosts:
            self._send(data, *all_hosts)
        for data in for_clients:
            self._send(data, *clients)
        if for_all_hosts or for_clients:
            self._bundle_sent_at = at

    def _is_load_total_due(self, at):
        """Whether to send clients the remote load; slow links send it less often."""
        age = at - self._load_total_sent_at
        has_bandwidth = self._pacer.has_bandwidth(at)
        return age >= MAX_LOAD_TOTAL_INTERVAL or (
            age >= LOAD_TOTAL_INTERVAL and has_bandwidth
        )

    def forward_page(self, topic, page):
        """
        Send the other hosts a page of the store, if this host is a reader.

        Records go directly to all hosts; the new offset goes with a heartbeat.

        Args:
          topic: The topic's name.
          page: The `Page`.
        """
        at = now()
        # The first host that reaches the store after an outage becomes a reader, so the
        # others don't have to read.
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

    # Callbacks of the event loop.

    def connection_made(self, transport):
        self._transport = transport

    def error_received(self, exc):
        # The peer is down; it is also detected by its silence.
        log.debug("datagram error", extra={"cause": str(exc)})

    def datagram_received(self, data, sender):
        address = f"{sender[0]}:{sender[1]}"
        try:
            self._handler.handle(decode(data), data, address, now())
        except (msgspec.DecodeError, RecursionError) as exc:
            log.warning("invalid message", extra={"peer": address, "cause": str(exc)})


def _call_later(seconds, function):
    return asyncio.get_running_loop().call_later(seconds, function)

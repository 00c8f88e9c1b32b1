"""
The other hosts of a data centre, and the choice of its hub and readers.

Sending every update to every host would cost more than half of the processor time in a
data centre of sixty hosts. So hosts send their updates to one host, the hub, which
sends them on in bundles. Likewise a few hosts, the readers, follow the store and
forward its changes.

There is no election protocol. Each host chooses the hub and the readers from the hosts
that it receives messages from, in a fixed order, so hosts with the same view choose the
same. With different views there may briefly be two hubs, which costs extra datagrams
only: each sends its clients' updates to all hosts, and those of other hubs to its
clients.
"""

import enum
import functools
import zlib
from dataclasses import dataclass

from ..core.ids import Address

# Seconds without a message after which a host is evicted. Longer than a restart takes,
# so that a restarted host is found again without a seed.
PEER_TTL = 12.0
# Seconds without a message after which a host is not chosen as the hub. Heartbeats are
# sent once a second.
LIVENESS_TIMEOUT = 1.6
# Readers are replaced sooner, since changes of the store must be known within two
# seconds and the next reader still has to fetch them. A reader too many for a moment
# costs a call or two.
READER_TIMEOUT = 1.3
# Seconds without a message after which the hub is replaced. It sends at least every
# 0.2 s. A change of the hub costs a few datagrams, less than a request that goes by
# outdated state.
HUB_TIMEOUT = 0.5
# The hub is replaced if an update takes longer than this (seconds) to come back in a
# bundle, since all that it sends is then out of date. A hub with a slow link takes half
# of this.
MAX_HUB_DELAY = 1.0
# The hub is replaced if no update has come back for this long (seconds), since it then
# doesn't receive this host's updates. One lost heartbeat is tolerated.
ECHO_TIMEOUT = 2.5
# A replaced hub is not chosen again for this long (seconds), to prevent flapping.
HUB_RETRY_DELAY = 5.0
# Number of hosts of a data centre that follow the store. Two, so that changes are still
# received until the loss of one is detected.
READER_COUNT = 2
# Number of hosts of a data centre that poll an unavailable store at short intervals.
# Several, as some of them may be unable to reach it.
STORE_PROBER_COUNT = 4


class StoreStatus(enum.Enum):
    """A host's access to the store. Member names appear in log lines."""

    # It receives changes from readers, or hasn't read yet.
    TOLD = 0
    # Its last call succeeded.
    READING = 1
    # Its last call failed.
    AWAY = 2


@dataclass(slots=True)
class PeerEntry:
    """
    What a host knows of another host of its data centre.

    `incarnation` is that of its latest update, None if it has not sent one.
    `link_rate` is the capacity of its network link in bytes per second, 0 if unknown.
    `is_gateway` tells whether it opens connections to targets for other hosts. Times
    are in seconds.
    """

    last_message_at: float
    incarnation: int | None = None
    link_rate: float = 0.0
    store_status: StoreStatus = StoreStatus.TOLD
    is_gateway: bool = False
    avoided_until: float = 0.0


class PeerTable:
    """
    The other hosts of the data centre that one host knows, by address.

    Args:
      address: The host's own address.
      link_rate: The capacity of its network link in bytes per second, or None if
        unknown.
    """

    def __init__(self, address, link_rate):
        self._address = address
        self._link_rate = link_rate or 0.0
        self._known = {}
        self._hub = None
        self._last_hub_message_at = 0.0
        self._last_echo_at = 0.0

    def __len__(self):
        return len(self._known)

    def addresses(self):
        """Return the addresses of all known hosts."""
        return list(self._known)

    def has_heard(self, addresses):
        """Return whether any of some hosts has sent an update."""
        known = filter(None, map(self._known.get, addresses))
        return any(host.incarnation is not None for host in known)

    def live_addresses(self, now):
        """Return the addresses of the live hosts."""
        known = self._known.items()
        return [a for a, host in known if now - host.last_message_at < LIVENESS_TIMEOUT]

    def note_message(self, address, now):
        """Record a message of another host, received directly or through a hub."""
        known = self._known.get(address)
        if known is None:
            self._known[address] = PeerEntry(now)
        elif now > known.last_message_at:
            known.last_message_at = now

    def note_incarnation(self, address, incarnation):
        """Return whether this is the first update of a known host's incarnation."""
        known = self._known[address]
        is_first = known.incarnation != incarnation
        known.incarnation = incarnation
        return is_first

    def update(self, address, link_rate, store_status, is_gateway=False):
        """Update what a known host reports of itself."""
        known = self._known[address]
        known.link_rate = link_rate
        known.store_status = store_status
        known.is_gateway = is_gateway

    def gateways(self, now):
        """Return the addresses of the live gateways, and the number of live hosts."""
        live = self.live_addresses(now)
        return [a for a in live if self._known[a].is_gateway], len(live)

    def add_candidate(self, address, now):
        """
        Add a host that another one named; it is evicted unless it sends soon.

        Returns:
          Whether it was unknown.
        """
        if address == self._address or address in self._known:
            return False
        self._known[address] = PeerEntry(now - PEER_TTL / 2)
        return True

    def evict_silent(self, now):
        """Evict hosts that have stopped sending."""
        known = self._known.items()
        self._known = {a: h for a, h in known if now - h.last_message_at < PEER_TTL}

    # The hub.

    @property
    def hub(self) -> Address | None:
        """The current hub, or None if that is this host."""
        return self._hub

    def note_hub_message(self, address, now):
        """Record a message that a host sent as a hub."""
        if address == self._hub:
            self._last_hub_message_at = now

    def choose_hub(self, now):
        """
        Choose the hub: the live host with the fastest link, ties broken by a hash.

        Args:
          now: The current time in seconds.
        Returns:
          Whether the hub has changed.
        """
        if self._hub is not None:
            self._avoid_silent_hub(now)
        link_rates = {
            address: self._known[address].link_rate
            for address in self.live_addresses(now)
            if self._known[address].avoided_until <= now
        }
        link_rates[self._address] = self._link_rate
        best = min(link_rates, key=lambda a: (-link_rates[a], hub_order(a)))
        hub = None if best == self._address else best
        if hub == self._hub:
            return False
        self._hub = hub
        # A new hub gets the full timeouts.
        self._last_hub_message_at = now
        self._last_echo_at = now
        return True

    def note_echo(self, sent_at, now):
        """
        Record that a hub has sent back an update of this host.

        Args:
          sent_at: When this host sent the update, in seconds.
          now: The current time in seconds.
        """
        self._last_echo_at = now
        if now - sent_at > MAX_HUB_DELAY:
            self._avoid_hub(now)

    def _avoid_silent_hub(self, now):
        is_silent = now - self._last_hub_message_at > HUB_TIMEOUT
        is_unechoed = now - self._last_echo_at > ECHO_TIMEOUT
        if is_silent or is_unechoed:
            self._avoid_hub(now)

    def _avoid_hub(self, now):
        known = self._known.get(self._hub)
        if known is not None:
            known.avoided_until = now + HUB_RETRY_DELAY

    # The readers.

    def is_reader(self, store_status, now):
        """
        Return whether this host should follow the store as a reader.

        Args:
          store_status: This host's own `StoreStatus`.
          now: The current time in seconds.
        """
        if store_status is StoreStatus.AWAY:
            return False
        preceding = [
            h
            for h in self._preceding_readers(now)
            if h.store_status is not StoreStatus.AWAY
        ]
        return len(preceding) < READER_COUNT

    def is_store_prober(self, now):
        """Return whether this host should poll an unavailable store."""
        return len(self._preceding_readers(now)) < STORE_PROBER_COUNT

    def _preceding_readers(self, now):
        """Return the live hosts that precede this one in the order of readers."""
        own = _sort_key("reader", self._address)
        return [
            host
            for address, host in self._known.items()
            if now - host.last_message_at < READER_TIMEOUT
            and _sort_key("reader", address) < own
        ]


def hub_order(address):
    """Return the sort key among hosts with equal links; the lowest is the hub."""
    return _sort_key("hub", address)


@functools.lru_cache(maxsize=4096)
def _sort_key(role, address):
    """Return a host's sort key for a role, which is the same at all hosts."""
    return zlib.crc32(f"{role} {address}".encode()), address

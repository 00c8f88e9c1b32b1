"""
The other hosts of a data centre, and which of them do a part for all.

If each host told all others of each start and end, a host of a data centre of sixty
would send and take some three hundred datagrams a second, more than half of its
processor time. So each host tells one, the hub, and that one tells all of them
together, ten times a second or so. In the same way a few hosts, the readers, follow the
store and pass on what changes there.

Nothing is agreed on. Each host picks the hub and the readers by itself from the hosts
that it hears, by a fixed order, so that hosts that hear the same pick the same. Where
they differ for a moment there are two hubs, which costs datagrams and nothing else:
what a hub is told by its own clients it tells all hosts, and what other hubs tell it
goes to its clients.
"""

import enum
import functools
import zlib
from dataclasses import dataclass

from ..core.ids import Address

# A host whose last word is older than this is not written to any more. Longer than a
# restart takes, so that a restarted host is found again without a seed.
PEER_TTL = 12.0
# Hosts beat once a second. One that missed a beat and a half does no part for others.
LIVE_FOR = 1.6
# A reader must be replaced sooner: a change of the store must be known within two
# seconds, and the next reader still has to ask for it. Two hosts that read for a moment
# where one would do cost a call or two.
READER_LIVE_FOR = 1.3
# A hub tells its clients something every 0.2 s. After this long without (seconds) it is
# taken for lost, frozen or out of reach, and the next host in order becomes the hub for
# whoever noticed. A request that meets what the hosts do not know yet costs more than a
# change of the hub, which costs a few datagrams.
HUB_SILENT_FOR = 0.5
# What a host tells its hub comes back to it with the next bundle. If that takes longer
# than this (seconds), the hub is slow and all that it tells is old. A hub behind a
# small link takes half of it.
HUB_LATE_FOR = 1.0
# If nothing comes back for this long (seconds), the hub does not hear this host, and
# nobody knows of its work. Hosts beat each second; one lost beat is no reason.
UNHEARD_FOR = 2.5
# A hub that went silent is not picked again for this long, so that one that is slow, or
# whose link loses much, is not picked and left by turns.
AVOIDED_FOR = 5.0
# Hosts of a data centre that follow the store. One is enough; with two, changes go on
# being known while the loss of one is noticed.
READERS = 2
# Hosts of a data centre that ask a store which is away at short intervals, so that its
# return is known within one of them although some hosts cannot reach it.
FIRST_ASKERS = 4


class StoreStatus(enum.Enum):
    """How a host stands to the store."""

    # It is told by readers, or has not read yet.
    TOLD = 0
    # Its last call was answered.
    READING = 1
    # Its last call was not.
    AWAY = 2


@dataclass(slots=True)
class Neighbour:
    """
    What a host knows of another one of its data centre.

    `link` is what its link carries in bytes a second, 0 if unknown. Times are in
    seconds. It changes with each message that a hub passes on.
    """

    heard_at: float
    link: float = 0.0
    contact: StoreStatus = StoreStatus.TOLD
    avoided_until: float = 0.0


class PeerTable:
    """
    The hosts of the data centre that one host knows, by address.

    Args:
      address: The host's own address.
      link: What its link carries, in bytes a second, or None if unknown.
    """

    def __init__(self, address, link):
        self._address = address
        self._link = link or 0.0
        self._known = {}
        self._hub = None
        self._hub_heard_at = 0.0
        self._hub_heard_us_at = 0.0

    def __len__(self):
        return len(self._known)

    def addresses(self):
        """Return the addresses of all other hosts that may be up."""
        return list(self._known)

    def live(self, now):
        """Return the addresses of the other hosts that were heard lately."""
        known = self._known.items()
        return [a for a, host in known if now - host.heard_at < LIVE_FOR]

    def note_heard(self, address, now):
        """Note that another host was heard, itself or by way of a hub."""
        known = self._known.get(address)
        if known is None:
            self._known[address] = Neighbour(now)
        elif now > known.heard_at:
            known.heard_at = now

    def update(self, address, link, contact):
        """Take what a host that was heard says of itself."""
        known = self._known[address]
        known.link = link
        known.contact = contact

    def add_candidate(self, address, now):
        """Take a host that another one named; it stays only if it is heard."""
        if address != self._address and address not in self._known:
            self._known[address] = Neighbour(now - PEER_TTL / 2)

    def evict_silent(self, now):
        """Forget hosts that have been silent for long."""
        known = self._known.items()
        self._known = {a: h for a, h in known if now - h.heard_at < PEER_TTL}

    # The hub.

    @property
    def hub(self) -> Address | None:
        """The hub as this host picked it last, or None if that is this host."""
        return self._hub

    def note_hub_heard(self, address, now):
        """Note that a host told something as a hub."""
        if address == self._hub:
            self._hub_heard_at = now

    def pick_hub(self, now):
        """
        Pick the hub anew.

        It is the host with the fastest link, since it sends the most; among equals the
        order is by a hash.

        Args:
          now: The present, in seconds.
        Returns:
          Whether it is another one than before.
        """
        if self._hub is not None:
            self._avoid_silent_hub(now)
        links = {
            address: self._known[address].link
            for address in self.live(now)
            if self._known[address].avoided_until <= now
        }
        links[self._address] = self._link
        best = min(links, key=lambda a: (-links[a], hub_order(a)))
        picked = None if best == self._address else best
        if picked == self._hub:
            return False
        self._hub = picked
        # A hub that has just been picked gets its time to answer.
        self._hub_heard_at = now
        self._hub_heard_us_at = now
        return True

    def note_echo(self, sent_at, now):
        """
        Note that a hub has passed on what this host told it.

        Args:
          sent_at: When this host told it, in seconds.
          now: The present, in seconds.
        """
        self._hub_heard_us_at = now
        if now - sent_at > HUB_LATE_FOR:
            self._avoid_hub(now)

    def _avoid_silent_hub(self, now):
        is_silent = now - self._hub_heard_at > HUB_SILENT_FOR
        is_deaf = now - self._hub_heard_us_at > UNHEARD_FOR
        if is_silent or is_deaf:
            self._avoid_hub(now)

    def _avoid_hub(self, now):
        known = self._known.get(self._hub)
        if known is not None:
            known.avoided_until = now + AVOIDED_FOR

    # The readers.

    def is_reader(self, contact, now):
        """
        Return whether this host should follow the store for all.

        Args:
          contact: This host's own `StoreStatus`.
          now: The present, in seconds.
        """
        if contact is StoreStatus.AWAY:
            return False
        before = [h for h in self._before(now) if h.contact is not StoreStatus.AWAY]
        return len(before) < READERS

    def is_first_asker(self, now):
        """Return whether this host is among the first to ask a store that is away."""
        return len(self._before(now)) < FIRST_ASKERS

    def _before(self, now):
        """Return the hosts that are up and come before this one as readers."""
        own = _place("reader", self._address)
        return [
            host
            for address, host in self._known.items()
            if now - host.heard_at < READER_LIVE_FOR and _place("reader", address) < own
        ]


def hub_order(address):
    """Return what orders hosts with equal links; the lowest is the hub."""
    return _place("hub", address)


@functools.lru_cache(maxsize=4096)
def _place(part, address):
    """Return a host's place in the order for a part, the same at all hosts."""
    return zlib.crc32(f"{part} {address}".encode()), address

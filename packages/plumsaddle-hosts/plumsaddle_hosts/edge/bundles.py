"""
What a hub has been told and has not yet told the others.
"""

import itertools
from collections import deque

import msgspec

from .messages import Bundle, DataCentreQuotas, encode_bundle

# Seconds since a host's last message after which it is no client of this hub any more;
# clients beat once a second.
CLIENT_FOR = 2.5
# Messages of one host that wait for the next bundle. Each states all of its work, and
# outcomes are told in two messages each, so the last two say nearly all; with more, a
# hub behind a small link would fall behind for ever.
KEPT_OF_HOST = 2
# Bytes of messages that go into one datagram. Compressed, they fit into one packet, so
# that links that lose packets lose no more of these than of short datagrams.
BUNDLE_MOST = 4_000


class Collected:
    """
    Messages for all hosts, and those for this host's own clients alone.

    What clients say goes to all. What other hubs say has gone to all hosts that those
    know, so it goes on only to clients, which may not hear these hubs.
    """

    def __init__(self):
        self._clients = {}
        self._works = {}
        self._fars = []
        self._works_of_hubs = []
        self._fars_of_hubs = []
        self._asked = {}

    def note_client(self, address, now):
        """Note that a host has told this one as its hub."""
        self._clients[address] = now

    def clients(self, now):
        """Return the addresses of the hosts that tell this one as their hub."""
        heard = self._clients.items()
        self._clients = {a: at for a, at in heard if now - at < CLIENT_FOR}
        return list(self._clients)

    def add_work(self, host, data):
        """Keep a host's encoded `Work` for all."""
        works = self._works.setdefault(host, deque(maxlen=KEPT_OF_HOST))
        works.append(msgspec.Raw(data))

    def add_far(self, data):
        """Keep an encoded `Far` for all."""
        self._fars.append(msgspec.Raw(data))

    def add_from_hub(self, works, fars):
        """Keep what another hub told all, for this one's clients."""
        self._works_of_hubs += works
        self._fars_of_hubs += fars

    def add_asked(self, centre, hosts, rows):
        """Keep what workspaces asked of another data centre, for the clients."""
        _, newest = self._asked.get(centre, (0, {}))
        newest.update((row[0], row) for row in rows)
        self._asked[centre] = (hosts, newest)

    def take(self, sums):
        """
        Return what is to be told, and forget it.

        Args:
          sums: The `RemoteLoadTotal` for the clients, or None.
        Returns:
          The datagrams for all hosts, and those for clients besides.
        """
        works = list(itertools.chain.from_iterable(self._works.values()))
        for_all = _pack(works, self._fars)
        for_clients = _pack(self._works_of_hubs, self._fars_of_hubs)
        asked = [
            DataCentreQuotas(centre, hosts, list(rows.values()))
            for centre, (hosts, rows) in self._asked.items()
        ]
        has_sums = sums is not None and bool(sums.centres)
        if has_sums or any(centre.rows for centre in asked):
            bundle = Bundle(asked=asked)
            if has_sums:
                bundle.centres, bundle.load = list(sums.centres), sums.counts
            for_clients.append(encode_bundle(bundle))
            self._asked = {}
        self._works, self._fars = {}, []
        self._works_of_hubs, self._fars_of_hubs = [], []
        return for_all, for_clients


def _pack(works, fars):
    """Return the datagrams of encoded messages, none longer than needs be."""
    datagrams = []
    bundle, size = Bundle(works=[], fars=[]), 0
    rows = [(True, raw) for raw in works] + [(False, raw) for raw in fars]
    for is_work, raw in rows:
        if size and size + len(raw) > BUNDLE_MOST:
            datagrams.append(encode_bundle(bundle))
            bundle, size = Bundle(works=[], fars=[]), 0
        (bundle.works if is_work else bundle.fars).append(raw)
        size += len(raw)
    if size:
        datagrams.append(encode_bundle(bundle))
    return datagrams

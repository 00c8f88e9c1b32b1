"""
What a hub has been told and has not yet told the others.
"""

import itertools
from collections import deque

import msgspec

from .messages import Bundle, DataCentreQuotas, encode_bundle

# Seconds since a host's last message after which it is no client of this hub any more;
# clients beat once a second.
CLIENT_TTL = 2.5
# Messages of one host that wait for the next bundle. Each states all of its work, and
# outcomes are told in two messages each, so the last two say nearly all; with more, a
# hub behind a small link would fall behind for ever.
MAX_UPDATES_PER_HOST = 2
# Bytes of messages that go into one datagram. Compressed, they fit into one packet, so
# that links that lose packets lose no more of these than of short datagrams.
MAX_BUNDLE_SIZE = 4_000


class BundleBuffer:
    """
    Messages for all hosts, and those for this host's own clients alone.

    What clients say goes to all. What other hubs say has gone to all hosts that those
    know, so it goes on only to clients, which may not hear these hubs.
    """

    def __init__(self):
        self._clients = {}
        self._host_updates = {}
        self._data_centre_updates = []
        self._client_host_updates = []
        self._client_data_centre_updates = []
        self._quotas = {}

    def note_client(self, address, now):
        """Note that a host has told this one as its hub."""
        self._clients[address] = now

    def clients(self, now):
        """Return the addresses of the hosts that tell this one as their hub."""
        heard = self._clients.items()
        self._clients = {a: at for a, at in heard if now - at < CLIENT_TTL}
        return list(self._clients)

    def add_host_update(self, host, data):
        """Keep a host's encoded `Work` for all."""
        works = self._host_updates.setdefault(host, deque(maxlen=MAX_UPDATES_PER_HOST))
        works.append(msgspec.Raw(data))

    def add_data_centre_update(self, data):
        """Keep an encoded `Far` for all."""
        self._data_centre_updates.append(msgspec.Raw(data))

    def add_from_hub(self, works, fars):
        """Keep what another hub told all, for this one's clients."""
        self._client_host_updates += works
        self._client_data_centre_updates += fars

    def add_quotas(self, centre, hosts, rows):
        """Keep what workspaces asked of another data centre, for the clients."""
        _, newest = self._quotas.get(centre, (0, {}))
        newest.update((row[0], row) for row in rows)
        self._quotas[centre] = (hosts, newest)

    def drain(self, sums):
        """
        Return what is to be told, and forget it.

        Args:
          sums: The `RemoteLoadTotal` for the clients, or None.
        Returns:
          The datagrams for all hosts, and those for clients besides.
        """
        works = list(itertools.chain.from_iterable(self._host_updates.values()))
        for_all = _encode_bundles(works, self._data_centre_updates)
        for_clients = _encode_bundles(
            self._client_host_updates, self._client_data_centre_updates
        )
        asked = [
            DataCentreQuotas(centre, hosts, list(rows.values()))
            for centre, (hosts, rows) in self._quotas.items()
        ]
        has_sums = sums is not None and bool(sums.centres)
        if has_sums or any(centre.rows for centre in asked):
            bundle = Bundle(asked=asked)
            if has_sums:
                bundle.centres, bundle.load = list(sums.centres), sums.counts
            for_clients.append(encode_bundle(bundle))
            self._quotas = {}
        self._host_updates, self._data_centre_updates = {}, []
        self._client_host_updates, self._client_data_centre_updates = [], []
        return for_all, for_clients


def _encode_bundles(works, fars):
    """Return the datagrams of encoded messages, none longer than needs be."""
    datagrams = []
    bundle, size = Bundle(works=[], fars=[]), 0
    rows = [(True, raw) for raw in works] + [(False, raw) for raw in fars]
    for is_work, raw in rows:
        if size and size + len(raw) > MAX_BUNDLE_SIZE:
            datagrams.append(encode_bundle(bundle))
            bundle, size = Bundle(works=[], fars=[]), 0
        (bundle.works if is_work else bundle.fars).append(raw)
        size += len(raw)
    if size:
        datagrams.append(encode_bundle(bundle))
    return datagrams

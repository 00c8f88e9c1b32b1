"""
Updates that a hub has received and not yet forwarded.
"""

import itertools
from collections import deque

import msgspec

from .messages import Bundle, DataCentreQuotas, encode_bundle

# A host that sent this hub nothing for this long (seconds) is no longer its client.
# Heartbeats are sent once a second.
CLIENT_TTL = 2.5
# Updates kept per host until the next bundle. Older ones are dropped, so a hub with a
# slow link doesn't fall behind. Little is lost: each update holds the host's complete
# in-flight table, and each outcome is sent in two updates.
MAX_UPDATES_PER_HOST = 2
# Bytes of updates per datagram. Compressed, they fit into one packet, so packet loss
# affects bundles no more than short datagrams.
MAX_BUNDLE_SIZE = 4_000


class BundleBuffer:
    """
    Updates to forward to all hosts, and those to forward to this hub's clients only.

    Updates from clients go to all hosts. Another hub has sent its updates to all hosts
    that it knows, so they go only to clients, which may not receive from that hub.
    """

    def __init__(self):
        self._clients = {}
        self._host_updates = {}
        self._data_centre_updates = []
        self._client_host_updates = []
        self._client_data_centre_updates = []
        self._quotas = {}

    def note_client(self, address, now):
        """Record that a host has sent an update to this one as its hub."""
        self._clients[address] = now

    def clients(self, now):
        """Return the addresses of the hosts that use this one as their hub."""
        heard = self._clients.items()
        self._clients = {a: at for a, at in heard if now - at < CLIENT_TTL}
        return list(self._clients)

    def add_host_update(self, host, data):
        """Add a host's encoded `HostUpdate`, to be sent to all hosts."""
        host_updates = self._host_updates.setdefault(
            host, deque(maxlen=MAX_UPDATES_PER_HOST)
        )
        host_updates.append(msgspec.Raw(data))

    def add_data_centre_update(self, data):
        """Add an encoded `DataCentreUpdate`, to be sent to all hosts."""
        self._data_centre_updates.append(msgspec.Raw(data))

    def add_from_hub(self, host_updates, data_centre_updates):
        """Add encoded updates of another hub's bundle, to be sent to clients."""
        self._client_host_updates += host_updates
        self._client_data_centre_updates += data_centre_updates

    def add_quotas(self, data_centre, host_count, rows):
        """Add the quota rows of another data centre, to be sent to clients."""
        _, newest = self._quotas.get(data_centre, (0, {}))
        newest.update((row[0], row) for row in rows)
        self._quotas[data_centre] = (host_count, newest)

    def drain(self, load_total):
        """
        Remove all updates and return them as datagrams.

        Args:
          load_total: The `RemoteLoadTotal` for the clients, or None.
        Returns:
          The datagrams for all hosts, and further ones for clients.
        """
        host_updates = list(itertools.chain.from_iterable(self._host_updates.values()))
        for_all_hosts = _encode_bundles(host_updates, self._data_centre_updates)
        for_clients = _encode_bundles(
            self._client_host_updates, self._client_data_centre_updates
        )
        quotas = [
            DataCentreQuotas(data_centre, host_count, list(rows.values()))
            for data_centre, (host_count, rows) in self._quotas.items()
        ]
        has_load_total = load_total is not None and bool(load_total.data_centres)
        if has_load_total or any(data_centre.rows for data_centre in quotas):
            bundle = Bundle(quotas=quotas)
            if has_load_total:
                bundle.data_centres, bundle.load = (
                    list(load_total.data_centres),
                    load_total.counts,
                )
            for_clients.append(encode_bundle(bundle))
            self._quotas = {}
        self._host_updates, self._data_centre_updates = {}, []
        self._client_host_updates, self._client_data_centre_updates = [], []
        return for_all_hosts, for_clients


def _encode_bundles(host_updates, data_centre_updates):
    """Return datagrams of encoded updates, each of about MAX_BUNDLE_SIZE at most."""
    datagrams = []
    bundle, size = Bundle(host_updates=[], data_centre_updates=[]), 0
    rows = [(True, raw) for raw in host_updates] + [
        (False, raw) for raw in data_centre_updates
    ]
    for is_host_update, raw in rows:
        if size and size + len(raw) > MAX_BUNDLE_SIZE:
            datagrams.append(encode_bundle(bundle))
            bundle, size = Bundle(host_updates=[], data_centre_updates=[]), 0
        (bundle.host_updates if is_host_update else bundle.data_centre_updates).append(
            raw
        )
        size += len(raw)
    if size:
        datagrams.append(encode_bundle(bundle))
    return datagrams

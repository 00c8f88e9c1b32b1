"""
Tests of the buffer of updates that a hub forwards.
"""

import msgspec

from plumsaddle_core.ops.peer_updates import RemoteLoadTotal

from .bundles import CLIENT_TTL, MAX_UPDATES_PER_HOST, BundleBuffer
from .messages import HostUpdate, decode, decompress_bundle, encode


def _host_update(host, number):
    return encode(HostUpdate(host, "10.0.0.1:7000", 1, number, {}, [], {}))


def _bundles(datagrams):
    messages = [decode(data) for data in datagrams]
    return [m if hasattr(m, "host_updates") else decompress_bundle(m) for m in messages]


def test_delayed_hub_drops_old_updates():
    """Guards against growing delays and memory use of a hub with a slow link."""
    buffer = BundleBuffer()
    for number in range(200):
        for host in range(20):
            buffer.add_host_update(f"h{host}", _host_update(f"h{host}", number))
    for_all_hosts, _ = buffer.drain(None)
    numbers = [
        decode(raw).number for b in _bundles(for_all_hosts) for raw in b.host_updates
    ]
    assert sorted(numbers) == sorted(list(range(200 - MAX_UPDATES_PER_HOST, 200)) * 20)
    assert buffer.drain(None) == ([], [])


def test_updates_of_other_hubs_go_to_clients_only():
    buffer = BundleBuffer()
    buffer.note_client("10.0.0.2:7000", 1.0)
    buffer.add_from_hub([msgspec.Raw(_host_update("h1", 1))], [])
    for_all_hosts, for_clients = buffer.drain(RemoteLoadTotal(("y",), {7: 1}))
    assert for_all_hosts == []
    updates, load_total = _bundles(for_clients)
    assert [decode(raw).host for raw in updates.host_updates] == ["h1"]
    assert (load_total.data_centres, load_total.load) == (["y"], {7: 1})
    assert buffer.clients(1.0 + CLIENT_TTL / 2) == ["10.0.0.2:7000"]
    assert buffer.clients(1.1 + CLIENT_TTL) == []

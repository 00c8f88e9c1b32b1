"""
Tests of what a hub keeps until it tells it.
"""

import msgspec

from plumsaddle_core.ops.news import RemoteLoadTotal

from .bundles import CLIENT_TTL, MAX_UPDATES_PER_HOST, BundleBuffer
from .messages import HostUpdate, decode, decompress_bundle, encode


def _work(host, number):
    return encode(HostUpdate(host, "10.0.0.1:7000", 1, number, {}, [], {}))


def _bundles(datagrams):
    messages = [decode(data) for data in datagrams]
    return [m if hasattr(m, "host_updates") else decompress_bundle(m) for m in messages]


def test_a_hub_that_may_not_tell_for_a_while_does_not_fall_behind():
    """
    Hosts know of failures later and later, until the hub runs out of memory.

    Its link carries less than it is told, and all of it waited to be passed on.
    """
    collected = BundleBuffer()
    for number in range(200):
        for host in range(20):
            collected.add_host_update(f"h{host}", _work(f"h{host}", number))
    for_all, _ = collected.drain(None)
    numbers = [decode(raw).number for b in _bundles(for_all) for raw in b.host_updates]
    assert sorted(numbers) == sorted(list(range(200 - MAX_UPDATES_PER_HOST, 200)) * 20)
    assert collected.drain(None) == ([], [])


def test_what_other_hubs_say_goes_to_clients_alone():
    collected = BundleBuffer()
    collected.note_client("10.0.0.2:7000", 1.0)
    collected.add_from_hub([msgspec.Raw(_work("h1", 1))], [])
    for_all, for_clients = collected.drain(RemoteLoadTotal(("y",), {7: 1}))
    assert for_all == []
    works, sums = _bundles(for_clients)
    assert [decode(raw).host for raw in works.host_updates] == ["h1"]
    assert (sums.data_centres, sums.load) == (["y"], {7: 1})
    assert collected.clients(1.0 + CLIENT_TTL / 2) == ["10.0.0.2:7000"]
    assert collected.clients(1.1 + CLIENT_TTL) == []

"""
Tests of choosing the hub and the readers.
"""

from .peer_table import (
    HUB_RETRY_DELAY,
    HUB_TIMEOUT,
    READER_COUNT,
    READER_TIMEOUT,
    STORE_PROBER_COUNT,
    PeerTable,
    StoreStatus,
)

NAMES = [f"10.0.0.{number}:7000" for number in range(1, 60)]


def _fleet(links=None):
    """Return the tables of hosts that all receive each other's messages, by address."""
    links = links or {}
    tables = {name: PeerTable(name, links.get(name)) for name in NAMES}
    _note_messages(tables, NAMES, 0.0, links)
    return tables


def _note_messages(tables, senders, at, links=None):
    for own, table in tables.items():
        for name in senders:
            if name != own:
                table.note_message(name, at)
                table.update(name, (links or {}).get(name, 0.0), StoreStatus.TOLD)


def test_hosts_with_the_same_view_choose_the_same():
    tables = _fleet({NAMES[7]: 25e6})
    for table in tables.values():
        table.choose_hub(0.1)
    assert {table.hub or name for name, table in tables.items()} == {NAMES[7]}
    readers = [n for n, t in tables.items() if t.is_reader(StoreStatus.TOLD, 0.1)]
    assert len(readers) == READER_COUNT
    probers = [n for n, t in tables.items() if t.is_store_prober(0.1)]
    assert len(probers) == STORE_PROBER_COUNT


def test_a_reader_that_lost_the_store_is_replaced_by_the_next():
    """
    Guards against missing changes because the store rejects just the two readers.
    """
    tables = _fleet()
    lost = [n for n, t in tables.items() if t.is_reader(StoreStatus.TOLD, 0.1)]
    for name in lost:
        for own, table in tables.items():
            if own != name:
                table.update(name, 0.0, StoreStatus.AWAY)
    statuses = {n: StoreStatus.AWAY if n in lost else StoreStatus.TOLD for n in NAMES}
    readers = [n for n, t in tables.items() if t.is_reader(statuses[n], 0.1)]
    assert len(readers) == READER_COUNT
    assert not set(readers) & set(lost)


def test_silent_readers_are_replaced_within_the_time_for_a_change():
    """
    Guards against missing changes for over two seconds when both readers are lost.
    """
    tables = _fleet()
    lost = [n for n, t in tables.items() if t.is_reader(StoreStatus.TOLD, 0.1)]
    at = READER_TIMEOUT
    _note_messages(tables, set(NAMES) - set(lost), at)
    readers = [
        n
        for n, t in tables.items()
        if n not in lost and t.is_reader(StoreStatus.TOLD, at)
    ]
    assert len(readers) == READER_COUNT
    assert READER_TIMEOUT < 1.5


def test_the_only_host_of_a_data_centre_does_all():
    alone = PeerTable(NAMES[0], None)
    assert not alone.choose_hub(1.0)
    assert alone.hub is None
    assert alone.is_reader(StoreStatus.TOLD, 1.0)


def test_a_silent_hub_is_left_and_not_taken_back_at_once():
    """
    Guards against flapping between a slow hub and its replacement.
    """
    tables = _fleet()
    own = NAMES[0]
    table = tables[own]
    table.choose_hub(0.0)
    hub = table.hub
    assert hub is not None
    left_at = HUB_TIMEOUT + 0.01
    _note_messages({own: table}, NAMES, left_at)
    assert table.choose_hub(left_at)
    assert table.hub != hub
    second = table.hub
    for step in range(40):
        at = left_at + step * 0.1
        _note_messages({own: table}, NAMES, at)
        table.note_hub_message(second, at)
        table.note_echo(at, at)
        assert not table.choose_hub(at)
    at = left_at + HUB_RETRY_DELAY
    _note_messages({own: table}, NAMES, at)
    table.note_hub_message(second, at)
    table.note_echo(at, at)
    assert table.choose_hub(at)
    assert table.hub == hub


def test_live_hosts_that_advertise_it_are_gateways():
    """Guards against asking hosts that are lost or cannot help for connections."""
    table = PeerTable(NAMES[0], 0.0)
    for name, is_gateway in zip(NAMES[1:4], (True, False, True), strict=True):
        table.note_message(name, 0.0)
        table.update(name, 0.0, StoreStatus.TOLD, is_gateway)
    table.note_message(NAMES[1], 2.0)
    assert table.gateways(1.0) == ([NAMES[1], NAMES[3]], 3)
    assert table.gateways(2.0) == ([NAMES[1]], 1)

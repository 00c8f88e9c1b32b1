"""
Tests of the datagram protocol between hosts, without sockets.
"""

import random

import msgspec
import pytest
from hypothesis import example, given, settings, strategies as st

from plumsaddle_core.core.traffic import Bounds, HostSettings, Workspace
from plumsaddle_core.limits.sums import workspace_tag
from plumsaddle_core.ops.peer_table import (
    ECHO_TIMEOUT,
    HUB_RETRY_DELAY,
    HUB_TIMEOUT,
    READER_COUNT,
)
from plumsaddle_core.ops.peer_updates import HealthSignal, target_tag
from plumsaddle_core.ops.remote_load import REMOTE_LOAD_TTL
from plumsaddle_core.ops.shared_state import SharedState
from plumsaddle_core.ops.suspects import RunRecord

from ..platform.store import KeyedRecord, Page
from . import peers as module
from .bundles import CLIENT_TTL
from .messages import Bundle, HostUpdate, Records, decode, decode_records
from .peers import DISCOVERY_PERIOD, HUB_SEND_INTERVAL, PeerProtocol
from .remote_sender import REMOTE_HUB_TTL
from .store_access import StoreAccess

DATA_CENTRES = ("x", "y")
encode = msgspec.msgpack.encode


class FakeNetwork:
    """
    A simulated network that delivers datagrams between hosts.

    Hosts in `isolated` send and receive nothing. `broken_paths` holds pairs of sender
    and receiver between which datagrams are lost. `delays` holds the seconds until
    delivery, by receiver.
    """

    def __init__(self):
        self.hosts = {}
        self.sent = []
        self.isolated = set()
        self.broken_paths = set()
        self.delays = {}
        self._waiting = []
        self.at = 1000.0
        self._scheduled = []
        self._rng = random.Random(1)

    def add(self, name, data_centre, seeds=(), link=None):
        address = f"10.0.0.{len(self.hosts) + 1}:7000"
        settings_ = HostSettings(
            name, data_centre, DATA_CENTRES, "", "", address, seeds, "", Bounds(), link
        )
        shared = SharedState(0.2, 10.0, started_at=-100.0)
        gate = StoreAccess(_ignore, _ignore, _ignore)
        peers = PeerProtocol(settings_, shared, gate, [], self._rng, self.call_later)
        peers.connection_made(_FakeTransport(self, address))
        self.hosts[address] = peers
        return peers, shared, address

    def call_later(self, seconds, function):
        """Call a function at the next delivery, whatever the delay."""
        call = _ScheduledCall(function)
        self._scheduled.append(call)
        return call

    def deliver(self):
        """Deliver all datagrams, including those sent in response."""
        while self.sent or self._scheduled:
            while self.sent:
                self._deliver_one(*self.sent.pop(0))
            self.run_scheduled()

    def run_scheduled(self):
        """Make the scheduled calls."""
        later, self._scheduled = self._scheduled, []
        for call in later:
            call.run()

    def _deliver_one(self, sender, data, address):
        is_lost = {sender, address} & self.isolated or (
            sender,
            address,
        ) in self.broken_paths
        if address in self.delays and not is_lost:
            self._waiting.append(
                (self.at + self.delays[address], sender, data, address)
            )
        elif address in self.hosts and not is_lost:
            self._receive(sender, data, address)

    def _receive(self, sender, data, address):
        ip, _, port = sender.rpartition(":")
        self.hosts[address].datagram_received(data, (ip, int(port)))

    def run(self, seconds):
        """Run the periodic tasks of hosts that are not isolated for some seconds."""
        end = self.at + seconds
        while self.at < end:
            self.at += HUB_SEND_INTERVAL
            due = [row for row in self._waiting if row[0] <= self.at]
            self._waiting = [row for row in self._waiting if row[0] > self.at]
            for _, sender, data, address in due:
                self._receive(sender, data, address)
            is_heartbeat_due = int(self.at) != int(self.at - HUB_SEND_INTERVAL)
            for address, peers in self.hosts.items():
                if address in self.isolated:
                    continue
                if is_heartbeat_due:
                    peers.send_heartbeat(self.at)
                peers.tick(self.at)
            self.deliver()


class _ScheduledCall:
    """A scheduled call that may be cancelled."""

    def __init__(self, function):
        self._function = function

    def run(self):
        function, self._function = self._function, None
        if function is not None:
            function()

    def cancel(self):
        self._function = None


def _ignore(_):
    pass


@pytest.fixture(autouse=True)
def net(monkeypatch):
    """A network whose time is the current time of all hosts."""
    network = FakeNetwork()
    monkeypatch.setattr(module, "now", lambda: network.at)
    return network


class _FakeTransport:
    def __init__(self, net, address):
        self._net = net
        self._address = address

    def is_closing(self):
        return False

    def sendto(self, data, address):
        to = f"{address[0]}:{address[1]}"
        self._net.sent.append((self._address, data, to))


def _fleet(net, count=3, links=None):
    """Return hosts of each data centre that have found each other through seeds."""
    hosts = []
    for data_centre in DATA_CENTRES:
        seeds = ()
        for number in range(count):
            link = links[number] if links else None
            host = net.add(f"{data_centre}{number}", data_centre, seeds, link)
            seeds = seeds or (host[2],)
            hosts.append(host)
    first_x, first_y = hosts[0], hosts[count]
    first_x[0].apply_settings(first_x[0]._settings._replace(seeds=(first_y[2],)))
    net.run(4.0)
    return hosts


def _hub(net, hosts):
    """Return the hub that all of the hosts have chosen."""
    hubs = {peers._peer_table.hub or address for peers, _, address in hosts}
    assert len(hubs) == 1
    return hubs.pop()


def test_failure_reaches_all_data_centres(net):
    """Guards against each data centre losing a request to the same failing target."""
    hosts = _fleet(net)
    hub = _hub(net, hosts[:3])
    peers, shared, _ = next(host for host in hosts[:3] if host[2] != hub)
    shared.note_outcome("t", "act", "r", HealthSignal.FAILED, 0.001, net.at)
    peers.send_update_soon(is_urgent=True)
    net.deliver()
    for _, other, _ in hosts[:3]:
        assert other.failure_probability("t", net.at) > 0.6
    for _, other, _ in hosts[3:]:
        assert other.failure_probability("t", net.at) > 0.45


def test_a_service_is_degraded_in_all_data_centres_if_it_is_as_a_whole(net):
    """Idle targets got no trials where a data centre's own callers were served."""
    hosts = _fleet(net)
    for _, shared, _ in hosts:
        shared._started_at = -100.0

    def end_requests(host, service, served, unserved):
        for is_served in [True] * served + [False] * unserved:
            host[1].note_request_end(service, is_served, net.at)

    # The first counts of a host are only a baseline.
    for host in (hosts[0], hosts[3]):
        end_requests(host, "act", 1, 0)
        end_requests(host, "look", 1, 0)
    net.run(1.5)
    end_requests(hosts[0], "act", 80, 20)
    end_requests(hosts[0], "look", 80, 20)
    end_requests(hosts[3], "act", 95, 5)
    end_requests(hosts[3], "look", 295, 5)
    # Results are exchanged once a second, and counted for a little longer.
    net.run(1.3)
    assert all(shared.is_degraded_overall("act", net.at) for _, shared, _ in hosts)
    assert not any(shared.is_degraded_overall("look", net.at) for _, shared, _ in hosts)
    net.run(4.0)
    assert not any(shared.is_degraded_overall("act", net.at) for _, shared, _ in hosts)


def _crash_target(net, host):
    """Let a target crash during a request of a host."""
    peers, shared, _ = host
    note = RunRecord("key", "life", True)
    shared.suspects.add(note, net.at, is_own=True)
    peers.send_update_soon(is_urgent=True)


@pytest.mark.parametrize("duration", [0.7, 0.2])
@pytest.mark.parametrize("signal", [HealthSignal.FAILED, None])
def test_other_data_centres_know_when_a_target_was_used(net, signal, duration):
    """Idle targets got their trials late, as a use counted from the report on it."""
    hosts = _fleet(net)
    hub = _hub(net, hosts[:3])
    peers, shared, _ = next(host for host in hosts[:3] if host[2] == hub)
    net.run(0.35)
    used_at = net.at
    shared.note_send_start("t", used_at)
    net.run(duration)
    shared.note_send_end("t")
    if signal is not None:
        shared.note_outcome("t", "act", "r", signal, duration, net.at)
        peers.send_update_soon(is_urgent=True)
    net.run(1.5)
    for _, other, _ in hosts[3:]:
        assert abs(other.last_used_at("t") - used_at) < 0.1


def test_crash_reaches_all_data_centres_at_once(net):
    """Guards against crashes by one request being counted per data centre."""
    hosts = _fleet(net)
    hub = _hub(net, hosts[:3])
    _crash_target(net, next(host for host in hosts[:3] if host[2] != hub))
    net.deliver()
    assert [shared.suspects.crash_count("key") for _, shared, _ in hosts] == [1] * 6


def test_crash_is_sent_again_after_lost_datagrams(net):
    """Guards against a host missing a crash because a single datagram was lost."""
    hosts = _fleet(net)
    hub = _hub(net, hosts[:3])
    sender, receiver = [host for host in hosts[:3] if host[2] != hub]
    net.isolated.add(receiver[2])
    _crash_target(net, sender)
    net.run(1.2)
    assert receiver[1].suspects.crash_count("key") == 0
    net.isolated.clear()
    net.run(1.2)
    assert receiver[1].suspects.crash_count("key") == 1


def test_update_of_previous_release_is_decoded():
    """Updates of the previous release have no run records."""
    old = ["w", "h", "10.0.0.1:7000", 1, 1, {}, [], {}, None]
    assert decode(encode(old)).run_records == []


def test_expected_outcomes_stay_in_their_data_centre(net):
    """Guards against needless traffic between data centres."""
    hosts = _fleet(net)
    hub = _hub(net, hosts[:3])
    peers, shared, address = next(host for host in hosts[:3] if host[2] != hub)
    for _ in range(6):
        shared.note_outcome("t", "act", "r", HealthSignal.SUCCEEDED, 0.2, net.at)
    peers.send_update_soon(is_urgent=False)
    net.deliver()
    shared.note_outcome("t", "act", "r", HealthSignal.SUCCEEDED, 0.2, net.at)
    peers.send_update_soon(is_urgent=False)
    sent = []
    while net.sent or net._scheduled:
        net.run_scheduled()
        sent += [(sender, to) for sender, _, to in net.sent]
        while net.sent:
            net._deliver_one(*net.sent.pop(0))
    near = {host[2] for host in hosts[:3]}
    # One datagram to the hub, and one from it to each other host.
    assert sorted(sent) == sorted([(address, hub)] + [(hub, a) for a in near - {hub}])


def test_remote_updates_arrive_without_the_seed(net):
    """Guards against the loss of one host disconnecting two data centres."""
    hosts = _fleet(net)
    for peers, _, _ in hosts:
        assert peers._remote.remote_hosts.sample(net.at)
    net.isolated.add(hosts[3][2])
    net.run(REMOTE_HUB_TTL + 0.1)
    peers, shared, _ = hosts[1]
    for number in range(40):
        shared.note_outcome(
            f"t{number}", "act", "r", HealthSignal.FAILED, 0.001, net.at
        )
        # The receiver is selected at random while no remote hub is known, and evidence
        # is sent twice.
        peers.send_heartbeat(net.at)
        net.deliver()
    peers.send_heartbeat(net.at)
    net.deliver()
    for _, shared, _ in hosts[4:]:
        known = sum(
            shared.failure_probability(f"t{number}", net.at) > 0.5
            for number in range(40)
        )
        # Two of three possible receivers are live, so one in nine is lost both times.
        assert known >= 30


def test_restarted_host_with_clock_set_back_is_accepted(net):
    """Guards against updates of a restarted host being ignored as outdated."""
    hosts = _fleet(net, 2)
    peers, shared, address = hosts[0]
    shared.note_send_start("t", net.at)
    peers.send_update_soon(is_urgent=False)
    net.deliver()
    restarted, restarted_shared, _ = hosts[0]
    restarted.__init__(
        peers._settings,
        restarted_shared,
        StoreAccess(_ignore, _ignore, _ignore),
        [],
        random.Random(1),
        net.call_later,
    )
    restarted.connection_made(_FakeTransport(net, address))
    restarted._peer_table.note_message(hosts[1][2], net.at)
    restarted_shared.note_send_start("t", net.at)
    restarted.send_update_soon(is_urgent=False)
    net.deliver()
    assert hosts[1][1].in_flight("t") == 2


@given(st.binary(max_size=120))
@example(encode(["m", ["nowhere", "1.2.3.4"], {"y": ["x"]}]))
@example(
    msgspec.msgpack.encode(["f", "h", 1, "y", [[0, "t", float("nan")]], [], False])
)
@example(encode(["f", "h", 1, "y", [[0, "t", -1.0]], [], True]))
@example(encode(["w", "h", "1.2.3.4:5", 1, 1, {7: -5}, [], {}]))
@example(encode(["w", "h", "1.2.3.4:5", 1, 1, {"t": 5}, [], {}]))
@example(encode(["b", [["w", "h", "1.2.3.4:5", 1, 1, {7: -5}, [], {}]], [], [], {}]))
@example(encode(["z", b"no deflated data"]))
@example(b"\x99\xa1m\x90\x80\xc0" + b"\x91" * 50_000 + b"\xc0" * 5)
@example(encode(["b", [7, "w"], [[]], ["y"], {7: 1}]))
@example(encode(["r", "t", 0, 1, 0.0, b"no deflated data"]))
@example(encode(["l", "y", "h", 1, 1, {"a": 1}]))
@example(encode(["l", "y", "h", 1, 1, {5: -1}]))
@example(encode(["w", "h", "1.2.3.4:5", 1, 1, {}, [[0, "t", "s", "r", 77, 0.1]], {}]))
@settings(max_examples=200, deadline=None)
def test_invalid_datagrams_neither_raise_nor_corrupt_state(data):
    """Guards against invalid datagrams closing the socket or corrupting the state."""
    network = FakeNetwork()
    peers, shared, address = network.add("x0", "x")
    shared.note_send_start("t", network.at)
    peers.datagram_received(data, ("10.0.0.9", 7000))
    peers.send_heartbeat(network.at)
    assert shared.in_flight("t") == 1
    assert 0.0 < shared.failure_probability("t", network.at) < 1.0


def test_load_reaches_other_data_centres(net):
    """Guards against overload of targets that another data centre uses as well."""
    hosts = _fleet(net)
    for peers, shared, _ in hosts[:2]:
        shared.note_send_start("t", net.at)
        peers.send_update_soon(is_urgent=False)
    net.deliver()
    net.run(0.5)
    for _, shared, _ in hosts:
        assert shared.in_flight("t") == 2
    for _, shared, _ in hosts[3:]:
        assert shared.knows_remote_load("x", net.at)
        assert not shared.knows_remote_load("x", net.at + REMOTE_LOAD_TTL)


def test_next_hub_sends_load_after_hub_loss(net):
    """Guards against a data centre looking idle after the loss of its hub."""
    hosts = _fleet(net)
    hub = _hub(net, hosts[:3])
    left = [host for host in hosts[:3] if host[2] != hub]
    left[0][1].note_send_start("t", net.at)
    left[0][0].send_update_soon(is_urgent=False)
    net.deliver()
    net.isolated.add(hub)
    net.run(REMOTE_LOAD_TTL + HUB_TIMEOUT)
    assert all(shared.in_flight("t") == 1 for _, shared, _ in hosts[3:])
    assert all(shared.knows_remote_load("x", net.at) for _, shared, _ in hosts[3:])


def test_only_the_hub_sends_load(net):
    hosts = _fleet(net)
    net.sent.clear()
    for peers, _, _ in hosts[:3]:
        peers._bundle_sent_at = net.at
        peers.tick(net.at)
    assert len(net.sent) == len(DATA_CENTRES) - 1


def test_host_with_fastest_link_is_hub(net):
    """Guards against a slow link being saturated by forwarded updates."""
    hosts = _fleet(net, 4, links=[2.5e6, 25e6, 2.5e6, 2.5e6])
    assert _hub(net, hosts[:4]) == hosts[1][2]
    assert _hub(net, hosts[4:]) == hosts[5][2]


def test_lost_hub_is_replaced_before_its_clients_look_lost(net):
    """Guards against lost updates and false host losses after the loss of the hub."""
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    net.isolated.add(hub)
    net.run(HUB_TIMEOUT + 2 * HUB_SEND_INTERVAL)
    left = [host for host in hosts[:4] if host[2] != hub]
    assert _hub(net, left) != hub
    peers, shared, _ = left[-1]
    shared.note_outcome("t", "act", "r", HealthSignal.FAILED, 0.001, net.at)
    peers.send_update_soon(is_urgent=True)
    net.deliver()
    for _, other, _ in left:
        assert other.failure_probability("t", net.at) > 0.6
        assert not other._has_lost_hosts(net.at)


def test_hub_resumes_its_role_after_a_freeze(net):
    """Guards against a split, or flapping, when a frozen hub resumes."""
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    net.isolated.add(hub)
    net.run(4.0)
    net.isolated.discard(hub)
    net.run(1.2)
    left = [host for host in hosts[:4] if host[2] != hub]
    assert _hub(net, left) != hub
    frozen = next(host for host in hosts[:4] if host[2] == hub)
    frozen[1].note_send_start("t", net.at)
    frozen[0].send_update_soon(is_urgent=False)
    net.deliver()
    assert all(shared.in_flight("t") == 1 for _, shared, _ in left)
    net.run(HUB_RETRY_DELAY)
    assert _hub(net, hosts[:4]) == hub


def test_slow_hub_is_replaced(net):
    """Guards against outdated state when the hub forwards updates two seconds late."""
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    net.delays[hub] = 2.0
    net.run(ECHO_TIMEOUT + 2 * HUB_SEND_INTERVAL)
    left = [host for host in hosts[:4] if host[2] != hub]
    assert _hub(net, left) != hub


def test_host_that_cannot_reach_the_hub_chooses_another(net):
    """Guards against the others missing the load of a host that can't reach the hub."""
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    disconnected = next(host for host in hosts[:4] if host[2] != hub)
    net.broken_paths.add((disconnected[2], hub))
    others = [host for host in hosts[:4] if host[2] != disconnected[2]]
    for _ in range(round(ECHO_TIMEOUT / HUB_SEND_INTERVAL) + 2):
        # The hub continues to forward the updates of the other hosts.
        for peers, shared, _ in others:
            shared.note_outcome("u", "act", "r", HealthSignal.SUCCEEDED, 0.2, net.at)
            peers.send_update_soon(is_urgent=False)
        net.run(HUB_SEND_INTERVAL)
    disconnected[1].note_send_start("t", net.at)
    disconnected[0].send_update_soon(is_urgent=False)
    net.deliver()
    assert all(shared.in_flight("t") == 1 for _, shared, _ in hosts[:4])


def test_host_without_a_path_to_the_hub_receives_all_updates(net):
    """A host without a path to the hub chooses another, which forwards both ways."""
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    disconnected = next(host for host in hosts[:4] if host[2] != hub)
    net.broken_paths |= {(hub, disconnected[2]), (disconnected[2], hub)}
    net.run(HUB_TIMEOUT + 2 * HUB_SEND_INTERVAL)
    for number, (peers, shared, _) in enumerate(hosts[:4]):
        shared.note_send_start(f"t{number}", net.at)
        peers.send_update_soon(is_urgent=False)
    net.deliver()
    for _, shared, _ in hosts[:4]:
        assert [shared.in_flight(f"t{number}") for number in range(4)] == [1, 1, 1, 1]


@pytest.mark.parametrize("count", [6, 24, 60])
def test_datagram_count_is_linear_in_hosts(net, count):
    """Guards against the number of datagrams growing with the square of the hosts."""
    hosts = [net.add(f"x{n}", "x", ("10.0.0.1:7000",)) for n in range(count)]
    # Long enough for temporary hubs of the discovery to lose their clients.
    net.run(4.0 + CLIENT_TTL)
    hub = _hub(net, hosts)
    net.sent.clear()
    for peers, shared, address in hosts:
        if address != hub:
            shared.note_send_start("t", net.at)
            peers.send_update_soon(is_urgent=False)
    net.run_scheduled()
    assert len(net.sent) == count - 1
    net.deliver()
    assert all(shared.in_flight("t") == count - 1 for _, shared, _ in hosts)


def test_hosts_that_start_together_do_not_all_act_as_hub(net):
    """Guards against all hosts acting as hub and reader after a fleet restart."""
    seed = ("10.0.0.1:7000",)
    hosts = [net.add(f"{c}{n}", c, seed) for c in DATA_CENTRES for n in range(6)]
    net.run(DISCOVERY_PERIOD / 2)
    acting = [peers for peers, _, _ in hosts if peers._remote._load_number]
    reading = [peers for peers, _, _ in hosts if peers._reader_role.is_reader]
    # The seed host has no seeds to wait for.
    assert [peers._settings.peer_address for peers in acting] == list(seed)
    assert [peers._settings.peer_address for peers in reading] == list(seed)
    net.run(4.0)
    before = [peers._remote._load_number for peers, _, _ in hosts]
    net.run(1.0)
    are_sending = [
        p._remote._load_number > n for (p, _, _), n in zip(hosts, before, strict=True)
    ]
    assert sum(are_sending[:6]) == sum(are_sending[6:]) == 1
    for data_centre in (hosts[:6], hosts[6:]):
        assert (
            sum(peers._reader_role.is_reader for peers, _, _ in data_centre)
            == READER_COUNT
        )


def test_records_are_sent_with_their_first_offset(net):
    """Guards against hosts skipping records because of a wrong start offset."""
    hosts = _fleet(net, 4)
    reader = next(peers for peers, _, _ in hosts[:4] if peers._reader_role.is_reader)
    net.sent.clear()
    page = Page([KeyedRecord(11, "t-1", None), KeyedRecord(12, "t-2", b"x")], 13)
    reader.forward_page("topic", page)
    messages = [decode(data) for _, data, _ in net.sent]
    records = [message for message in messages if isinstance(message, Records)]
    assert len(records) == 3
    for message in records:
        assert (message.start_offset, message.next_offset) == (11, 13)
        assert decode_records(message.compressed) == page.records


def test_invalid_message_does_not_hide_the_rest_of_a_bundle(net):
    """Guards against an incompatible message hiding the rest of its bundle."""
    peers, shared, _ = net.add("x0", "x")
    work = HostUpdate("x1", "10.0.0.9:7000", 1, 1, {target_tag("t"): 1}, [], {})
    raws = [msgspec.Raw(encode(["w", "strange"])), msgspec.Raw(encode(work))]
    peers.datagram_received(encode(Bundle(host_updates=raws)), ("10.0.0.8", 7000))
    assert shared.in_flight("t") == 1


def test_urgent_updates_never_wait_longer_than_others(net):
    """Guards against an urgent update delaying a send that was already scheduled."""
    peers, shared, _ = _fleet(net, 4)[0]
    waits = []
    peers._call_later = lambda seconds, function: (
        waits.append(seconds) or _ScheduledCall(function)
    )
    peers.send_update_soon(is_urgent=False)
    peers._pacer.spend(10_000, 0, net.at)
    peers.send_update_soon(is_urgent=True)
    assert len(waits) == 1


def _announce_draining(net, host, incarnation="t"):
    """Let a target tell a host that it is draining."""
    peers, shared, _ = host
    shared.availability.note_draining(incarnation, net.at)
    peers.send_update_soon(is_urgent=True)
    net.deliver()


def _know_draining(hosts, incarnation="t"):
    """Return which of the hosts know that a target is draining."""
    return [shared.availability.is_draining(incarnation) for _, shared, _ in hosts]


def test_joining_host_hears_of_draining_at_once(net):
    """Guards against requests to a leaving target from a host that has just started."""
    hosts = _fleet(net)
    _announce_draining(net, hosts[0])
    net.run(0.4)
    late = net.add("x9", "x", (hosts[0][2],))
    late[0].send_heartbeat(net.at)
    net.deliver()
    assert _know_draining([late]) == [True]


def test_restarted_hub_hears_of_draining_at_once(net):
    """Guards against a hub that forgets what its data centre knows of targets."""
    hosts = _fleet(net, 6)
    hub = _hub(net, hosts[:6])
    restarted = next(host for host in hosts if host[2] == hub)
    for number in range(40):
        _announce_draining(net, hosts[0], f"t{number}")
    peers, _, address = restarted
    shared = SharedState(0.2, 10.0, started_at=net.at)
    gate = StoreAccess(_ignore, _ignore, _ignore)
    peers.__init__(peers._settings, shared, gate, [], random.Random(1), net.call_later)
    peers.connection_made(_FakeTransport(net, address))
    peers.send_heartbeat(net.at)
    net.deliver()
    net.run(HUB_SEND_INTERVAL)
    draining = [f"t{number}" for number in range(40)]
    assert all(map(shared.availability.is_draining, draining))


def test_hosts_with_a_seed_elsewhere_find_each_other_at_once(net):
    """Guards against updates lost while two hosts that start together have no hub."""
    seed = net.add("x0", "x")
    hosts = [net.add(f"y{n}", "y", (seed[2],)) for n in range(2)]
    for peers, _, _ in hosts:
        peers.send_heartbeat(net.at)
        net.deliver()
    _announce_draining(net, hosts[0])
    assert _know_draining(hosts) == [True, True]


@pytest.mark.parametrize("earlier", [0, 40])
def test_draining_is_sent_again_after_the_loss_of_the_hub(net, earlier):
    """Guards against requests to a leaving target whose notice a lost hub received."""
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    for number in range(earlier):
        _announce_draining(net, hosts[0], f"t{number}")
    net.run(2.2)
    net.isolated.add(hub)
    left = [host for host in hosts[:4] if host[2] != hub]
    for _ in range(3):
        _announce_draining(net, left[0])
    net.run(HUB_TIMEOUT + 2 * HUB_SEND_INTERVAL)
    assert _know_draining(left) == [True] * 3


def test_counts_and_outcomes_are_sent_again_after_the_loss_of_the_hub(net):
    """Guards against limits and estimates that lack what a lost hub received last."""
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    left = [host for host in hosts[:4] if host[2] != hub]
    workspace = Workspace("w", (), 10.0, 10.0)
    for _, shared, _ in left:
        shared.quotas.configure([workspace], net.at)
    net.isolated.add(hub)
    peers, shared, _ = left[0]
    for _ in range(3):
        shared.quotas.acquire(workspace, net.at)
    shared.note_outcome("t", "act", "r", HealthSignal.FAILED, 0.001, net.at)
    for _ in range(3):
        peers.send_update_soon(is_urgent=True)
        net.deliver()
    net.run(HUB_TIMEOUT + 2 * HUB_SEND_INTERVAL)
    tag = workspace_tag("w")
    for _, other, _ in left:
        assert other.failure_probability("t", net.at) > 0.5
        assert other.quotas._states[tag].local.requested(net.at) > 2.0


def test_idle_data_centre_repeats_draining(net):
    """Guards against a notice that no other data centre hears while hosts are idle."""
    hosts = _fleet(net)
    net.isolated.update(host[2] for host in hosts[3:])
    _announce_draining(net, hosts[0])
    net.run(1.2)
    net.isolated.clear()
    net.run(2.4)
    assert _know_draining(hosts) == [True] * 6


def test_data_centre_that_is_found_late_hears_of_draining_at_once(net):
    """Guards against a notice that is spent before another data centre is known."""
    hosts = [net.add(f"x{n}", "x", ("10.0.0.1:7000",)) for n in range(2)]
    net.run(2.0)
    _announce_draining(net, hosts[0])
    net.run(0.4)
    late = net.add("y0", "y", (hosts[0][2],))
    late[0].send_heartbeat(net.at)
    net.deliver()
    net.run(2 * HUB_SEND_INTERVAL)
    assert _know_draining([late]) == [True]


def test_hello_is_answered_with_the_hub_among_many_hosts(net):
    """Guards against a host of a large data centre that finds its hub after seconds."""
    hosts = [net.add(f"x{n}", "x", ("10.0.0.1:7000",)) for n in range(120)]
    net.run(4.0 + CLIENT_TTL)
    hub = _hub(net, hosts)
    net.run(0.4)
    late = net.add("late", "x", (next(a for _, _, a in hosts if a != hub),))
    late[0].send_heartbeat(net.at)
    net.deliver()
    net.run(2 * HUB_SEND_INTERVAL)
    assert late[0]._peer_table.hub == hub

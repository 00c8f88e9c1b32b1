"""
Tests of the datagrams between hosts, without sockets.
"""

import random

import msgspec
import pytest
from hypothesis import example, given, settings, strategies as st

from plumsaddle_core.core.traffic import Bounds, HostSettings
from plumsaddle_core.ops.elsewhere import REMOTE_LOAD_TTL
from plumsaddle_core.ops.neighbours import (
    ECHO_TIMEOUT,
    HUB_RETRY_DELAY,
    HUB_TIMEOUT,
    READER_COUNT,
)
from plumsaddle_core.ops.news import HealthSignal, target_tag
from plumsaddle_core.ops.suspects import RunRecord
from plumsaddle_core.ops.zone import SharedState

from ..platform.store import KeyedRecord, Page
from . import peers as module
from .bundles import CLIENT_TTL
from .gate import StoreAccess
from .messages import Bundle, HostUpdate, Records, decode, decode_records
from .others import REMOTE_HUB_TTL
from .peers import DISCOVERY_PERIOD, HUB_SEND_INTERVAL, PeerProtocol

CENTRES = ("x", "y")
encode = msgspec.msgpack.encode


class Net:
    """
    Hosts that hand their datagrams to each other.

    Hosts in `cut` hear nothing and are not heard; `broken` are pairs of addresses
    between which datagrams are lost.
    """

    def __init__(self):
        self.hosts = {}
        self.sent = []
        self.cut = set()
        self.broken = set()
        # Seconds that datagrams to an address wait before it takes them.
        self.slow = {}
        self._waiting = []
        self.at = 1000.0
        self._later = []
        self._rng = random.Random(1)

    def add(self, name, centre, seeds=(), link=None):
        address = f"10.0.0.{len(self.hosts) + 1}:7000"
        settings_ = HostSettings(
            name, centre, CENTRES, "", "", address, seeds, "", Bounds(), link
        )
        shared = SharedState(0.2, 10.0, started_at=-100.0)
        gate = StoreAccess(_ignore, _ignore, _ignore)
        peers = PeerProtocol(settings_, shared, gate, [], self._rng, self.call_later)
        peers.connection_made(_Transport(self, address))
        self.hosts[address] = peers
        return peers, shared, address

    def call_later(self, seconds, function):
        """Call a function the next time that all is delivered."""
        call = _Call(function)
        self._later.append(call)
        return call

    def deliver(self):
        """Deliver what was sent, and what is sent because of it."""
        while self.sent or self._later:
            while self.sent:
                self._hand_over(*self.sent.pop(0))
            self.run_calls()

    def run_calls(self):
        """Make the calls that were put off."""
        later, self._later = self._later, []
        for call in later:
            call.run()

    def _hand_over(self, sender, data, address):
        is_lost = {sender, address} & self.cut or (sender, address) in self.broken
        if address in self.slow and not is_lost:
            self._waiting.append((self.at + self.slow[address], sender, data, address))
        elif address in self.hosts and not is_lost:
            self._take(sender, data, address)

    def _take(self, sender, data, address):
        ip, _, port = sender.rpartition(":")
        self.hosts[address].datagram_received(data, (ip, int(port)))

    def play(self, seconds):
        """Let hosts that are not cut off beat, look and tell for some seconds."""
        end = self.at + seconds
        while self.at < end:
            self.at += HUB_SEND_INTERVAL
            ripe = [row for row in self._waiting if row[0] <= self.at]
            self._waiting = [row for row in self._waiting if row[0] > self.at]
            for _, sender, data, address in ripe:
                self._take(sender, data, address)
            is_second = int(self.at) != int(self.at - HUB_SEND_INTERVAL)
            for address, peers in self.hosts.items():
                if address in self.cut:
                    continue
                if is_second:
                    peers.send_heartbeat(self.at)
                peers.tick(self.at)
            self.deliver()


class _Call:
    """A call that was put off."""

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
    """A net whose time is the present for all hosts."""
    made = Net()
    monkeypatch.setattr(module, "now", lambda: made.at)
    return made


class _Transport:
    def __init__(self, net, address):
        self._net = net
        self._address = address

    def is_closing(self):
        return False

    def sendto(self, data, address):
        to = f"{address[0]}:{address[1]}"
        self._net.sent.append((self._address, data, to))


def _fleet(net, count=3, links=None):
    """Return hosts: some in each data centre, found by one seed each."""
    hosts = []
    for centre in CENTRES:
        seeds = ()
        for number in range(count):
            link = links[number] if links else None
            host = net.add(f"{centre}{number}", centre, seeds, link)
            seeds = seeds or (host[2],)
            hosts.append(host)
    first_x, first_y = hosts[0], hosts[count]
    first_x[0].apply_settings(first_x[0]._settings._replace(seeds=(first_y[2],)))
    net.play(4.0)
    return hosts


def _hub(net, hosts):
    """Return the hub that all of some hosts have picked."""
    hubs = {peers._peer_table.hub or address for peers, _, address in hosts}
    assert len(hubs) == 1
    return hubs.pop()


def test_a_failure_is_known_in_all_data_centres(net):
    """
    Each data centre loses an order of its own to a target that fails.

    Only hosts near the one that saw the failure were told of it.
    """
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


def _end_target(net, host):
    """Let a target end under a request of a host."""
    peers, shared, _ = host
    note = RunRecord("key", "life", True)
    shared.suspects.add(note, net.at, is_own=True)
    peers.send_update_soon(is_urgent=True)


def test_an_end_under_a_request_is_known_in_all_data_centres_at_once(net):
    """
    A request ends three targets in each data centre, and not three in all.

    Hosts told each other what they believe of targets and nothing of requests.
    """
    hosts = _fleet(net)
    hub = _hub(net, hosts[:3])
    _end_target(net, next(host for host in hosts[:3] if host[2] != hub))
    net.deliver()
    assert [shared.suspects.crash_count("key") for _, shared, _ in hosts] == [1] * 6


def test_an_end_is_told_again_to_hosts_that_did_not_hear_it(net):
    """
    A host that heard nothing for two seconds sends on what all others hold back.

    Its link lost all datagrams when the target ended. Notes go with each message for
    some time.
    """
    hosts = _fleet(net)
    hub = _hub(net, hosts[:3])
    teller, deaf = [host for host in hosts[:3] if host[2] != hub]
    net.cut.add(deaf[2])
    _end_target(net, teller)
    net.play(1.2)
    assert deaf[1].suspects.crash_count("key") == 0
    net.cut.clear()
    net.play(1.2)
    assert deaf[1].suspects.crash_count("key") == 1


def test_a_host_of_a_former_release_is_understood():
    """A rolling release of hosts: the former one tells nothing of requests."""
    old = ["w", "h", "10.0.0.1:7000", 1, 1, {}, [], {}, None]
    assert decode(encode(old)).run_records == []


def test_usual_outcomes_stay_in_their_data_centre(net):
    """Bytes between data centres are paid for, and most outcomes change nothing."""
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
    while net.sent or net._later:
        net.run_calls()
        sent += [(sender, to) for sender, _, to in net.sent]
        while net.sent:
            net._hand_over(*net.sent.pop(0))
    near = {host[2] for host in hosts[:3]}
    # One datagram to the hub, and one from it to each of the others.
    assert sorted(sent) == sorted([(address, hub)] + [(hub, a) for a in near - {hub}])


def test_news_goes_on_without_the_seed(net):
    """
    A data centre hears nothing of the others any more, since one host there is dead.

    The hosts name each other's neighbours, so each knows some of the other centre.
    """
    hosts = _fleet(net)
    for peers, _, _ in hosts:
        assert peers._remote.remote_hosts.sample(net.at)
    net.cut.add(hosts[3][2])
    net.play(REMOTE_HUB_TTL + 0.1)
    peers, shared, _ = hosts[1]
    for number in range(40):
        shared.note_outcome(
            f"t{number}", "act", "r", HealthSignal.FAILED, 0.001, net.at
        )
        # The gateway is drawn anew while no hub there is known, and each note goes out
        # twice.
        peers.send_heartbeat(net.at)
        net.deliver()
    peers.send_heartbeat(net.at)
    net.deliver()
    for _, shared, _ in hosts[4:]:
        known = sum(
            shared.failure_probability(f"t{number}", net.at) > 0.5
            for number in range(40)
        )
        # Two of three gateways are up, so one note in nine is lost twice.
        assert known >= 30


def test_a_host_that_restarts_after_its_clock_went_back_is_heard(net):
    """
    A restarted host's work is invisible to the others for seconds.

    The time of day went back while it was down, so its life looked like an older one.
    """
    hosts = _fleet(net, 2)
    peers, shared, address = hosts[0]
    shared.note_send_start("t", net.at)
    peers.send_update_soon(is_urgent=False)
    net.deliver()
    again, fresh, _ = hosts[0]
    again.__init__(
        peers._settings,
        fresh,
        StoreAccess(_ignore, _ignore, _ignore),
        [],
        random.Random(1),
        net.call_later,
    )
    again.connection_made(_Transport(net, address))
    again._peer_table.note_message(hosts[1][2], net.at)
    fresh.note_send_start("t", net.at)
    again.send_update_soon(is_urgent=False)
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
@example(encode(["b", [7, "w"], [[]], ["y"], {7: 1}]))
@example(encode(["r", "t", 0, 1, 0.0, b"no deflated data"]))
@example(encode(["l", "y", "h", 1, 1, {"a": 1}]))
@example(encode(["l", "y", "h", 1, 1, {5: -1}]))
@example(encode(["w", "h", "1.2.3.4:5", 1, 1, {}, [[0, "t", "s", "r", 77, 0.1]], {}]))
@settings(max_examples=200, deadline=None)
def test_no_datagram_raises_or_spoils_what_is_known(data):
    """
    A host hears nobody any more.

    A datagram that made its reader raise would close the socket for good.
    """
    made = Net()
    peers, shared, address = made.add("x0", "x")
    shared.note_send_start("t", made.at)
    peers.datagram_received(data, ("10.0.0.9", 7000))
    peers.send_heartbeat(made.at)
    assert shared.in_flight("t") == 1
    assert 0.0 < shared.failure_probability("t", made.at) < 1.0


def test_work_in_flight_is_known_elsewhere(net):
    """
    Requests queue at targets that another data centre keeps full.

    Each data centre counted its own work alone, and half of all work leaves it.
    """
    hosts = _fleet(net)
    for peers, shared, _ in hosts[:2]:
        shared.note_send_start("t", net.at)
        peers.send_update_soon(is_urgent=False)
    net.deliver()
    net.play(0.5)
    for _, shared, _ in hosts:
        assert shared.in_flight("t") == 2
    for _, shared, _ in hosts[3:]:
        assert shared.knows_remote_load("x", net.at)
        assert not shared.knows_remote_load("x", net.at + REMOTE_LOAD_TTL)


def test_the_next_host_tells_the_sums_when_the_hub_is_lost(net):
    """
    A data centre counts for idle elsewhere, since the host that told its work is dead.
    """
    hosts = _fleet(net)
    hub = _hub(net, hosts[:3])
    left = [host for host in hosts[:3] if host[2] != hub]
    left[0][1].note_send_start("t", net.at)
    left[0][0].send_update_soon(is_urgent=False)
    net.deliver()
    net.cut.add(hub)
    net.play(REMOTE_LOAD_TTL + HUB_TIMEOUT)
    assert all(shared.in_flight("t") == 1 for _, shared, _ in hosts[3:])
    assert all(shared.knows_remote_load("x", net.at) for _, shared, _ in hosts[3:])


def test_one_host_tells_the_sums_while_all_are_well(net):
    hosts = _fleet(net)
    net.sent.clear()
    for peers, _, _ in hosts[:3]:
        peers._bundle_sent_at = net.at
        peers.tick(net.at)
    assert len(net.sent) == len(CENTRES) - 1


def test_all_hosts_pick_the_one_with_the_fastest_link(net):
    """
    Requests wait at the link of a small host that tells sixty others of all work.
    """
    hosts = _fleet(net, 4, links=[2.5e6, 25e6, 2.5e6, 2.5e6])
    assert _hub(net, hosts[:4]) == hosts[1][2]
    assert _hub(net, hosts[4:]) == hosts[5][2]


def test_a_lost_hub_is_replaced_before_its_clients_look_lost(net):
    """
    Requests go to targets that failed a second ago, and hosts that are well count as
    lost, since their hub was killed and what it was told reached nobody.
    """
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    net.cut.add(hub)
    net.play(HUB_TIMEOUT + 2 * HUB_SEND_INTERVAL)
    left = [host for host in hosts[:4] if host[2] != hub]
    assert _hub(net, left) != hub
    peers, shared, _ = left[-1]
    shared.note_outcome("t", "act", "r", HealthSignal.FAILED, 0.001, net.at)
    peers.send_update_soon(is_urgent=True)
    net.deliver()
    for _, other, _ in left:
        assert other.failure_probability("t", net.at) > 0.6
        assert not other._has_lost_hosts(net.at)


def test_a_hub_that_wakes_from_a_freeze_takes_its_part_again(net):
    """
    A frozen hub wakes and finds all others silent; it must not stay alone with its
    work, nor draw the others back and forth.
    """
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    net.cut.add(hub)
    net.play(4.0)
    net.cut.discard(hub)
    net.play(1.2)
    left = [host for host in hosts[:4] if host[2] != hub]
    assert _hub(net, left) != hub
    frozen = next(host for host in hosts[:4] if host[2] == hub)
    frozen[1].note_send_start("t", net.at)
    frozen[0].send_update_soon(is_urgent=False)
    net.deliver()
    assert all(shared.in_flight("t") == 1 for _, shared, _ in left)
    net.play(HUB_RETRY_DELAY)
    assert _hub(net, hosts[:4]) == hub


def test_a_slow_hub_is_left(net):
    """
    Requests go to targets that failed seconds ago, and nobody is silent.

    The hub's processor is slow: it passes on all that it is told, two seconds late.
    """
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    net.slow[hub] = 2.0
    net.play(ECHO_TIMEOUT + 2 * HUB_SEND_INTERVAL)
    left = [host for host in hosts[:4] if host[2] != hub]
    assert _hub(net, left) != hub


def test_a_host_that_the_hub_does_not_hear_turns_to_another(net):
    """
    Targets are overrun by the work of one host that nobody else knows of.

    It hears the hub, but the way there is cut.
    """
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    apart = next(host for host in hosts[:4] if host[2] != hub)
    net.broken.add((apart[2], hub))
    others = [host for host in hosts[:4] if host[2] != apart[2]]
    for _ in range(round(ECHO_TIMEOUT / HUB_SEND_INTERVAL) + 2):
        # The hub goes on telling all hosts of the others' work.
        for peers, shared, _ in others:
            shared.note_outcome("u", "act", "r", HealthSignal.SUCCEEDED, 0.2, net.at)
            peers.send_update_soon(is_urgent=False)
        net.play(HUB_SEND_INTERVAL)
    apart[1].note_send_start("t", net.at)
    apart[0].send_update_soon(is_urgent=False)
    net.deliver()
    assert all(shared.in_flight("t") == 1 for _, shared, _ in hosts[:4])


def test_a_host_that_cannot_hear_the_hub_hears_of_all_work(net):
    """
    One host keeps sending to targets that fail, because its path to the hub is cut.

    Its own hub, which all others take for an ordinary host, passes on both ways.
    """
    hosts = _fleet(net, 4)
    hub = _hub(net, hosts[:4])
    apart = next(host for host in hosts[:4] if host[2] != hub)
    net.broken |= {(hub, apart[2]), (apart[2], hub)}
    net.play(HUB_TIMEOUT + 2 * HUB_SEND_INTERVAL)
    for number, (peers, shared, _) in enumerate(hosts[:4]):
        shared.note_send_start(f"t{number}", net.at)
        peers.send_update_soon(is_urgent=False)
    net.deliver()
    for _, shared, _ in hosts[:4]:
        assert [shared.in_flight(f"t{number}") for number in range(4)] == [1, 1, 1, 1]


@pytest.mark.parametrize("count", [6, 24, 60])
def test_what_hosts_send_does_not_grow_with_their_square(net, count):
    """
    Hosts of a large data centre spend more on telling each other than on requests.

    Each sends one datagram for a start or an end, and the hub one to each host for all
    that it was told; without a hub each sends one to each other host.
    """
    hosts = [net.add(f"x{n}", "x", ("10.0.0.1:7000",)) for n in range(count)]
    # Until those that were hubs while the hosts found each other have no clients left.
    net.play(4.0 + CLIENT_TTL)
    hub = _hub(net, hosts)
    net.sent.clear()
    for peers, shared, address in hosts:
        if address != hub:
            shared.note_send_start("t", net.at)
            peers.send_update_soon(is_urgent=False)
    net.run_calls()
    assert len(net.sent) == count - 1
    net.deliver()
    assert all(shared.in_flight("t") == count - 1 for _, shared, _ in hosts)


def test_hosts_that_start_together_do_not_all_speak_for_their_data_centre(net):
    """
    Links fill up when all hosts are killed and come back: each took itself for the hub
    and the reader of its data centre until it had heard of the others.
    """
    seed = ("10.0.0.1:7000",)
    hosts = [net.add(f"{c}{n}", c, seed) for c in CENTRES for n in range(6)]
    net.play(DISCOVERY_PERIOD / 2)
    spoken = [peers for peers, _, _ in hosts if peers._remote._load_number]
    reading = [peers for peers, _, _ in hosts if peers._reader_role.is_reader]
    # The seed itself asks nobody.
    assert [peers._settings.peer_address for peers in spoken] == list(seed)
    assert [peers._settings.peer_address for peers in reading] == list(seed)
    net.play(4.0)
    before = [peers._remote._load_number for peers, _, _ in hosts]
    net.play(1.0)
    speaks = [
        p._remote._load_number > n for (p, _, _), n in zip(hosts, before, strict=True)
    ]
    assert sum(speaks[:6]) == sum(speaks[6:]) == 1
    for centre in (hosts[:6], hosts[6:]):
        assert (
            sum(peers._reader_role.is_reader for peers, _, _ in centre) == READER_COUNT
        )


def test_records_are_told_from_their_first_offset(net):
    """
    Hosts skip the removal of a target, since a reader named an earlier offset than the
    one at which it had read.
    """
    hosts = _fleet(net, 4)
    reader = next(peers for peers, _, _ in hosts[:4] if peers._reader_role.is_reader)
    net.sent.clear()
    page = Page([KeyedRecord(11, "t-1", None), KeyedRecord(12, "t-2", b"x")], 13)
    reader.forward_page("topic", page)
    told = [decode(data) for _, data, _ in net.sent]
    records = [message for message in told if isinstance(message, Records)]
    assert len(records) == 3
    for message in records:
        assert (message.start_offset, message.next_offset) == (11, 13)
        assert decode_records(message.compressed) == page.records


def test_one_unreadable_message_does_not_silence_a_bundle(net):
    """
    Hosts know of nobody's work any more, since one host runs another release and its
    messages stand first in each bundle.
    """
    peers, shared, _ = net.add("x0", "x")
    work = HostUpdate("x1", "10.0.0.9:7000", 1, 1, {target_tag("t"): 1}, [], {})
    raws = [msgspec.Raw(encode(["w", "strange"])), msgspec.Raw(encode(work))]
    peers.datagram_received(encode(Bundle(host_updates=raws)), ("10.0.0.8", 7000))
    assert shared.in_flight("t") == 1


def test_urgent_news_never_waits_longer_than_calm_news(net):
    """
    A failure is told later than the work before it, because the allowance for failures
    was used up just then.
    """
    peers, shared, _ = _fleet(net, 4)[0]
    waits = []
    peers._call_later = lambda seconds, function: (
        waits.append(seconds) or _Call(function)
    )
    peers.send_update_soon(is_urgent=False)
    peers._pacer.spend(10_000, 0, net.at)
    peers.send_update_soon(is_urgent=True)
    assert len(waits) == 1

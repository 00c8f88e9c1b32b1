"""
Orders at most once, in any order of events, against two naive versions.

The machine has a log, hosts that read it at their own pace, callers and targets.
Hypothesis picks what happens next: appends that are lost, taken, or taken late and
twice, hosts that crash, freeze (by not being picked) or start anew, records that
expire. The naive fold is a dictionary over the whole log; the naive host sends
without asking the log, and the same machine catches it.
"""

import itertools

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from ..core.data import Outcome
from ..core.reasons import Reason
from .claims import Claims
from .fold import Checkpoint, Record
from .orders import (
    Claim,
    ClaimState,
    Done,
    Horizon,
    Released,
    Settled,
    Unknown,
    dump_orders,
    new_order_fold,
)

KEYS = ["k1", "k2", "k3"]
KEY_TIMES = {"k1": 100, "k2": 200, "k3": 300}
HOSTS = 2
# What stops much of the rest of a walk must be rare, or little is walked.
RARELY = st.integers(0, 5).map(lambda number: number == 0)


class NaiveLog:
    """Who holds each key, as a dictionary over all records since the first."""

    def __init__(self):
        self.holder = {}
        self.state = {}
        self.dead = set()
        self.horizon = 0

    def fold(self, event):
        if isinstance(event, Horizon):
            self.horizon = max(self.horizon, event.key_time)
            for key, time in KEY_TIMES.items():
                if time <= self.horizon:
                    self.holder.pop(key, None)
                    self.state.pop(key, None)
            return
        if isinstance(event, Checkpoint) or KEY_TIMES[event.key] <= self.horizon:
            return
        key = event.key
        if isinstance(event, Claim):
            if event.claim in self.dead or self.holder.get(key) == event.claim:
                return
            if self.state.get(key, ClaimState.FREE) is ClaimState.FREE:
                self.holder[key] = event.claim
                self.state[key] = ClaimState.CLAIMED
            else:
                self.dead.add(event.claim)
            return
        is_open = self.state.get(key) in (ClaimState.CLAIMED, ClaimState.UNKNOWN)
        is_holder = self.holder.get(key) == event.claim
        if isinstance(event, Released):
            if not is_holder:
                self.dead.add(event.claim)
            elif self.state[key] is ClaimState.CLAIMED:
                self.dead.add(event.claim)
                self.state[key] = ClaimState.FREE
        elif is_holder and is_open:
            self._close(key, event)

    def _close(self, key, event):
        if isinstance(event, Done):
            self.state[key] = ClaimState.DONE
        elif isinstance(event, Unknown):
            self.state[key] = ClaimState.UNKNOWN
        elif isinstance(event, Settled) and event.has_run:
            self.state[key] = ClaimState.DONE
        elif isinstance(event, Settled):
            self.dead.add(event.claim)
            self.state[key] = ClaimState.FREE


class Host:
    """One incarnation of a host, with what it has yet to do."""

    def __init__(self, name):
        self.name = name
        self.fold = new_order_fold()
        self.claims = Claims(self.fold, name, lambda other: True)
        self.waiting = set()
        self.won = set()
        self.begun = set()
        self.sending = {}


class OrderMachine(RuleBasedStateMachine):
    """Hosts, a log, callers and targets, in any order of events."""

    asks_the_log = True

    def __init__(self):
        super().__init__()
        self.log = []
        self.first = 0
        self.naive = NaiveLog()
        self.states = [{}]
        self.late = []
        self.names = (f"host-{n}@{n:04}" for n in itertools.count())
        self.ids = (f"claim-{n}" for n in itertools.count())
        self.hosts = [Host(next(self.names)) for _ in range(HOSTS)]
        self.crashed = set()
        self.runs = dict.fromkeys(KEYS, 0)
        self.really_ran = set()
        self.told_not_run = set()
        self.claim_of = {}

    def append(self, events):
        self.log.append(tuple(events))

    hosts_index = st.integers(0, HOSTS - 1)

    @rule(
        number=hosts_index,
        key=st.sampled_from(KEYS),
        body=st.sampled_from(["a", "a", "a", "b"]),
        fate=st.sampled_from(["taken", "taken", "lost", "late", "refused"]),
    )
    def call(self, number, key, body, fate):
        host = self.hosts[number]
        known = host.claims.answer_from_log(key, KEY_TIMES[key], body)
        if known is not None and self.asks_the_log:
            return
        claim = Claim(key, KEY_TIMES[key], body, next(self.ids), host.name, key)
        self.claim_of[claim.claim] = claim
        host.claims.register(claim)
        host.waiting.add(claim.claim)
        host.begun.add(claim.claim)
        if fate in ("taken", "lost"):
            self.append([claim])
        elif fate == "late":
            self.late.append((claim,))
        if not self.asks_the_log:
            host.won.add(claim.claim)

    @rule(number=hosts_index, count=st.integers(1, 3))
    def read_some(self, number, count):
        self._read(self.hosts[number], count)

    @rule()
    def read_all(self):
        for host in self.hosts:
            self._read(host, len(self.log))

    def _read(self, host, count):
        host.fold.begin_read(self.first)
        for _ in range(count):
            # A log whose head has expired answers from its first record on.
            offset = max(host.fold.next_offset, self.first)
            if offset >= len(self.log):
                return
            decisions, releases = host.claims.feed(Record(offset, self.log[offset]))
            if releases:
                self.append(releases)
            for decision in decisions:
                host.waiting.discard(decision.claim)
                if decision.is_won and self.asks_the_log:
                    host.won.add(decision.claim)

    @rule(number=hosts_index)
    def give_up(self, number):
        host = self.hosts[number]
        for claim in sorted((host.waiting | host.won) - set(host.sending)):
            events = host.claims.give_up(claim)
            if events:
                self.append(events)
            self.told_not_run.add(claim)
        host.waiting.clear()
        host.won.clear()

    @precondition(lambda self: any(host.waiting or host.won for host in self.hosts))
    @rule(number=hosts_index, ran=st.sampled_from([True, True, False]))
    def send(self, number, ran):
        host = self.hosts[number]
        # A host frozen at any point may try to send whatever it once began.
        for claim in sorted(host.begun if self.asks_the_log else host.won):
            if self.asks_the_log and not host.claims.start_sending(claim):
                continue
            host.sending[claim] = ran
            if ran:
                self.runs[self.claim_of[claim].key] += 1
                self.really_ran.add(claim)
        host.won.clear()

    @rule(number=hosts_index, lose=st.booleans(), fate=st.sampled_from("tld"))
    def answer(self, number, lose, fate):
        host = self.hosts[number]
        for claim, ran in sorted(host.sending.items()):
            if not self.asks_the_log:
                events = [Done(self.claim_of[claim].key, claim, 200, "", b"")]
            elif not ran:
                events = host.claims.finish_unsent(claim)
                self.told_not_run.add(claim)
            elif lose:
                events = host.claims.finish_unknown(claim, "lost")
            else:
                events = host.claims.finish(claim, 200, "", b"")
            if fate == "l":
                self.late.append(tuple(events))
            else:
                self.append(events)
            if fate == "d":
                self.append(events)
        host.sending.clear()

    @rule(number=hosts_index, is_now=RARELY)
    def crash(self, number, is_now):
        if not is_now:
            return
        self.crashed.add(self.hosts[number].name)
        self.hosts[number] = Host(next(self.names))

    @precondition(lambda self: self.late)
    @rule()
    def take_late(self):
        self.append(self.late.pop(0))

    @precondition(lambda self: self.log)
    @rule(data=st.data())
    def copy(self, data):
        self.append(data.draw(st.sampled_from(self.log)))

    @rule(number=hosts_index, parts=st.integers(1, 3), whole=st.booleans())
    def checkpoint(self, number, parts, whole):
        fold = self.hosts[number].fold
        if not fold.complete or fold.next_offset == 0:
            return
        items = dump_orders(fold.state)
        name = next(self.ids)
        as_of = fold.next_offset - 1
        for part in range(parts if whole else parts - 1):
            chunk = (
                items[part::parts] if parts == 1 else self._chunk(items, part, parts)
            )
            self.append([Checkpoint(name, as_of, part, parts, chunk)])

    @staticmethod
    def _chunk(items, part, parts):
        size = -(-len(items) // parts)
        return items[part * size : (part + 1) * size]

    @rule(drop=st.integers(1, 4), is_now=RARELY)
    def trim(self, drop, is_now):
        if is_now:
            self.first = min(len(self.log), self.first + drop)

    @rule(spare=st.integers(0, 3), number=hosts_index, is_now=RARELY)
    def start_from_checkpoint(self, spare, number, is_now):
        """Let all but the last checkpoint expire, and start a host anew."""
        places = [
            offset
            for offset, events in enumerate(self.log)
            if any(isinstance(event, Checkpoint) for event in events)
        ]
        if is_now and places:
            self.first = max(self.first, places[-1] - spare)
            self.crashed.add(self.hosts[number].name)
            self.hosts[number] = Host(next(self.names))
            self._read(self.hosts[number], len(self.log))

    @rule(key=st.sampled_from(KEYS[:2]), is_now=RARELY)
    def forget(self, key, is_now):
        if is_now:
            self.append([Horizon(KEY_TIMES[key])])

    @rule(number=hosts_index, key=st.sampled_from(KEYS), has_run=st.booleans())
    def settle(self, number, key, has_run):
        entry = self.hosts[number].fold.state.entries.get(key)
        if entry is None or entry.state not in (ClaimState.CLAIMED, ClaimState.UNKNOWN):
            return
        if not has_run:
            # The operator's own duty: the host is gone, and the order has not run.
            if entry.host not in self.crashed or entry.claim in self.really_ran:
                return
            self.told_not_run.add(entry.claim)
        self.append([Settled(key, entry.claim, has_run, "op")])

    @invariant()
    def no_order_runs_twice(self):
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @invariant()
    def not_run_is_true(self):
        assert not self.told_not_run & self.really_ran

    @invariant()
    def folds_agree_with_the_naive_one(self):
        for events in self.log[len(self.states) - 1 :]:
            for event in events:
                self.naive.fold(event)
            state = self.naive.state
            self.states.append({k: (self.naive.holder[k], state[k]) for k in state})
        for host in self.hosts:
            if host.fold.complete:
                entries = host.fold.state.entries.values()
                held = {e.key: (e.claim, e.state) for e in entries if e.host}
                assert held == self.states[host.fold.next_offset]


class NaiveOrderMachine(OrderMachine):
    """The same events against hosts that send without asking the log."""

    asks_the_log = False


PROFILE = settings(
    max_examples=700,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)
# A naive version only has to be caught, not to be caught in the fewest steps.
CATCH = settings(PROFILE, phases=[Phase.generate])


def test_orders_run_at_most_once():
    """
    A caller's order is executed twice, or is executed after "not run" was said.

    Two hosts get the same key, an append's answer is lost, a host freezes between
    winning and sending or starts anew from a checkpoint. The cause would be any
    decision that rests on something else than the order of records in the log.
    """
    run_state_machine_as_test(OrderMachine, settings=PROFILE)


def test_the_machine_catches_hosts_that_do_not_ask_the_log():
    """
    The same machine against the naive host: it must find the doubled order.
    """
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveOrderMachine, settings=CATCH)


def make_claim(claim, host="h@1", key="k1", body="a"):
    return Claim(key, KEY_TIMES[key], body, claim, host, key)


def new_claims(host="h@1"):
    claims = Claims(new_order_fold(), host, lambda other: False)
    claims.fold.begin_read(0)
    return claims


def test_claim_that_surfaces_after_it_was_given_up_is_released():
    """
    A caller is told "not run", asks again, and hears "running" for ever.

    The append's answer is lost, the host gives up, and the claim surfaces in the
    log. The cause: nobody would ever send it, and nobody would ever release it.
    """
    claims = new_claims()
    claim = make_claim("c1")
    claims.register(claim)
    assert claims.give_up("c1") == []
    decisions, releases = claims.feed(Record(0, (claim,)))
    assert decisions == []
    assert releases == [Released("k1", 100, "c1")]
    claims.feed(Record(1, tuple(releases)))
    assert claims.answer_from_log("k1", 100, "a") is None


def test_release_that_overtakes_its_claim_keeps_it_dead():
    """
    An order whose caller heard "not run" holds its key after all.

    The append takes effect only after the release of its claim was appended.
    """
    claims = new_claims("other@1")
    claims.feed(Record(0, (Released("k1", 100, "c1"),)))
    claims.feed(Record(1, (make_claim("c1"),)))
    assert claims.answer_from_log("k1", 100, "a") is None


def test_what_a_repeated_key_is_told():
    claims = new_claims()
    claim = make_claim("c1")
    claims.register(claim)
    claims.feed(Record(0, (claim,)))
    running = claims.answer_from_log("k1", 100, "a")
    assert (running.reason, running.outcome) == (Reason.ORDER_RUNNING, Outcome.UNKNOWN)
    reused = claims.answer_from_log("k1", 100, "b")
    assert (reused.reason, reused.outcome) == (Reason.KEY_REUSED, Outcome.NOT_RUN)
    assert claims.start_sending("c1")
    assert not claims.start_sending("c1")
    claims.feed(Record(1, tuple(claims.finish("c1", 201, "text/plain", b"done"))))
    assert claims.answer_from_log("k1", 100, "a").body == b"done"


def test_orphaned_claim_is_unknown_and_can_be_settled():
    """
    The host that claimed an order is killed before it wrote an outcome.

    Whoever asks again must hear "unknown" at once, not "running" for ever.
    """
    claims = Claims(new_order_fold(), "h@2", lambda other: other == "h@1")
    claims.fold.begin_read(0)
    claims.feed(Record(0, (make_claim("c1", host="h@1"),)))
    assert claims.answer_from_log("k1", 100, "a").reason is Reason.ORDER_UNKNOWN
    claims.feed(Record(1, (Settled("k1", "c1", True, "op"),)))
    assert claims.answer_from_log("k1", 100, "a").outcome is Outcome.RUN


def test_key_past_the_horizon_is_refused_and_never_run():
    """
    An order is sent again after the window in which its key is remembered.

    The key is forgotten by then, so running it could be the second time.
    """
    claims = new_claims()
    claims.feed(Record(0, (Horizon(150),)))
    assert claims.answer_from_log("k1", 100, "a").reason is Reason.KEY_EXPIRED
    claim = make_claim("c1")
    claims.register(claim)
    decisions, _ = claims.feed(Record(1, (claim,)))
    assert [d.is_won for d in decisions] == [False]


def test_host_with_a_hole_in_its_reading_refuses_orders():
    """
    A host is cut off from the log while records come and expire.

    What it missed may hold a claim on any key, so it must not run anything until a
    checkpoint tells it the whole state.
    """
    claims = new_claims()
    claims.feed(Record(0, (make_claim("c1"),)))
    assert claims.fold.begin_read(5)
    assert claims.answer_from_log("k2", 200, "a").reason is Reason.ORDERS_INCOMPLETE
    claims.feed(Record(5, (Checkpoint("x", 4, 0, 1, [0]),)))
    assert claims.answer_from_log("k2", 200, "a") is None


def test_claim_that_lost_stays_dead_when_the_key_is_free_again():
    """
    An order runs although its caller was told that another one holds the key.

    The loser's record is copied into the log after the winner has released.
    """
    claims = new_claims("other@1")
    winner, loser = make_claim("c1"), make_claim("c2", host="h@2")
    claims.feed(Record(0, (winner, loser)))
    claims.feed(Record(1, (Released("k1", 100, "c1"), loser)))
    assert claims.answer_from_log("k1", 100, "a") is None


def test_copy_of_a_released_claim_stays_dead():
    """
    A key is held for ever by a claim whose host has promised never to send.

    The platform takes a record twice, the second time after the release.
    """
    claims = new_claims("other@1")
    claim = make_claim("c1")
    claims.feed(Record(0, (claim, Released("k1", 100, "c1"), claim)))
    assert claims.answer_from_log("k1", 100, "a") is None


def test_checkpoint_with_a_hole_behind_it_is_not_used():
    """
    A new host runs an order that has run already.

    The checkpoint was written by a host that lagged; a claim between its state and
    the first record left has expired, so the state is not known.
    """
    claims = new_claims("new@1")
    claims.fold = new_order_fold()
    claims.fold.begin_read(4)
    claims.feed(Record(4, (Checkpoint("x", 2, 0, 1, [0]),)))
    assert claims.answer_from_log("k1", 100, "a").reason is Reason.ORDERS_INCOMPLETE
    claims.feed(Record(5, (Checkpoint("y", 3, 0, 1, [0]),)))
    assert claims.answer_from_log("k1", 100, "a") is None


def test_outcome_on_its_way_to_the_log_is_not_unknown():
    """
    A caller whose order has just run asks again, and hears "unknown" for good.

    The outcome is being written, and the host has let go of its claim already.
    """
    claims = new_claims()
    claim = make_claim("c1")
    claims.register(claim)
    claims.feed(Record(0, (claim,)))
    claims.start_sending("c1")
    outcome = claims.finish("c1", 200, "", b"done")
    assert claims.answer_from_log("k1", 100, "a").reason is Reason.ORDER_RUNNING
    assert claims.open_claims() == []
    claims.feed(Record(1, tuple(outcome)))
    assert claims.answer_from_log("k1", 100, "a").body == b"done"

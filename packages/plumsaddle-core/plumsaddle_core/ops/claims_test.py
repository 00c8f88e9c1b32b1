"""
Model-based tests: an order is run at most once, whatever the order of events.

The model has a log, hosts that read it at their own pace, callers and targets. Appends
are lost, delayed or duplicated, hosts crash, freeze (by not being drawn) and restart,
and records expire. The folds are checked against a dictionary over the whole log, and
a naive host, which sends without consulting the log, must fail the checks.
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
# Disruptive steps are drawn rarely, so that runs get far enough.
RARELY = st.integers(0, 5).map(lambda number: number == 0)


class NaiveFold:
    """The holder and the state of each key, from all records since the first."""

    def __init__(self):
        self.holder = {}
        self.state = {}
        self.void = set()
        self.horizon = 0

    def apply(self, event):
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
            if event.claim_id in self.void or self.holder.get(key) == event.claim_id:
                return
            if self.state.get(key, ClaimState.FREE) is ClaimState.FREE:
                self.holder[key] = event.claim_id
                self.state[key] = ClaimState.CLAIMED
            else:
                self.void.add(event.claim_id)
            return
        is_open = self.state.get(key) in (ClaimState.CLAIMED, ClaimState.UNKNOWN)
        is_holder = self.holder.get(key) == event.claim_id
        if isinstance(event, Released):
            if not is_holder:
                self.void.add(event.claim_id)
            elif self.state[key] is ClaimState.CLAIMED:
                self.void.add(event.claim_id)
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
            self.void.add(event.claim_id)
            self.state[key] = ClaimState.FREE


class Host:
    """One incarnation of a host, and the progress of its claims."""

    def __init__(self, name):
        self.name = name
        self.fold = new_order_fold()
        self.claims = Claims(self.fold, name, lambda other: True)
        self.waiting = set()
        self.won = set()
        self.registered = set()
        self.sending = {}


class OrderMachine(RuleBasedStateMachine):
    """Hosts, a log, callers and targets, with steps in any order."""

    consults_log = True

    def __init__(self):
        super().__init__()
        self.log = []
        self.first = 0
        self.naive = NaiveFold()
        self.states = [{}]
        self.late = []
        self.names = (f"host-{n}@{n:04}" for n in itertools.count())
        self.ids = (f"claim-{n}" for n in itertools.count())
        self.hosts = [Host(next(self.names)) for _ in range(HOSTS)]
        self.crashed = set()
        self.runs = dict.fromkeys(KEYS, 0)
        self.executed = set()
        self.reported_not_run = set()
        self.claims_by_id = {}

    def append(self, events):
        self.log.append(tuple(events))

    host_index = st.integers(0, HOSTS - 1)

    @rule(
        number=host_index,
        key=st.sampled_from(KEYS),
        body=st.sampled_from(["a", "a", "a", "b"]),
        append_result=st.sampled_from(["taken", "taken", "lost", "late", "refused"]),
    )
    def call(self, number, key, body, append_result):
        host = self.hosts[number]
        known = host.claims.answer_from_log(key, KEY_TIMES[key], body)
        if known is not None and self.consults_log:
            return
        claim = Claim(key, KEY_TIMES[key], body, next(self.ids), host.name, key)
        self.claims_by_id[claim.claim_id] = claim
        host.claims.register(claim)
        host.waiting.add(claim.claim_id)
        host.registered.add(claim.claim_id)
        if append_result in ("taken", "lost"):
            self.append([claim])
        elif append_result == "late":
            self.late.append((claim,))
        if not self.consults_log:
            host.won.add(claim.claim_id)

    @rule(number=host_index, count=st.integers(1, 3))
    def read_some(self, number, count):
        self._read(self.hosts[number], count)

    @rule()
    def read_all(self):
        for host in self.hosts:
            self._read(host, len(self.log))

    def _read(self, host, count):
        host.fold.begin_read(self.first)
        for _ in range(count):
            # The log skips to its first unexpired record.
            offset = max(host.fold.next_offset, self.first)
            if offset >= len(self.log):
                return
            decisions, releases = host.claims.feed(Record(offset, self.log[offset]))
            if releases:
                self.append(releases)
            for decision in decisions:
                host.waiting.discard(decision.claim_id)
                if decision.is_won and self.consults_log:
                    host.won.add(decision.claim_id)

    @rule(number=host_index)
    def give_up(self, number):
        host = self.hosts[number]
        for claim in sorted((host.waiting | host.won) - set(host.sending)):
            events = host.claims.give_up(claim)
            if events:
                self.append(events)
            self.reported_not_run.add(claim)
        host.waiting.clear()
        host.won.clear()

    @precondition(lambda self: any(host.waiting or host.won for host in self.hosts))
    @rule(number=host_index, ran=st.sampled_from([True, True, False]))
    def send(self, number, ran):
        host = self.hosts[number]
        # A host that was frozen may try to send any claim it has registered.
        for claim in sorted(host.registered if self.consults_log else host.won):
            if self.consults_log and not host.claims.start_sending(claim):
                continue
            host.sending[claim] = ran
            if ran:
                self.runs[self.claims_by_id[claim].key] += 1
                self.executed.add(claim)
        host.won.clear()

    @rule(number=host_index, lose=st.booleans(), append_result=st.sampled_from("tld"))
    def answer(self, number, lose, append_result):
        host = self.hosts[number]
        for claim, ran in sorted(host.sending.items()):
            if not self.consults_log:
                events = [Done(self.claims_by_id[claim].key, claim, 200, "", b"")]
            elif not ran:
                events = host.claims.finish_unsent(claim)
                self.reported_not_run.add(claim)
            elif lose:
                events = host.claims.finish_unknown(claim, "lost")
            else:
                events = host.claims.finish(claim, 200, "", b"")
            if append_result == "l":
                self.late.append(tuple(events))
            else:
                self.append(events)
            if append_result == "d":
                self.append(events)
        host.sending.clear()

    @rule(number=host_index, is_now=RARELY)
    def crash(self, number, is_now):
        if not is_now:
            return
        self.crashed.add(self.hosts[number].name)
        self.hosts[number] = Host(next(self.names))

    @precondition(lambda self: self.late)
    @rule()
    def append_late(self):
        self.append(self.late.pop(0))

    @precondition(lambda self: self.log)
    @rule(data=st.data())
    def duplicate(self, data):
        self.append(data.draw(st.sampled_from(self.log)))

    @rule(number=host_index, parts=st.integers(1, 3), whole=st.booleans())
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

    @rule(kept=st.integers(0, 3), number=host_index, is_now=RARELY)
    def start_from_checkpoint(self, kept, number, is_now):
        """Expire all records up to about the last checkpoint, and restart a host."""
        checkpoint_offsets = [
            offset
            for offset, events in enumerate(self.log)
            if any(isinstance(event, Checkpoint) for event in events)
        ]
        if is_now and checkpoint_offsets:
            self.first = max(self.first, checkpoint_offsets[-1] - kept)
            self.crashed.add(self.hosts[number].name)
            self.hosts[number] = Host(next(self.names))
            self._read(self.hosts[number], len(self.log))

    @rule(key=st.sampled_from(KEYS[:2]), is_now=RARELY)
    def move_horizon(self, key, is_now):
        if is_now:
            self.append([Horizon(KEY_TIMES[key])])

    @rule(number=host_index, key=st.sampled_from(KEYS), has_run=st.booleans())
    def settle(self, number, key, has_run):
        entry = self.hosts[number].fold.state.entries.get(key)
        if entry is None or entry.state not in (ClaimState.CLAIMED, ClaimState.UNKNOWN):
            return
        if not has_run:
            # The operator must have checked that the host stopped and nothing ran.
            if entry.host not in self.crashed or entry.claim_id in self.executed:
                return
            self.reported_not_run.add(entry.claim_id)
        self.append([Settled(key, entry.claim_id, has_run, "op")])

    @invariant()
    def no_order_runs_twice(self):
        assert all(count <= 1 for count in self.runs.values()), self.runs

    @invariant()
    def orders_reported_as_not_run_were_not_run(self):
        assert not self.reported_not_run & self.executed

    @invariant()
    def folds_agree_with_the_naive_fold(self):
        for events in self.log[len(self.states) - 1 :]:
            for event in events:
                self.naive.apply(event)
            state = self.naive.state
            self.states.append({k: (self.naive.holder[k], state[k]) for k in state})
        for host in self.hosts:
            if host.fold.complete:
                entries = host.fold.state.entries.values()
                held = {e.key: (e.claim_id, e.state) for e in entries if e.host}
                assert held == self.states[host.fold.next_offset]


class NaiveOrderMachine(OrderMachine):
    """The same steps with hosts that send without consulting the log."""

    consults_log = False


PROFILE = settings(
    max_examples=700,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)
# A failure need not be shrunk here.
NO_SHRINKING = settings(PROFILE, phases=[Phase.generate])


def test_orders_run_at_most_once():
    """
    Guards against executing an order twice, or after it was reported as not run.

    That happens if a decision depends on anything but the order of the log's records.
    """
    run_state_machine_as_test(OrderMachine, settings=PROFILE)


def test_the_model_detects_hosts_that_do_not_consult_the_log():
    """The model must find an order that naive hosts run twice."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveOrderMachine, settings=NO_SHRINKING)


def make_claim(claim, host="h@1", key="k1", body="a"):
    return Claim(key, KEY_TIMES[key], body, claim, host, key)


def make_claims(host="h@1"):
    claims = Claims(new_order_fold(), host, lambda other: False)
    claims.fold.begin_read(0)
    return claims


def test_claim_that_is_read_after_it_was_given_up_is_released():
    """
    Guards against "running" forever in response to a retry after "not run".

    The append's response was lost, so the host gave up the claim, but the claim is in
    the log and holds its key.
    """
    claims = make_claims()
    claim = make_claim("c1")
    claims.register(claim)
    assert claims.give_up("c1") == []
    decisions, releases = claims.feed(Record(0, (claim,)))
    assert decisions == []
    assert releases == [Released("k1", 100, "c1")]
    claims.feed(Record(1, tuple(releases)))
    assert claims.answer_from_log("k1", 100, "a") is None


def test_release_that_precedes_its_claim_voids_it():
    """
    Guards against a claim that holds its key although "not run" was reported.

    Its append took effect only after its release was appended.
    """
    claims = make_claims("other@1")
    claims.feed(Record(0, (Released("k1", 100, "c1"),)))
    claims.feed(Record(1, (make_claim("c1"),)))
    assert claims.answer_from_log("k1", 100, "a") is None


def test_answers_to_a_repeated_key():
    claims = make_claims()
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
    Guards against reporting an order as "running" forever after its host was killed.

    Without an outcome in the log it must be reported as "unknown" at once.
    """
    claims = Claims(new_order_fold(), "h@2", lambda other: other == "h@1")
    claims.fold.begin_read(0)
    claims.feed(Record(0, (make_claim("c1", host="h@1"),)))
    assert claims.answer_from_log("k1", 100, "a").reason is Reason.ORDER_UNKNOWN
    claims.feed(Record(1, (Settled("k1", "c1", True, "op"),)))
    assert claims.answer_from_log("k1", 100, "a").outcome is Outcome.RUN


def test_key_before_the_horizon_is_refused_and_never_run():
    """Guards against running an order again because its key was forgotten."""
    claims = make_claims()
    claims.feed(Record(0, (Horizon(150),)))
    assert claims.answer_from_log("k1", 100, "a").reason is Reason.KEY_EXPIRED
    claim = make_claim("c1")
    claims.register(claim)
    decisions, _ = claims.feed(Record(1, (claim,)))
    assert [d.is_won for d in decisions] == [False]


def test_host_that_missed_records_refuses_orders():
    """
    Guards against running an order claimed in a record that expired before it was read.

    The host must refuse all orders until it has read a checkpoint.
    """
    claims = make_claims()
    claims.feed(Record(0, (make_claim("c1"),)))
    assert claims.fold.begin_read(5)
    assert claims.answer_from_log("k2", 200, "a").reason is Reason.ORDERS_INCOMPLETE
    claims.feed(Record(5, (Checkpoint("x", 4, 0, 1, [0]),)))
    assert claims.answer_from_log("k2", 200, "a") is None


def test_checkpoint_whose_era_is_too_large_is_one_without_an_era():
    """An odd checkpoint of another writer ended the reader of the orders."""
    claims = make_claims()
    claims.fold.begin_read(5)
    claims.feed(Record(5, (Checkpoint("9" * 5000 + ".x", 4, 0, 1, [0]),)))
    assert claims.fold.complete


def test_claim_that_lost_stays_void_when_the_key_is_free_again():
    """
    Guards against running an order after reporting that another claim holds the key.

    The losing claim is duplicated in the log after the winner was released.
    """
    claims = make_claims("other@1")
    winner, loser = make_claim("c1"), make_claim("c2", host="h@2")
    claims.feed(Record(0, (winner, loser)))
    claims.feed(Record(1, (Released("k1", 100, "c1"), loser)))
    assert claims.answer_from_log("k1", 100, "a") is None


def test_duplicate_of_a_released_claim_stays_void():
    """
    Guards against a key that is held forever by a claim that was released.

    The platform stores the claim's record twice, the second time after the release.
    """
    claims = make_claims("other@1")
    claim = make_claim("c1")
    claims.feed(Record(0, (claim, Released("k1", 100, "c1"), claim)))
    assert claims.answer_from_log("k1", 100, "a") is None


def test_checkpoint_with_a_gap_after_it_is_not_used():
    """
    Guards against a new host that runs an order that was run already.

    Records between the checkpoint's offset and the first record of the log expired.
    """
    claims = make_claims("new@1")
    claims.fold = new_order_fold()
    claims.fold.begin_read(4)
    claims.feed(Record(4, (Checkpoint("x", 2, 0, 1, [0]),)))
    assert claims.answer_from_log("k1", 100, "a").reason is Reason.ORDERS_INCOMPLETE
    claims.feed(Record(5, (Checkpoint("y", 3, 0, 1, [0]),)))
    assert claims.answer_from_log("k1", 100, "a") is None


def test_order_is_running_until_its_outcome_is_in_the_log():
    """
    Guards against "unknown" in response to a retry of an order that has just run.

    The outcome was being appended, and the host had dropped its claim already.
    """
    claims = make_claims()
    claim = make_claim("c1")
    claims.register(claim)
    claims.feed(Record(0, (claim,)))
    claims.start_sending("c1")
    outcome = claims.finish("c1", 200, "", b"done")
    assert claims.answer_from_log("k1", 100, "a").reason is Reason.ORDER_RUNNING
    assert claims.open_claims() == []
    claims.feed(Record(1, tuple(outcome)))
    assert claims.answer_from_log("k1", 100, "a").body == b"done"

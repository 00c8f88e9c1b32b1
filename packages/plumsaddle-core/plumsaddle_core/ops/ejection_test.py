"""Tests of the ejection and readmission of targets, the floor and the evidence."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from ..core.data import (
    DetectionTradeoff,
    HealthSignal,
    HealthState,
    RequestKind,
    Service,
    Target,
)
from .ejection import (
    count_active,
    count_warm,
    effective_floor,
    enforce_floor,
    note_trial_result,
    set_draining,
    suspects_itself,
    update_health,
)
from .evidence import Evidence, Row
from .pool import Pool

OWN = "me@1"
DATA_CENTRES = {"me": "a", "b1": "b", "b2": "b", "c1": "c", "c2": "c"}
HOSTS = ["b1@1", "b2@1", "c1@1", "c2@1"]


def data_centre_of(incarnation):
    return DATA_CENTRES.get(incarnation.partition("@")[0], "")


def make_service(targets=4, floor=2, **changes):
    named = tuple(Target(f"t{n}", f"10.0.0.{n}:80", "a") for n in range(targets))
    return Service("s", floor, 4, 100, named, **changes)


class Bench:
    """A pool and its evidence, as on one host."""

    def __init__(self, weighing=DetectionTradeoff.DETECTION_TIME, **changes):
        self.service = make_service(weighing=weighing, **changes)
        self.pool = Pool(self.service, 4)
        self.evidence = Evidence(OWN, weighing, data_centre_of)
        self.rng = random.Random(1)
        self.keys = list(self.pool.members)
        self.counts = {}

    def report(self, reporter, key, now, good=0, failed=0):
        old = self.counts.get((reporter, key), (0, 0))
        new = self.counts[reporter, key] = (old[0] + good, old[1] + failed)
        return self.evidence.merge([Row(reporter, key, new[0], 0, new[1])], now)

    def fail_for_all_hosts(self, key, now, count=4):
        for _ in range(count):
            for reporter in HOSTS:
                self.report(reporter, key, now, failed=1)

    def succeed_for_all_hosts(self, now, count=20):
        for _ in range(count):
            for key in self.keys:
                self.evidence.note_signal(key, HealthSignal.GOOD, now)
                for reporter in HOSTS:
                    self.report(reporter, key, now, good=1)

    def review(self, now, is_dependency_failing=False, is_suspect_itself=False):
        return update_health(
            self.pool,
            self.evidence,
            now,
            self.rng,
            is_dependency_failing,
            is_suspect_itself,
        )

    def health(self, number):
        return self.pool.members[self.keys[number]].health


def test_target_that_fails_for_several_hosts_is_ejected():
    bench = Bench()
    bench.succeed_for_all_hosts(1.0)
    bench.fail_for_all_hosts(bench.keys[0], 2.0)
    assert bench.review(2.1) == []
    changes = bench.review(3.2)
    assert [(c.target, c.new) for c in changes] == [
        (bench.keys[0], HealthState.EJECTED)
    ]


def test_one_host_cannot_eject_a_target_that_others_use():
    """Guards against ejections caused by a host with a faulty network card."""
    bench = Bench()
    bench.succeed_for_all_hosts(1.0)
    for _ in range(50):
        bench.report("b1@1", bench.keys[0], 2.0, failed=1)
    assert bench.review(2.1) == []


def test_last_live_host_of_a_fleet_ejects_on_its_own():
    """Guards against a failing target kept in use because other hosts crashed."""
    bench = Bench()
    bench.succeed_for_all_hosts(1.0)
    bench.report("b1@1", bench.keys[0], 2.0, failed=1)
    for step in range(4):
        bench.evidence.note_signal(bench.keys[0], HealthSignal.FAILED, 20.0 + step)
    bench.review(24.0)
    bench.review(25.1)
    assert bench.health(0) is HealthState.EJECTED


def test_one_data_centre_cannot_eject_a_target_that_others_use():
    """Guards against ejections caused by a data centre that is cut off."""
    bench = Bench()
    bench.succeed_for_all_hosts(1.0)
    for _ in range(50):
        for reporter in ("b1@1", "b2@1"):
            bench.report(reporter, bench.keys[0], 2.0, failed=1)
    assert bench.review(2.1) == []


def test_target_that_only_this_host_cannot_reach_is_used_last():
    """Guards against requests to a target to which this host's path is broken."""
    bench = Bench()
    bench.succeed_for_all_hosts(1.0)
    for _ in range(4):
        bench.evidence.note_signal(bench.keys[0], HealthSignal.FAILED, 2.0)
        for reporter in HOSTS:
            bench.report(reporter, bench.keys[0], 2.0, good=5)
    assert bench.review(2.1) == []
    member = bench.pool.members[bench.keys[0]]
    assert (member.health, member.is_avoided) == (HealthState.HEALTHY, True)
    for _ in range(50):
        chosen = bench.pool.choose(RequestKind.IDEMPOTENT, 2.2, bench.rng)
        assert chosen is not member
    bench.review(60.0)
    assert not member.is_avoided


def test_host_that_alone_sees_most_targets_fail_suspects_itself():
    bench = Bench()
    bench.succeed_for_all_hosts(1.0)
    for key in bench.keys:
        for _ in range(4):
            bench.evidence.note_signal(key, HealthSignal.FAILED, 2.0)
        for reporter in HOSTS:
            bench.report(reporter, key, 2.0, good=5)
    assert suspects_itself([(bench.pool, bench.evidence)], 2.1)
    assert bench.review(2.1, is_suspect_itself=True) == []


def test_targets_with_a_common_failure_are_not_ejected():
    """Guards against the ejection of healthy targets when a dependency fails."""
    bench = Bench(floor=1)
    bench.succeed_for_all_hosts(1.0)
    for step in range(30):
        for key in bench.keys:
            for reporter in HOSTS:
                bench.report(reporter, key, 2.0 + step, failed=1)
        assert bench.review(2.1 + step) == []
    assert bench.pool.has_common_failure


def test_nothing_is_ejected_while_a_dependency_fails():
    """Guards against ejections while a failing dependency breaks single targets."""
    bench = Bench(floor=1)
    bench.succeed_for_all_hosts(1.0)
    bench.fail_for_all_hosts(bench.keys[0], 2.0)
    for now in (2.1, 3.2):
        assert bench.review(now, is_dependency_failing=True) == []
    assert bench.pool.has_common_failure
    assert [c.new for c in bench.review(4.3)] == []
    assert [c.new for c in bench.review(5.4)] == [HealthState.EJECTED]


def test_late_and_duplicate_rows_are_ignored():
    bench = Bench()
    bench.succeed_for_all_hosts(1.0)
    key = bench.keys[0]
    rows = [Row("b1@1", key, 20, 0, n) for n in (3, 1, 2, 3, 3)]
    bench.evidence.merge(rows[:1], 2.0)
    before = bench.evidence.score(key, 2.0)
    assert not bench.evidence.merge(rows[1:], 2.0)
    assert bench.evidence.score(key, 2.0) == before


def test_backoff_of_a_flapping_target_grows():
    bench = Bench()
    now, backoffs = 0.0, []
    for _ in range(4):
        bench.succeed_for_all_hosts(now)
        bench.fail_for_all_hosts(bench.keys[0], now + 1)
        bench.review(now + 1.1)
        bench.review(now + 2.2)
        member = bench.pool.members[bench.keys[0]]
        assert member.health is HealthState.EJECTED
        backoffs.append(member.ejected_until - member.since)
        now = member.ejected_until + 0.1
        bench.review(now)
        assert member.health is HealthState.TRIAL
        for _ in range(3):
            note_trial_result(member, True, now, bench.rng)
        bench.review(now)
        bench.review(now + 10.1)
        assert member.health is HealthState.HEALTHY
        now += 10.2
    assert backoffs == sorted(backoffs)
    assert backoffs[-1] > 4 * backoffs[0]


def test_trial_takes_one_idempotent_request_at_a_time_and_no_order():
    bench = Bench()
    member = bench.pool.members[bench.keys[0]]
    member.set_health(HealthState.TRIAL, 1.0, "")
    assert bench.pool.choose(RequestKind.IDEMPOTENT, 2.0, bench.rng) is member
    bench.pool.acquire(member)
    for kind in RequestKind:
        assert bench.pool.choose(kind, 2.0, bench.rng) is not member


def test_orders_go_only_to_healthy_targets():
    bench = Bench()
    for key in bench.keys[:3]:
        bench.pool.members[key].set_health(HealthState.SLOW_START, 1.0, "")
    for _ in range(20):
        chosen = bench.pool.choose(RequestKind.ORDER, 2.0, bench.rng)
        assert chosen.target.key == bench.keys[3]


def test_ejected_targets_are_readmitted_when_others_drain():
    """Guards against too few targets when some drain while others are ejected."""
    bench = Bench(floor=2)
    bench.succeed_for_all_hosts(1.0)
    for number in (0, 1):
        bench.fail_for_all_hosts(bench.keys[number], 2.0)
        bench.review(2.1)
        bench.review(3.2)
    assert count_active(bench.pool) == 3
    set_draining(bench.pool, {bench.keys[2]}, 4.0)
    set_draining(bench.pool, {bench.keys[2], bench.keys[3]}, 4.0)
    enforce_floor(bench.pool, bench.evidence, 4.1)
    assert count_active(bench.pool) == 2


def test_new_target_at_a_reused_address_starts_without_evidence():
    bench = Bench()
    bench.fail_for_all_hosts(bench.keys[0], 2.0)
    fresh = Target("new", "10.0.0.0:80", "a")
    service = bench.service._replace(targets=(fresh, *bench.service.targets[1:]))
    bench.pool.update(service, 4, 3.0)
    assert bench.evidence.score(fresh.key, 3.0).total == 0
    assert bench.pool.members[fresh.key].health is HealthState.SLOW_START


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["fail", "fail", "good", "leave", "stay", "trial", "wait"]),
        st.integers(0, 5),
        st.floats(0.1, 20.0),
    ),
    max_size=60,
)


@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(actions=ACTIONS, floor=st.integers(1, 6))
def test_floor_holds_for_any_sequence_of_events(actions, floor):
    """
    Guards against ejections that leave fewer targets in use than the floor.

    Evidence, drain marks and trial results may come in any order, for example when
    hosts are partitioned, paused or restarted.
    """
    bench = Bench(targets=6, floor=floor)
    leaving = set()
    now = 1.0
    bench.succeed_for_all_hosts(now, 3)
    for action, number, seconds in actions:
        key = bench.keys[number]
        if action == "fail":
            bench.fail_for_all_hosts(key, now, 5)
        elif action == "good":
            bench.succeed_for_all_hosts(now, 1)
        elif action == "leave":
            leaving.add(key)
        elif action == "stay":
            leaving.discard(key)
        elif action == "trial":
            note_trial_result(bench.pool.members[key], number % 2, now, bench.rng)
        else:
            now += seconds
        set_draining(bench.pool, leaving, now)
        bench.review(now)
        now += 1.1
        before = count_warm(bench.pool)
        changes = bench.review(now)
        assert count_active(bench.pool) >= effective_floor(bench.pool)
        if any(change.new is HealthState.EJECTED for change in changes):
            assert count_warm(bench.pool) >= min(before, floor)


@pytest.mark.parametrize("weighing", list(DetectionTradeoff))
def test_healthy_target_is_not_ejected_by_normal_noise(weighing):
    rng = random.Random(3)
    bench = Bench(weighing)
    for step in range(3000):
        key = rng.choice(bench.keys)
        roll = rng.random()
        signal = HealthSignal.SLOW if roll < 0.09 else HealthSignal.GOOD
        if roll > 0.998:
            signal = HealthSignal.FAILED
        bench.evidence.note_signal(key, signal, step * 0.05)
        assert bench.review(step * 0.05) == []

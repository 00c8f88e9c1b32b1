"""Tests of holding back requests that crash targets."""

import itertools
import random

import pytest

from .suspects import (
    CRASH_ATTRIBUTION_WINDOW,
    CRASH_THRESHOLD,
    GOSSIP_WINDOW,
    MAX_HOLD,
    MAX_INCARNATIONS,
    MAX_RECORDS,
    MAX_REQUESTS,
    MIN_HOLD,
    RETENTION,
    RunRecord,
    SuspectRequests,
)


def _crash(suspects, key, *incarnations, at=0.0, **options):
    for incarnation in incarnations:
        suspects.add(RunRecord(key, incarnation, True), at, **options)


def _answer(suspects, key, *incarnations, at=0.0):
    for incarnation in incarnations:
        suspects.add(RunRecord(key, incarnation, False), at)


def test_a_request_is_held_back_after_three_crashes():
    suspects = SuspectRequests()
    _crash(suspects, "bad", "a", "b", "a", "b")
    assert suspects.hold_remaining("bad", 1.0) == 0.0
    _crash(suspects, "bad", "c")
    assert suspects.hold_remaining("bad", 1.0) == MIN_HOLD - 1.0
    assert suspects.hold_remaining("good", 1.0) == 0.0


def test_a_harmless_request_beside_a_harmful_one_is_not_held_back():
    """
    Guards against refusing a harmless request that ran where another crashed targets.

    It was present at three crashes, the other one at four.
    """
    suspects = SuspectRequests()
    _crash(suspects, "bad", "a", "b", "c", "d")
    _crash(suspects, "beside", "a", "b", "c")
    assert suspects.hold_remaining("bad", 1.0) > 0.0
    assert suspects.hold_remaining("beside", 1.0) == 0.0


def test_a_second_bad_request_is_found_beside_the_first():
    """
    Guards against never holding back a harmful request beside another one.

    Two more crashes after the first request is held back must suffice.
    """
    suspects = SuspectRequests()
    _crash(suspects, "one", "a", "b", "c", "d")
    _crash(suspects, "two", "a", "b", "c")
    assert suspects.hold_remaining("two", 1.0) == 0.0
    _crash(suspects, "two", "e", "f")
    assert suspects.hold_remaining("two", 1.0) > 0.0


def test_a_popular_request_is_not_held_back_for_unrelated_crashes():
    """
    Guards against refusing a popular harmless request.

    It ran on two targets that two harmful requests crashed, and on one that crashed
    for another reason.
    """
    suspects = SuspectRequests()
    _crash(suspects, "one", "a", "r", "s", "t")
    _crash(suspects, "two", "b", "u", "v", "w", "x")
    _crash(suspects, "page", "a", "b", "c")
    assert suspects.hold_remaining("one", 1.0) > 0.0
    assert suspects.hold_remaining("two", 1.0) > 0.0
    assert suspects.hold_remaining("page", 1.0) == 0.0


def test_a_harmless_request_is_released_once_the_cause_has_more_crashes():
    """
    Guards against refusing a harmless request for good if it was held back first.

    The cause was not known at first; its next crash must release the other request.
    """
    suspects = SuspectRequests()
    _crash(suspects, "beside", "a", "b", "c")
    assert suspects.hold_remaining("beside", 1.0) > 0.0
    _crash(suspects, "bad", "a", "b", "c", "d")
    assert suspects.hold_remaining("bad", 1.0) > 0.0
    assert suspects.hold_remaining("beside", 1.0) == 0.0


def test_answers_offset_crashes():
    """A popular request is refused after unrelated crashes though others answered."""
    suspects = SuspectRequests()
    _crash(suspects, "often", "a")
    _answer(suspects, "often", "x", "y")
    _crash(suspects, "often", "b", "c")
    assert suspects.hold_remaining("often", 1.0) == 0.0
    _crash(suspects, "often", "d", "e")
    assert suspects.hold_remaining("often", 1.0) > 0.0


def test_an_answer_to_a_request_without_crashes_is_not_kept():
    suspects = SuspectRequests()
    _answer(suspects, "good", "x")
    assert len(suspects) == 0


def test_each_crash_after_a_hold_doubles_the_next_hold():
    """
    Guards against refusing a request that a new release of the targets can handle.

    It is released after a while, held twice as long after a further crash, and free
    once it was answered.
    """
    suspects = SuspectRequests()
    _crash(suspects, "bad", "a", "b", "c")
    at = MIN_HOLD
    assert suspects.hold_remaining("bad", at) == 0.0
    assert not suspects.evict_expired(at)
    _crash(suspects, "bad", "d", at=at)
    assert suspects.hold_remaining("bad", at) == 2 * MIN_HOLD
    at += 2 * MIN_HOLD
    _answer(suspects, "bad", "e", "f", at=at)
    assert suspects.hold_remaining("bad", at) == 0.0
    for number in range(MAX_INCARNATIONS):
        _crash(suspects, "worst", f"incarnation-{number}")
    assert suspects.hold_remaining("worst", 0.0) == MAX_HOLD


def test_a_crash_beyond_the_kept_incarnations_is_not_gossiped():
    """
    Guards against flooding the links with urgent messages about one request.

    Each host took an incarnation beyond the limit for new each time it was received.
    """
    suspects = SuspectRequests()
    for number in range(MAX_INCARNATIONS):
        _crash(suspects, "bad", f"incarnation-{number}")
    count = suspects.local_record_count
    for _ in range(3):
        assert not suspects.add(RunRecord("bad", "one more", True), 5.0)
    assert suspects.local_record_count == count
    # The crash still extends the hold.
    assert suspects.hold_remaining("bad", 5.0) == MAX_HOLD


def test_requests_and_crashes_expire():
    suspects = SuspectRequests()
    _crash(suspects, "light", "a")
    _crash(suspects, "bad", "b", "c", "d")
    suspects.add_stored("bad", ["b", "c", "d"], [], 0.0)
    assert suspects.has_crashed("a")
    assert suspects.evict_expired(CRASH_ATTRIBUTION_WINDOW) == []
    assert suspects.has_crashed("a") is False
    assert "light" in suspects
    assert suspects.evict_expired(RETENTION) == []
    assert "light" not in suspects
    assert "bad" in suspects
    # Its record in the store is no longer needed either.
    assert suspects.evict_expired(2 * MIN_HOLD) == ["bad"]
    assert len(suspects) == 0


def test_many_single_crashes_do_not_evict_a_harmful_request():
    """
    Guards against releasing a harmful request because a host has evicted it.

    A large target or a rack crashes, which adds many requests with one crash each.
    """
    suspects = SuspectRequests()
    _crash(suspects, "bad", "a", "b", "c")
    for number in range(4 * MAX_REQUESTS):
        _crash(suspects, f"flood-{number}", f"incarnation-{number}", at=float(number))
    assert len(suspects) == MAX_REQUESTS
    assert suspects.hold_remaining("bad", 1.0) > 0.0
    # The newest is kept, too.
    assert f"flood-{4 * MAX_REQUESTS - 1}" in suspects


def test_holds_do_not_depend_on_the_order_of_records():
    """Hosts that received the same records in another order disagree on holds."""
    rng = random.Random(7)
    records = [
        RunRecord(key, incarnation, rng.random() < 0.8)
        for key in ("k1", "k2", "k3", "k4")
        for incarnation in rng.sample("abcdefgh", 5)
    ]
    # An answer is kept only for a request that has a crash.
    records += [RunRecord(key, "z", True) for key in ("k1", "k2", "k3", "k4")]
    holds = set()
    for _ in range(50):
        rng.shuffle(records)
        suspects = SuspectRequests()
        for record in sorted(records, key=lambda n: not n.has_crashed):
            suspects.add(record, 0.0)
        holds.add(tuple(suspects.hold_remaining(f"k{n}", 1.0) for n in (1, 2, 3, 4)))
    assert len(holds) == 1


def test_records_are_gossiped_for_a_while_by_the_hosts_that_observed_them():
    suspects = SuspectRequests()
    _crash(suspects, "own", "a", is_own=True)
    _crash(suspects, "local", "a")
    _crash(suspects, "remote", "a", is_local=False)
    assert [n.key for n in suspects.own_records(1.0)] == ["own"]
    assert [n.key for n in suspects.local_records(1.0)] == ["own", "local"]
    assert suspects.own_records(GOSSIP_WINDOW) == []
    for number in range(2 * MAX_RECORDS):
        _crash(suspects, "own", f"incarnation-{number}", at=5.0, is_own=True)
    assert len(suspects.own_records(5.0)) <= MAX_RECORDS


def test_a_request_is_stored_from_the_second_crash_on():
    """
    Guards against two partitioned data centres that each allow three crashes.

    The store must carry two crashes of one over, so that the next one in the other
    reaches the threshold.
    """
    here, there = SuspectRequests(), SuspectRequests()
    _crash(here, "bad", "a", is_own=True)
    assert here.unsaved() == {}
    _crash(here, "bad", "b", is_own=True)
    crashed, answered = here.unsaved()["bad"]
    assert (crashed, answered) == (["a", "b"], [])
    there.add_stored("bad", crashed, answered, 0.0)
    assert there.hold_remaining("bad", 0.0) == 0.0
    _crash(there, "bad", "c", is_own=True)
    assert there.hold_remaining("bad", 0.0) > 0.0


def test_concurrent_writes_to_the_store_are_merged():
    """
    Guards against a stored record that lacks crashes after concurrent writes.

    The last of two concurrent writes wins, so the host whose crashes it lacks must
    write the union.
    """
    one, two = SuspectRequests(), SuspectRequests()
    _crash(one, "bad", "a", "b", is_own=True)
    _crash(two, "bad", "c", "d", is_own=True)
    records = [one.unsaved()["bad"], two.unsaved()["bad"]]
    for _ in range(4):
        for suspects, (crashed, answered) in itertools.product((one, two), records):
            suspects.add_stored("bad", crashed, answered, 0.0)
        written = [s.unsaved().get("bad") for s in (one, two)]
        records = [record for record in written if record is not None]
        if not records:
            break
        last = records[-1]
    assert last == (["a", "b", "c", "d"], [])
    assert not records


def test_an_operator_releases_a_request():
    suspects = SuspectRequests()
    _crash(suspects, "bad", "a", "b", "c", is_own=True)
    assert suspects.hold_remaining("bad", 0.0) > 0.0
    suspects.drop("bad")
    assert suspects.hold_remaining("bad", 0.0) == 0.0
    assert suspects.own_records(0.5) == []


@pytest.mark.parametrize("count", [1, CRASH_THRESHOLD - 1])
def test_the_loss_of_a_rack_holds_no_requests_back(count):
    """
    Guards against refusing all callers of a service whose targets lost power at once.

    Each request ran on one target then, or on two if it was hedged.
    """
    suspects = SuspectRequests()
    for number in range(200):
        incarnations = [f"incarnation-{number + step}" for step in range(count)]
        _crash(suspects, f"key-{number}", *incarnations)
    assert not any(suspects.hold_remaining(f"key-{n}", 0.0) for n in range(200))


@pytest.mark.parametrize("is_stored", [False, True])
def test_a_late_record_does_not_undo_a_release(is_stored):
    """Guards against a released request held back again by a write under way."""
    suspects = SuspectRequests()
    crashed = ["t1", "t2", "t3"]
    suspects.add_stored("key", crashed, [], 0.0)
    suspects.drop("key")
    if is_stored:
        suspects.add_stored("key", crashed, [], 1.0)
    for incarnation in crashed:
        suspects.add(RunRecord("key", incarnation, True), 1.0)
    assert suspects.crash_count("key") == 0
    suspects.add(RunRecord("key", "t4", True), 2.0)
    assert suspects.crash_count("key") == 1

"""
Tests of the requests that are held back since targets ended under them.
"""

import itertools
import random

import pytest

from .suspects import (
    CRASH_THRESHOLD,
    ENDED_FOR,
    HELD_MOST,
    KEYS_MOST,
    LIVES_MOST,
    MIN_HOLD,
    REMEMBERED_FOR,
    TOLD_FOR,
    TOLD_MOST,
    RunRecord,
    SuspectRequests,
)


def _end(suspects, key, *lives, at=0.0, **options):
    for life in lives:
        suspects.add(RunRecord(key, life, True), at, **options)


def _answer(suspects, key, *lives, at=0.0):
    for life in lives:
        suspects.add(RunRecord(key, life, False), at)


def test_a_request_is_held_back_after_three_lives():
    suspects = SuspectRequests()
    _end(suspects, "bad", "a", "b", "a", "b")
    assert suspects.hold_remaining("bad", 1.0) == 0.0
    _end(suspects, "bad", "c")
    assert suspects.hold_remaining("bad", 1.0) == MIN_HOLD - 1.0
    assert suspects.hold_remaining("good", 1.0) == 0.0


def test_what_a_busy_target_ran_besides_is_not_held_back():
    """
    A notary's look-up is refused for ten minutes though nothing is wrong with it.

    It runs beside a request that ends its targets, breaks, and is sent to the next
    target that the other one ends. It has been at three ends, the other one at four.
    """
    suspects = SuspectRequests()
    _end(suspects, "bad", "a", "b", "c", "d")
    _end(suspects, "beside", "a", "b", "c")
    assert suspects.hold_remaining("bad", 1.0) > 0.0
    assert suspects.hold_remaining("beside", 1.0) == 0.0


def test_a_second_bad_request_is_found_beside_the_first():
    """
    Two requests end targets at the same time, and one hides behind the other.

    All that ended under the second ended under the first as well, until that one is
    held back; then two ends are enough.
    """
    suspects = SuspectRequests()
    _end(suspects, "one", "a", "b", "c", "d")
    _end(suspects, "two", "a", "b", "c")
    assert suspects.hold_remaining("two", 1.0) == 0.0
    _end(suspects, "two", "e", "f")
    assert suspects.hold_remaining("two", 1.0) > 0.0


def test_a_page_that_many_ask_for_is_not_held_back_for_the_ends_of_others():
    """
    A page that many ask for is refused for ten minutes though nothing is wrong with it.

    It ran at a target that a bad request ended, at one that another bad request ended,
    and at one that crashed by itself.
    """
    suspects = SuspectRequests()
    _end(suspects, "one", "a", "r", "s", "t")
    _end(suspects, "two", "b", "u", "v", "w", "x")
    _end(suspects, "page", "a", "b", "c")
    assert suspects.hold_remaining("one", 1.0) > 0.0
    assert suspects.hold_remaining("two", 1.0) > 0.0
    assert suspects.hold_remaining("page", 1.0) == 0.0


def test_an_innocent_request_that_led_is_let_go_again():
    """
    Of two requests that ran at the same three ends, nobody can tell the cause.

    Both are held back. Should only one of them have been known so far, the cause goes
    on for one target more, leads from then on, and frees the other.
    """
    suspects = SuspectRequests()
    _end(suspects, "beside", "a", "b", "c")
    assert suspects.hold_remaining("beside", 1.0) > 0.0
    _end(suspects, "bad", "a", "b", "c", "d")
    assert suspects.hold_remaining("bad", 1.0) > 0.0
    assert suspects.hold_remaining("beside", 1.0) == 0.0


def test_answers_make_up_for_ends():
    """
    A look-up that many ask for is refused since targets crashed now and then.

    Three targets ended while it ran there, within ten minutes; others answered it.
    """
    suspects = SuspectRequests()
    _end(suspects, "often", "a")
    _answer(suspects, "often", "x", "y")
    _end(suspects, "often", "b", "c")
    assert suspects.hold_remaining("often", 1.0) == 0.0
    _end(suspects, "often", "d", "e")
    assert suspects.hold_remaining("often", 1.0) > 0.0


def test_an_answer_to_a_request_that_is_no_suspect_is_not_kept():
    suspects = SuspectRequests()
    _answer(suspects, "good", "x")
    assert len(suspects) == 0


def test_a_request_gets_another_try_later_and_later():
    """
    A request stays refused for good although a release of the targets can take it.

    After a while it is let through once; if it ends one more target, the next try is
    twice as late, and if it is answered it is free.
    """
    suspects = SuspectRequests()
    _end(suspects, "bad", "a", "b", "c")
    at = MIN_HOLD
    assert suspects.hold_remaining("bad", at) == 0.0
    assert not suspects.evict_expired(at)
    _end(suspects, "bad", "d", at=at)
    assert suspects.hold_remaining("bad", at) == 2 * MIN_HOLD
    at += 2 * MIN_HOLD
    _answer(suspects, "bad", "e", "f", at=at)
    assert suspects.hold_remaining("bad", at) == 0.0
    for number in range(LIVES_MOST):
        _end(suspects, "worst", f"l{number}")
    assert suspects.hold_remaining("worst", 0.0) == HELD_MOST


def test_a_life_beyond_those_that_are_kept_is_told_once_at_most():
    """
    All messages of the data centre are urgent for seconds, and fill its links.

    A request ends one target after the other. Its lives are kept up to a number; one
    more was news to each host each time that it was told.
    """
    suspects = SuspectRequests()
    for number in range(LIVES_MOST):
        _end(suspects, "bad", f"life-{number}")
    count = suspects.near_record_count
    for _ in range(3):
        assert not suspects.add(RunRecord("bad", "one more", True), 5.0)
    assert suspects.near_record_count == count
    # It has ended all the same, and the request is held for as long after it.
    assert suspects.hold_remaining("bad", 5.0) == HELD_MOST


def test_all_is_forgotten_in_time():
    suspects = SuspectRequests()
    _end(suspects, "light", "a")
    _end(suspects, "bad", "b", "c", "d")
    suspects.add_stored("bad", ["b", "c", "d"], [], 0.0)
    assert suspects.has_crashed("a")
    assert suspects.evict_expired(ENDED_FOR) == []
    assert suspects.has_crashed("a") is False
    assert "light" in suspects
    assert suspects.evict_expired(REMEMBERED_FOR) == []
    assert "light" not in suspects
    assert "bad" in suspects
    # The store's record is not needed any more either.
    assert suspects.evict_expired(2 * MIN_HOLD) == ["bad"]
    assert len(suspects) == 0


def test_a_flood_does_not_push_out_the_worst():
    """
    A request that ends its targets is sent on, since the host has forgotten it.

    A large target crashes, or a rack, and a thousand requests that ran there come in
    as suspects with one end each.
    """
    suspects = SuspectRequests()
    _end(suspects, "bad", "a", "b", "c")
    for number in range(4 * KEYS_MOST):
        _end(suspects, f"flood-{number}", f"life-{number}", at=float(number))
    assert len(suspects) == KEYS_MOST
    assert suspects.hold_remaining("bad", 1.0) > 0.0
    # And a late one is still taken in.
    assert f"flood-{4 * KEYS_MOST - 1}" in suspects


def test_the_verdict_does_not_depend_on_the_order_of_notes():
    """Hosts that learnt the same in another order refuse other requests."""
    rng = random.Random(7)
    notes = [
        RunRecord(key, life, rng.random() < 0.8)
        for key in ("k1", "k2", "k3", "k4")
        for life in rng.sample("abcdefgh", 5)
    ]
    # An answer is kept only of a request under which a life has ended.
    notes += [RunRecord(key, "z", True) for key in ("k1", "k2", "k3", "k4")]
    verdicts = set()
    for _ in range(50):
        rng.shuffle(notes)
        suspects = SuspectRequests()
        for note in sorted(notes, key=lambda n: not n.has_ended):
            suspects.add(note, 0.0)
        verdicts.add(tuple(suspects.hold_remaining(f"k{n}", 1.0) for n in (1, 2, 3, 4)))
    assert len(verdicts) == 1


def test_notes_are_told_for_a_while_and_only_by_those_that_saw_them():
    suspects = SuspectRequests()
    _end(suspects, "own", "a", is_own=True)
    _end(suspects, "near", "a")
    _end(suspects, "far", "a", is_near=False)
    assert [n.key for n in suspects.own_records(1.0)] == ["own"]
    assert [n.key for n in suspects.near_records(1.0)] == ["own", "near"]
    assert suspects.own_records(TOLD_FOR) == []
    for number in range(2 * TOLD_MOST):
        _end(suspects, "own", f"l{number}", at=5.0, is_own=True)
    assert len(suspects.own_records(5.0)) <= TOLD_MOST


def test_the_store_is_told_from_the_second_end_on():
    """
    Two data centres that are cut off from each other each allow three ends.

    Each writes down what it saw when a second target has ended there; then the other
    one's first end is the third.
    """
    here, there = SuspectRequests(), SuspectRequests()
    _end(here, "bad", "a", is_own=True)
    assert here.unsaved() == {}
    _end(here, "bad", "b", is_own=True)
    ended, answered = here.unsaved()["bad"]
    assert (ended, answered) == (["a", "b"], [])
    there.add_stored("bad", ended, answered, 0.0)
    assert there.hold_remaining("bad", 0.0) == 0.0
    _end(there, "bad", "c", is_own=True)
    assert there.hold_remaining("bad", 0.0) > 0.0


def test_what_two_hosts_write_at_once_is_written_together_in_the_end():
    """
    A host that starts late hears of two ends only, though four have been written.

    Two hosts write what they know at the same moment, and the newest replaces the
    other. The one whose ends are missing there writes both.
    """
    one, two = SuspectRequests(), SuspectRequests()
    _end(one, "bad", "a", "b", is_own=True)
    _end(two, "bad", "c", "d", is_own=True)
    records = [one.unsaved()["bad"], two.unsaved()["bad"]]
    for _ in range(4):
        for suspects, (ended, answered) in itertools.product((one, two), records):
            suspects.add_stored("bad", ended, answered, 0.0)
        written = [s.unsaved().get("bad") for s in (one, two)]
        records = [record for record in written if record is not None]
        if not records:
            break
        last = records[-1]
    assert last == (["a", "b", "c", "d"], [])
    assert not records


def test_an_operator_lets_a_request_go():
    suspects = SuspectRequests()
    _end(suspects, "bad", "a", "b", "c", is_own=True)
    assert suspects.hold_remaining("bad", 0.0) > 0.0
    suspects.drop("bad")
    assert suspects.hold_remaining("bad", 0.0) == 0.0
    assert suspects.own_records(0.5) == []


@pytest.mark.parametrize("count", [1, CRASH_THRESHOLD - 1])
def test_a_lost_rack_holds_nothing_back(count):
    """
    All callers of a service are refused after its targets lost their power at once.

    Each request was at one target then, or at two with its second send.
    """
    suspects = SuspectRequests()
    for number in range(200):
        lives = [f"life-{number + step}" for step in range(count)]
        _end(suspects, f"key-{number}", *lives)
    assert not any(suspects.hold_remaining(f"key-{n}", 0.0) for n in range(200))

"""
Tests of the bound on bytes held for slow readers.
"""

import random

from .byte_budget import MIN_READ, ByteBudget

LIMIT = 50_000_000


def _fill(account, size, step=65536):
    """Take up to `size` bytes as a connection does, and return what was taken."""
    while account.has_room and account.held < size:
        account.add(min(step, account.room(), size - account.held))
    return account.held


def _open(budget, resumed=None):
    on_room = (lambda: None) if resumed is None else lambda: resumed.append(account)
    account = budget.open(on_room)
    return account


def test_forty_stalled_readers_are_taken_off_their_targets_hands():
    """Guards against slots that targets keep although the host has room."""
    budget = ByteBudget(LIMIT)
    taken = [_fill(_open(budget), 900_000) for _ in range(40)]
    assert taken == [900_000] * 40


def test_one_response_leaves_most_of_the_room_to_others():
    """Guards against a stalled reader of one huge response that starves all others."""
    budget = ByteBudget(LIMIT)
    assert _fill(_open(budget), 10 * LIMIT) <= LIMIT // 9
    assert budget.free >= LIMIT * 8 // 9 - 1


def test_responses_that_come_together_get_equal_shares():
    """Guards against the first of many concurrent responses taking all the room."""
    budget = ByteBudget(LIMIT)
    accounts = [_open(budget) for _ in range(200)]
    while any(account.has_room for account in accounts):
        for account in accounts:
            if account.has_room:
                account.add(min(16384, account.room()))
    held = [account.held for account in accounts]
    assert max(held) - min(held) <= 16384 + MIN_READ
    assert sum(held) == budget.held <= LIMIT


def test_the_budget_is_never_exceeded_nor_negative_and_all_is_released():
    """Guards against bytes lost on a path: sent, dropped, closed twice, or late."""
    for seed in range(20):
        rng = random.Random(seed)
        budget = ByteBudget(rng.choice((MIN_READ, 100_000, 1_000_000)))
        accounts = [_open(budget) for _ in range(30)]
        for _ in range(3000):
            account = rng.choice(accounts)
            action = rng.random()
            if action < 0.6 and account.has_room:
                account.add(rng.randint(1, min(65536, account.room())))
            elif action < 0.97:
                account.release(rng.randint(0, 80_000))
            else:
                account.close()
                account.close()
                accounts[accounts.index(account)] = _open(budget)
            assert budget.held == sum(a.held for a in accounts)
            assert 0 <= budget.held <= budget.limit
        for account in accounts:
            account.close()
            account.add(100)
        assert budget.held == 0


def test_a_reader_that_reads_gets_on_while_others_fill_the_budget():
    """Guards against a caller that reads and gets nothing since others don't."""
    budget = ByteBudget(LIMIT)
    for _ in range(1000):
        _fill(_open(budget), LIMIT)
    resumed = []
    reader = _open(budget, resumed)
    for _ in range(50):
        if not reader.has_room:
            reader.wait_for_room()
            reader.release(reader.held)
            assert resumed
        reader.add(min(reader.room(), 65536))
        assert budget.held <= budget.limit


def test_those_that_wait_are_resumed_when_another_response_ends():
    """Guards against a target's slot that stays taken although room became free."""
    budget = ByteBudget(1_000_000)
    others = [_open(budget) for _ in range(60)]
    for account in others:
        _fill(account, LIMIT)
    resumed = []
    waiting = _open(budget, resumed)
    _fill(waiting, LIMIT)
    waiting.wait_for_room()
    for account in others[:30]:
        account.close()
    assert resumed == [waiting]
    closed = _open(budget, resumed)
    closed.wait_for_room()
    closed.close()
    for account in others:
        account.close()
    assert resumed == [waiting]

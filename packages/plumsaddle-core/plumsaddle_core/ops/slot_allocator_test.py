"""Tests of the allocation of a service's slots."""

from .slot_allocator import GRANT_TTL, SHED_COOLDOWN, SlotAllocator, choose_allocator

TARGETS = ["a", "b"]


def test_no_target_gets_more_than_its_slots():
    allocator = SlotAllocator(2)
    for ticket in range(6):
        allocator.request_slot(ticket, 10.0)
    grants = allocator.grant_slots(TARGETS, 0.0)
    assert sorted(grant.target for grant in grants) == ["a", "a", "b", "b"]
    assert allocator.grant_slots(TARGETS, 1.0) == []
    allocator.release(grants[0].number, 1.0, False)
    assert [g.ticket for g in allocator.grant_slots(TARGETS, 1.0)] == [4]


def test_earliest_deadline_first_and_expired_ones_not_at_all():
    allocator = SlotAllocator(1)
    for ticket, deadline in (("late", 1.0), ("far", 9.0), ("near", 5.0)):
        allocator.request_slot(ticket, deadline)
    assert [g.ticket for g in allocator.grant_slots(TARGETS, 2.0)] == ["near", "far"]


def test_grant_of_a_crashed_host_expires_and_its_late_release_is_ignored():
    """Guards against slots lost with crashed hosts, or released twice by slow ones."""
    allocator = SlotAllocator(1)
    allocator.request_slot("first", 99.0)
    (grant,) = allocator.grant_slots(["a"], 0.0)
    allocator.request_slot("second", 99.0)
    assert allocator.grant_slots(["a"], GRANT_TTL - 1) == []
    assert [g.ticket for g in allocator.grant_slots(["a"], GRANT_TTL)] == ["second"]
    allocator.release(grant.number, GRANT_TTL, False)
    allocator.request_slot("third", 99.0)
    assert allocator.grant_slots(["a"], GRANT_TTL) == []


def test_target_that_sheds_gets_no_grants_during_the_cooldown():
    allocator = SlotAllocator(1)
    allocator.request_slot("first", 9.0)
    (grant,) = allocator.grant_slots(["a"], 0.0)
    allocator.release(grant.number, 1.0, True)
    allocator.request_slot("second", 9.0)
    assert allocator.grant_slots(["a"], 1.0) == []
    assert allocator.grant_slots(["a"], 1.0 + SHED_COOLDOWN) != []


def test_removing_a_host_moves_only_its_own_services():
    hosts = [f"h{n}" for n in range(10)]
    services = [f"s{n}" for n in range(200)]
    before = {s: choose_allocator(s, hosts) for s in services}
    after = {s: choose_allocator(s, hosts[1:]) for s in services}
    moved = [s for s in services if before[s] != after[s]]
    assert {before[s] for s in moved} == {"h0"}
    assert 5 < len(moved) < 45

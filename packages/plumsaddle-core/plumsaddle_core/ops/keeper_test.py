"""Tests of the keeper of a service's slots."""

from .keeper import GRANT_FOR, SHED_REST, SlotAllocator, choose_allocator

TARGETS = ["a", "b"]


def test_no_target_gets_more_than_its_slots():
    keeper = SlotAllocator(2)
    for ticket in range(6):
        keeper.request_slot(ticket, 10.0)
    grants = keeper.grant_slots(TARGETS, 0.0)
    assert sorted(grant.target for grant in grants) == ["a", "a", "b", "b"]
    assert keeper.grant_slots(TARGETS, 1.0) == []
    keeper.release(grants[0].number, 1.0, False)
    assert [g.ticket for g in keeper.grant_slots(TARGETS, 1.0)] == [4]


def test_earliest_deadline_first_and_late_ones_not_at_all():
    keeper = SlotAllocator(1)
    for ticket, deadline in (("late", 1.0), ("far", 9.0), ("near", 5.0)):
        keeper.request_slot(ticket, deadline)
    assert [g.ticket for g in keeper.grant_slots(TARGETS, 2.0)] == ["near", "far"]


def test_grant_of_a_killed_host_lapses_and_its_late_return_counts_once():
    """
    A service's slots are lost one by one with the hosts that held them.

    A host is killed with a grant in hand; or it is only slow, and gives the grant
    back when it has lapsed already.
    """
    keeper = SlotAllocator(1)
    keeper.request_slot("first", 99.0)
    (grant,) = keeper.grant_slots(["a"], 0.0)
    keeper.request_slot("second", 99.0)
    assert keeper.grant_slots(["a"], GRANT_FOR - 1) == []
    assert [g.ticket for g in keeper.grant_slots(["a"], GRANT_FOR)] == ["second"]
    keeper.release(grant.number, GRANT_FOR, False)
    keeper.request_slot("third", 99.0)
    assert keeper.grant_slots(["a"], GRANT_FOR) == []


def test_target_that_sheds_rests_for_a_moment():
    keeper = SlotAllocator(1)
    keeper.request_slot("first", 9.0)
    (grant,) = keeper.grant_slots(["a"], 0.0)
    keeper.release(grant.number, 1.0, True)
    keeper.request_slot("second", 9.0)
    assert keeper.grant_slots(["a"], 1.0) == []
    assert keeper.grant_slots(["a"], 1.0 + SHED_REST) != []


def test_only_the_services_of_a_host_that_goes_move():
    hosts = [f"h{n}" for n in range(10)]
    services = [f"s{n}" for n in range(200)]
    before = {s: choose_allocator(s, hosts) for s in services}
    after = {s: choose_allocator(s, hosts[1:]) for s in services}
    moved = [s for s in services if before[s] != after[s]]
    assert {before[s] for s in moved} == {"h0"}
    assert 5 < len(moved) < 45

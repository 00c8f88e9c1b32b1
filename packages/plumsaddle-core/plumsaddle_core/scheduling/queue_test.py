"""
Tests of the order in which waiting requests are served, and of who gives way.
"""

from ..ops.urgency import RequestPriority
from .queue import TURNS_PER_LOW_RANK_TURN, FairQueue, Ticket

HIGH, LOW = RequestPriority(0, 0), RequestPriority(0, 2)


def _ticket(name, rank=HIGH, workspace="a", deadline=9.0, **fields):
    return Ticket(
        rank,
        workspace,
        0.0,
        fields.pop("starts_in_time_by", 5.0),
        fields.pop("latest_start", deadline),
        deadline,
        payload=name,
        **fields,
    )


def _queue(*tickets, capacity=100, max_bytes=1e9):
    queue = FairQueue(capacity, max_bytes)
    displaced = [victim for ticket in tickets for victim in queue.push(ticket)]
    return queue, [victim.payload for victim in displaced]


def _serve(queue, now=0.0, count=1000):
    served = []

    def try_serve(ticket):
        if len(served) >= count:
            return False
        served.append(ticket.payload)
        return True

    queue.serve(now, try_serve, max_failures=1)
    return served


def test_ranks_come_before_deadlines():
    """Guards against a burst of the least urgent kind taking the room of the others."""
    queue, _ = _queue(_ticket("pull", LOW, deadline=1.0), _ticket("order"))
    assert _serve(queue) == ["order", "pull"]
    assert not len(queue)


def test_earlier_deadlines_come_first_in_a_workspace():
    queue, _ = _queue(_ticket("later", deadline=3.0), _ticket("sooner", deadline=2.0))
    assert _serve(queue) == ["sooner", "later"]


def test_hot_workspace_delays_only_itself():
    """Guards against a hot workspace taking all room of its rank."""
    hot = [_ticket(f"hot{n}", workspace="hot", deadline=1.0) for n in range(20)]
    queue, _ = _queue(*hot, _ticket("b1", workspace="b"), _ticket("b2", workspace="b"))
    served = _serve(queue, count=5)
    assert {"b1", "b2"} <= set(served)


def test_workspace_does_not_catch_up_on_unused_service():
    """Guards against a workspace that was idle taking all room when it returns."""
    queue, _ = _queue(*[_ticket(f"a{n}") for n in range(10)])
    _serve(queue, count=6)
    for number in range(6):
        queue.push(_ticket(f"b{number}", workspace="b"))
    assert sum(name.startswith("a") for name in _serve(queue, count=6)) >= 2


def test_costly_requests_count_by_their_time():
    """Guards against a workspace with long requests getting most of the slots."""
    long = [_ticket(f"long{n}", workspace="long", cost=4.0) for n in range(9)]
    short = [_ticket(f"short{n}", workspace="short", cost=1.0) for n in range(9)]
    queue, _ = _queue(*long, *short)
    assert sum(name.startswith("long") for name in _serve(queue, count=10)) <= 3


def test_requests_in_time_come_before_late_ones():
    """Guards against a clump making every later request late as well."""
    late = _ticket("late", deadline=2.0, starts_in_time_by=0.5)
    queue, _ = _queue(late, _ticket("in time", deadline=3.0))
    assert _serve(queue, now=1.0) == ["in time", "late"]


def test_less_urgent_requests_are_served_now_and_then():
    """Guards against a lasting overload of urgent requests stopping all others."""
    queue, _ = _queue(*[_ticket("order") for _ in range(99)], _ticket("pull", LOW))
    assert "pull" in _serve(queue, count=TURNS_PER_LOW_RANK_TURN)


def test_least_urgent_of_the_largest_workspace_gives_way():
    """Guards against a full queue refusing whoever comes last."""
    pulls = [_ticket(f"hot{n}", LOW, "hot", deadline=2.0 + n) for n in range(3)]
    queue, displaced = _queue(
        *pulls, _ticket("b", LOW, "b"), _ticket("order"), _ticket("order"), capacity=4
    )
    assert displaced == ["hot2", "hot1"]


def test_newcomer_gives_way_if_it_is_the_least_urgent():
    queue, displaced = _queue(_ticket("order"), _ticket("pull", LOW), capacity=1)
    assert displaced == ["pull"]
    assert len(queue) == 1


def test_queue_is_bounded_in_bytes():
    """Guards against waiting bodies filling the memory of a small host."""
    tickets = [_ticket(f"t{n}", size=400, deadline=n) for n in range(5)]
    queue, displaced = _queue(*tickets, max_bytes=1000)
    assert displaced == ["t2", "t3", "t4"]
    assert queue.bytes == 800


def test_hopeless_requests_leave_at_once():
    """Guards against callers waiting for a response that cannot come in time."""
    queue, _ = _queue(_ticket("lost", latest_start=1.0), _ticket("other"))
    assert [ticket.payload for ticket in queue.expire(1.0)] == ["lost"]
    assert _serve(queue) == ["other"]


def test_served_request_may_leave_while_it_is_tried():
    """Guards against counting a request twice whose caller left meanwhile."""
    ticket = _ticket("gone")
    queue, _ = _queue(ticket, _ticket("other", size=7))
    queue.serve(0.0, queue.remove, max_failures=1)
    assert len(queue) == 0
    assert queue.bytes == 0


def test_request_is_not_tried_before_its_delay_is_over():
    """Guards against a rejected request blocking those behind it."""
    queue, _ = _queue(_ticket("rejected", not_before=2.0), _ticket("other", LOW))
    assert _serve(queue, now=1.0) == ["other"]
    assert _serve(queue, now=2.0) == ["rejected"]


def test_only_requests_of_other_workspaces_that_come_first_are_ahead():
    """Guards against refusing a small workspace because a hot one has many waiting."""
    hot = [_ticket(f"hot{n}", workspace="hot") for n in range(20)]
    queue, _ = _queue(*hot, _ticket("small"), _ticket("pull", LOW))
    assert queue.count_ahead(HIGH, "hot", 0.0) == 21
    assert queue.count_ahead(HIGH, "a", 0.0) == 3
    assert queue.count_ahead(HIGH, "new", 0.0) == 2
    assert queue.count_ahead(LOW, "a", 0.0) == 22


def test_delayed_requests_are_not_ahead():
    """Guards against new requests that wait behind rejected ones for nothing."""
    queue, _ = _queue(_ticket("rejected", not_before=2.0))
    assert queue.count_ahead(HIGH, "b", 1.0) == 0
    assert queue.count_ahead(HIGH, "b", 2.0) == 1


def test_idle_workspaces_hold_no_state():
    """Guards against memory that grows with the number of workspaces."""
    queue = FairQueue(10)
    for number in range(1000):
        queue.push(_ticket("x", workspace=f"w{number}"))
        _serve(queue)
    assert queue.count_by_rank() == {}

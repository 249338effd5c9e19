"""Long work keeps to its part of the fleet."""

from __future__ import annotations

from conftest import QUEUE_TIMER, Driver, sends

from alderspool.balancer.settings import Idempotency, RequestClass


def test_first_mix_assumes_equal_work_of_the_classes() -> None:
    d = Driver([RequestClass("short", 100.0, 200.0), RequestClass("long", 1500.0, 3000.0)])
    d.list_endpoints(10)
    d.now += 200.0
    for _ in range(5):
        d.request()
    d.now += 200.0
    d.request()
    assert 3 <= sum(s.serves_long_work for s in d.selected) <= 7  # not nine of ten


def test_long_work_never_leaves_its_part_of_the_fleet() -> None:
    short = RequestClass("short", 100.0, 200.0, idempotency=Idempotency.NON_IDEMPOTENT)
    d = Driver([short, RequestClass("long", 1500.0, 3000.0, idempotency=Idempotency.NON_IDEMPOTENT)])
    d.list_endpoints(4)
    d.lb.refresh.last_at = d.now + 1e9  # parts as they stand
    part = {s.id for s in d.selected if s.serves_long_work}
    assert 0 < len(part) < 4
    for s in d.selected:
        s.limit = s.own_limit = 1
    for _ in range(4):
        d.request(1)
        d.request(0)
    for s in d.selected:  # room again, but not in the part of the long
        s.limit = s.own_limit = 0 if s.id in part else 9
    d.now += 40.0  # short work has waited long enough for its part
    d.timer(QUEUE_TIMER)
    assert {entry.request.class_index for entry in d.policies.queue.waiting.entries} == {1}
    d.now += 360.0  # nor may long work go elsewhere after a fifth of its latency objective
    for send in sends(d.log):
        if send.endpoint not in part:  # idle and well
            d.outcome(send.id, 0, send.endpoint)
    assert not {send.endpoint for send in sends(d.timer(QUEUE_TIMER))} - part
    assert {entry.request.class_index for entry in d.policies.queue.waiting.entries} == {1}

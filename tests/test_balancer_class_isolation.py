"""Long work keeps to its part of the fleet."""

from __future__ import annotations

from conftest import QUEUE_TIMER, Driver, sends

from alderspool.balancer.settings import Idempotency, RequestClass


def test_first_mix_assumes_equal_work_of_the_classes() -> None:
    driver = Driver([RequestClass("short", 100.0, 200.0), RequestClass("long", 1500.0, 3000.0)])
    driver.set_endpoints(10)
    driver.now += 200.0
    for _ in range(5):
        driver.request()
    driver.now += 200.0
    driver.request()
    assert 3 <= sum(s.serves_long_work for s in driver.selected) <= 7  # not nine of ten


def test_long_work_never_leaves_its_part_of_the_fleet() -> None:
    short = RequestClass("short", 100.0, 200.0, idempotency=Idempotency.NON_IDEMPOTENT)
    driver = Driver([short, RequestClass("long", 1500.0, 3000.0, idempotency=Idempotency.NON_IDEMPOTENT)])
    driver.set_endpoints(4)
    driver.lb.refresh.last_at = driver.now + 1e9  # parts as they stand
    part = {s.id for s in driver.selected if s.serves_long_work}
    assert 0 < len(part) < 4
    for s in driver.selected:
        s.limit = s.own_limit = 1
    for _ in range(4):
        driver.request(1)
        driver.request(0)
    for s in driver.selected:  # room again, but not in the part of the long
        s.limit = s.own_limit = 0 if s.id in part else 9
    driver.now += 40.0  # short work has waited long enough for its part
    driver.timer(QUEUE_TIMER)
    assert {entry.request.class_index for entry in driver.policies.queue.waiting.entries} == {1}
    driver.now += 360.0  # nor may long work go elsewhere after a fifth of its latency objective
    for send in sends(driver.log):
        if send.endpoint not in part:  # idle and well
            driver.outcome(send.id, 0, send.endpoint)
    assert not {send.endpoint for send in sends(driver.timer(QUEUE_TIMER))} - part
    assert {entry.request.class_index for entry in driver.policies.queue.waiting.entries} == {1}

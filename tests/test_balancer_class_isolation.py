"""Class isolation: long work runs on its own part of the fleet."""

from __future__ import annotations

from conftest import QUEUE_TIMER, Driver, sends

from alderspool.balancer.settings import Idempotency, RequestClass


def test_initial_mix_assumes_equal_work_of_the_classes() -> None:
    driver = Driver([RequestClass("short", 100.0, 200.0), RequestClass("long", 1500.0, 3000.0)])
    driver.set_endpoints(10)
    driver.now += 200.0
    for _ in range(5):
        driver.request()
    driver.now += 200.0
    driver.request()
    assert 3 <= sum(endpoint.serves_long_work for endpoint in driver.selected) <= 7  # not nine of ten


def test_long_work_never_leaves_its_part_of_the_fleet() -> None:
    short = RequestClass("short", 100.0, 200.0, idempotency=Idempotency.NON_IDEMPOTENT)
    driver = Driver([short, RequestClass("long", 1500.0, 3000.0, idempotency=Idempotency.NON_IDEMPOTENT)])
    driver.set_endpoints(4)
    driver.lb.refresh.last_at = driver.now + 1e9  # no refresh: the division of the endpoints stays
    long_ids = {endpoint.id for endpoint in driver.selected if endpoint.serves_long_work}
    assert 0 < len(long_ids) < 4
    for endpoint in driver.selected:
        endpoint.limit = endpoint.own_limit = 1
    for _ in range(4):
        driver.request(1)
        driver.request(0)
    for endpoint in driver.selected:  # capacity again, but not at the endpoints of long work
        endpoint.limit = endpoint.own_limit = 0 if endpoint.id in long_ids else 9
    driver.now += 40.0  # short work may go to any endpoint by now
    driver.timer(QUEUE_TIMER)
    assert {entry.request.class_index for entry in driver.policies.queue.waiting.entries} == {1}
    driver.now += 360.0  # long work may not, even after a fifth of its latency objective
    for send in sends(driver.log):
        if send.endpoint not in long_ids:  # idle and healthy
            driver.outcome(send.id, 0, send.endpoint)
    assert not {send.endpoint for send in sends(driver.timer(QUEUE_TIMER))} - long_ids
    assert {entry.request.class_index for entry in driver.policies.queue.waiting.entries} == {1}

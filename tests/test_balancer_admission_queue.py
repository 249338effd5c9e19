"""The admission queue: order, expiry, and tenants over quota."""

from __future__ import annotations

from conftest import IDEMPOTENT, QUEUE_TIMER, UNSAFE, Driver, final_actions, sends

from alderspool.balancer.actions import (
    Reject,
)
from alderspool.balancer.settings import RequestClass, Tenant


def test_queues_without_ready_endpoint_then_rejects_before_the_deadline() -> None:
    driver = Driver()
    driver.update_list()
    assert not final_actions(driver.request())
    end = driver.now + IDEMPOTENT.deadline_ms
    while not final_actions(driver.log) and driver.now < end:
        driver.now += 8.0
        driver.timer(QUEUE_TIMER)
    assert final_actions(driver.log) == [Reject(1, 0.0)]
    assert driver.now < end - 2.0


def test_every_queued_request_gets_a_response_before_its_deadline() -> None:
    driver = Driver([RequestClass("a", 200.0, 400.0, late_priority_weight=0.5)])
    driver.update_list()
    for left in (400.0, 90.0, 300.0, 60.0, 200.0):
        driver.request(time_left_ms=left)
    response_after_ms: dict[int, float] = {}
    start = driver.now
    while len(response_after_ms) < 5 and driver.now < start + 500.0:
        driver.now += 8.0
        for action in final_actions(driver.timer(QUEUE_TIMER)):
            response_after_ms[action.id] = driver.now - start
    assert all(response_after_ms[i + 1] < left for i, left in enumerate((400.0, 90.0, 300.0, 60.0, 200.0)))


def test_queued_requests_go_by_quota_then_priority_then_youngest_first() -> None:
    low, high = (
        RequestClass("low", 800.0, 2000.0),
        RequestClass("high", 800.0, 2000.0, priority_weight=5.0),
    )
    tenants = [Tenant("a", quota_rps=1000.0), Tenant("b", quota_rps=0.001)]
    driver = Driver([low, high], tenants=tenants, instance_count=2)
    driver.set_endpoints(1)
    driver.policies.limit.total = 1.0
    driver.lb.refresh.last_at = 1e12  # no refresh: the limit stays
    (send,) = sends(driver.request(0))
    for cls, tenant in ((1, 1), (0, 1), (0, 0), (1, 0), (1, 0), (0, 0)):  # requests 2 to 7
        assert not sends(driver.request(cls, tenant=tenant))
    order = []
    for _ in range(6):
        (send,) = sends(driver.outcome(send.id, 0, send.endpoint))
        order.append(send.id)
    assert order == [6, 5, 7, 4, 2, 3]


def test_rejects_queued_request_that_can_no_longer_meet_its_objective() -> None:
    driver = Driver([UNSAFE], instance_count=2)
    driver.set_endpoints(1)
    driver.serve(200, latency_ms=100.0)  # typical: half of the latency objective
    driver.policies.limit.total = 1.0
    driver.lb.refresh.last_at = 1e12
    sends(driver.request())
    driver.request()
    queued = driver.last_request_id
    driver.now += 60.0  # of the objective of 200 ms; the rest is less than the queue margin
    assert [a.id for a in final_actions(driver.timer(QUEUE_TIMER))] == [queued]


def test_requests_in_time_go_before_late_ones() -> None:
    driver = Driver([RequestClass("a", 100.0, 1000.0, late_priority_weight=0.5)])
    driver.set_endpoints(1)
    driver.policies.limit.per_endpoint = 1.0
    driver.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    driver.now += 1000.0
    (busy,) = sends(driver.request())
    driver.request()
    driver.now += 80.0
    driver.timer(QUEUE_TIMER)
    driver.request()
    (send,) = sends(driver.outcome(busy.id, 0, busy.endpoint))
    assert send.id == 3


def test_rejects_client_retry_whose_objective_has_passed() -> None:
    driver = Driver([RequestClass("a", 100.0, 400.0)])
    driver.set_endpoints(2)
    for _ in range(400):
        (send,) = sends(driver.request(time_left_ms=250.0))
        driver.now += 5.0
        driver.outcome(send.id, 0, send.endpoint)
    assert final_actions(driver.request(time_left_ms=150.0)) and not sends(driver.log[-1:])
    assert sends(driver.request(time_left_ms=248.0))


def test_tenants_over_quota_wait_behind_the_others() -> None:
    driver = Driver(tenants=[Tenant("a", 0.5, 1.0), Tenant("b", 0.5, 1000.0)])
    driver.set_endpoints(1)
    driver.policies.limit.per_endpoint = 1.0
    driver.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    driver.now += 1000.0
    for _ in range(40):
        for send in sends(driver.request(tenant=0)):
            driver.now += 5.0
            driver.outcome(send.id, 0, send.endpoint)
    (busy,) = sends(driver.request(tenant=1))
    driver.request(tenant=0)
    driver.request(tenant=1)
    (send,) = sends(driver.outcome(busy.id, 0, busy.endpoint))
    assert send.id == driver.last_request_id

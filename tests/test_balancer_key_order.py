"""Key order: requests of one key run one at a time, in order of arrival."""

from __future__ import annotations

import pytest
from conftest import Driver, final_actions, sends

from alderspool.balancer.actions import (
    Action,
    Fail,
    Reject,
)
from alderspool.balancer.events import (
    AttemptStatus,
    ClientDisconnected,
)
from alderspool.balancer.settings import Idempotency, RequestClass
from alderspool.balancer.timers import TimerKind, timer_token


def ordered_driver(**settings: object) -> Driver:
    classes = [
        RequestClass(
            "a", 400.0, 1500.0, Idempotency.NON_IDEMPOTENT, late_priority_weight=0.2, ordered_by_key=True
        ),
        RequestClass(
            "b", 400.0, 1500.0, Idempotency.NON_IDEMPOTENT, late_priority_weight=0.2, ordered_by_key=True
        ),
        RequestClass("c", 400.0, 1500.0),
    ]
    driver = Driver(classes, key_quiesce_ms=50.0, **settings)
    driver.set_endpoints(4)
    return driver


def fire_key_timer(driver: Driver, request_id: int) -> list[Action]:
    return driver.timer(timer_token(TimerKind.KEY_TURN, request_id))


def test_requests_of_a_key_run_one_at_a_time_over_all_ordered_classes() -> None:
    driver = ordered_driver()
    (first,) = sends(driver.request(0, key=7))
    assert not sends(driver.request(1, key=7)) and not sends(driver.request(0, key=7))
    assert [len(sends(driver.request(c, key=k))) for c, k in ((0, 8), (0, 0), (2, 7))] == [1, 1, 1]
    (second,) = sends(driver.outcome(first.id, 0, first.endpoint))
    assert second.id == 2
    assert not sends(driver.outcome(first.id, 0, first.endpoint))  # a duplicate outcome frees nothing
    (third,) = sends(driver.outcome(second.id, 0, second.endpoint, AttemptStatus.CONNECT_FAILED))
    assert third.id == 2  # a retry of the request whose turn it is


def test_keys_of_an_outage_are_forgotten_while_it_lasts() -> None:
    """Guards against memory that grows with each key that clients send while no endpoint is ready."""
    driver = ordered_driver()
    driver.update_list()
    for key in range(1, 501):
        driver.now += 10.0
        driver.request(0, key=key)
        driver.timer(timer_token(TimerKind.QUEUE))
    queues = driver.policies.queue.key_queues.by_key
    assert len(queues) <= 200  # those of the 1.5 s until a request's deadline, and of one refresh


@pytest.mark.parametrize("status", [AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED])
def test_key_quiesces_after_an_attempt_that_may_still_be_running(status: AttemptStatus) -> None:
    driver = ordered_driver()
    (first,) = sends(driver.request(0, key=7))
    driver.request(0, key=7)
    actions = driver.outcome(first.id, 0, first.endpoint, status)
    assert final_actions(actions) == [Fail(1)] and not sends(actions)
    driver.now += 49.0
    assert not sends(fire_key_timer(driver, 2))
    driver.now += 1.1
    assert [s.id for s in sends(fire_key_timer(driver, 2))] == [2]
    assert not sends(fire_key_timer(driver, 2))  # the request is sent only once


def test_quiesce_of_a_key_is_kept_without_requests_until_it_is_over() -> None:
    driver = ordered_driver()
    (first,) = sends(driver.request(0, key=7))
    driver.outcome(first.id, 0, first.endpoint, AttemptStatus.RESET)
    driver.now += 20.0
    driver.refresh()
    assert not sends(driver.request(0, key=7))
    driver.now += 31.0
    (second,) = sends(fire_key_timer(driver, 2))
    driver.outcome(second.id, 0, second.endpoint)
    driver.now += 600.0
    driver.request(2)
    assert driver.policies.queue.key_queues.by_key == {}


def test_finished_request_blocks_its_key_until_its_attempt_has_ended() -> None:
    driver = ordered_driver()
    (first,) = sends(driver.request(0, key=7))
    driver.handle(ClientDisconnected(1))
    assert not sends(driver.request(0, key=7))
    assert [s.id for s in sends(driver.outcome(first.id, 0, first.endpoint))] == [2]


def test_request_waiting_for_its_key_is_rejected_in_time_and_frees_the_next() -> None:
    driver = ordered_driver()
    (first,) = sends(driver.request(0, key=7))
    # Clients use different deadlines, so less time left is no sign of a client retry.
    driver.policies.queue.uniform_deadline_share = [0.0] * 3
    driver.request(0, key=7, time_left_ms=300.0)
    driver.request(0, key=7)
    driver.now += 291.0
    assert final_actions(fire_key_timer(driver, 2)) == [Reject(2, 0.0)]
    assert [s.id for s in sends(driver.outcome(first.id, 0, first.endpoint))] == [3]


def test_rejects_immediately_with_retry_after_if_the_key_cannot_serve_in_time() -> None:
    driver = ordered_driver(retry_after=True)
    driver.policies.latency.typical_ms[:] = [150.0] * 3
    driver.request(0, key=7)
    assert not final_actions(driver.request(0, key=7))
    assert final_actions(driver.request(0, key=7)) == [Reject(3, 400.0)]

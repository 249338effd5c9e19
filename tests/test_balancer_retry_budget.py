"""The retry budget: tokens that requests earn, and the configured budget."""

from __future__ import annotations

import tracemalloc

from conftest import UNSAFE, Driver, final_actions, sends

from alderspool.balancer.actions import (
    Reject,
)
from alderspool.balancer.events import (
    AttemptStatus,
)
from alderspool.balancer.timers import TimerKind, timer_token


def test_configured_budget_counts_every_retry_in_its_window() -> None:
    driver = Driver(
        [UNSAFE],
        retry_budget_window_ms=5000.0,
        retry_budget_floor=1.0,
        retry_budget_ratio=0.25,
        max_attempts=9,
    )
    driver.set_endpoints(4)
    (send,) = sends(driver.request())
    for attempt in range(2):  # 1 + 0.25 x 1 allows one retry, whatever ended the attempt before it
        actions = driver.outcome(
            1, attempt, send.endpoint, [AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED][attempt]
        )
        assert len(sends(actions)) == 1 - attempt
        send = sends(actions)[0] if sends(actions) else send
    assert final_actions(actions) == [Reject(1, 0.0)]  # immediately
    for _ in range(2):
        (send,) = sends(driver.request())
        driver.now += 1.0
        driver.outcome(send.id, 0, send.endpoint)
    (send,) = sends(driver.request())  # the fourth request: 1 + 0.25 x 4 allows two retries
    (send,) = sends(driver.outcome(send.id, 0, send.endpoint, AttemptStatus.CONNECT_FAILED))
    assert final_actions(driver.outcome(send.id, 1, send.endpoint, AttemptStatus.CONNECT_FAILED))
    driver.now += 5010.0  # the window has passed, for the requests too
    (send,) = sends(driver.request())
    (send,) = sends(driver.outcome(send.id, 0, send.endpoint, AttemptStatus.CONNECT_FAILED))
    assert final_actions(driver.outcome(send.id, 1, send.endpoint, AttemptStatus.CONNECT_FAILED))


def test_configured_budget_keeps_nothing_of_requests_that_have_left_its_window() -> None:
    """Guards against memory that grows with each request of a quiet time, in which nothing is retried."""
    driver = Driver([UNSAFE], retry_budget_window_ms=5000.0, retry_budget_floor=1.0, retry_budget_ratio=0.1)
    driver.set_endpoints(4)
    tracemalloc.start()
    try:
        driver.serve(1000, latency_ms=50.0)  # ten windows
        driver.log.clear()
        before, _ = tracemalloc.get_traced_memory()
        driver.serve(1000, latency_ms=50.0)
        driver.log.clear()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert after - before < 1000  # one byte for each request


def test_hedges_count_against_the_configured_budget() -> None:
    driver = Driver(
        retry_budget_window_ms=5000.0,
        retry_budget_floor=1.0,
        retry_budget_ratio=0.0,
        hedging_allowed=True,
        cancel_allowed=True,
    )
    driver.set_endpoints(4)
    driver.request()
    driver.request()
    driver.now += 90.0
    assert len(sends(driver.timer(timer_token(TimerKind.HEDGE, 1)))) == 1
    assert not sends(driver.timer(timer_token(TimerKind.HEDGE, 2)))


def test_retries_after_failed_connects_count_against_the_budget() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(2)
    driver.policies.retry_budget.tokens = 0.0  # a further connect would cost an endpoint a handshake
    (send,) = sends(driver.request())
    assert final_actions(driver.outcome(send.id, 0, send.endpoint, AttemptStatus.CONNECT_FAILED)) == [
        Reject(1, 0.0)
    ]
    assert driver.policies.retry_budget.tokens == 0.2

"""The retry budget, earned and stated."""

from __future__ import annotations

from conftest import UNSAFE, Driver, final_actions, sends

from alderspool.balancer.actions import (
    Reject,
)
from alderspool.balancer.events import (
    AttemptStatus,
)
from alderspool.balancer.timers import TimerKind, timer_token


def test_stated_budget_counts_every_retry_over_its_window() -> None:
    driver = Driver(
        [UNSAFE],
        retry_budget_window_ms=5000.0,
        retry_budget_floor=1.0,
        retry_budget_ratio=0.25,
        max_attempts=9,
    )
    driver.set_endpoints(4)
    (s,) = sends(driver.request())
    for attempt in range(2):  # 1 + 0.25 x 1: one further attempt, whatever ended the one before
        actions = driver.outcome(
            1, attempt, s.endpoint, [AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED][attempt]
        )
        assert len(sends(actions)) == 1 - attempt
        s = sends(actions)[0] if sends(actions) else s
    assert final_actions(actions) == [Reject(1, 0.0)]  # at once
    for _ in range(2):
        (s,) = sends(driver.request())
        driver.now += 1.0
        driver.outcome(s.id, 0, s.endpoint)
    (s,) = sends(driver.request())  # the fourth: 1 + 0.25 x 4 = 2
    (s,) = sends(driver.outcome(s.id, 0, s.endpoint, AttemptStatus.CONNECT_FAILED))
    assert final_actions(driver.outcome(s.id, 1, s.endpoint, AttemptStatus.CONNECT_FAILED))
    driver.now += 5010.0  # the window has passed, for requests too
    (s,) = sends(driver.request())
    (s,) = sends(driver.outcome(s.id, 0, s.endpoint, AttemptStatus.CONNECT_FAILED))
    assert final_actions(driver.outcome(s.id, 1, s.endpoint, AttemptStatus.CONNECT_FAILED))


def test_hedges_come_out_of_the_stated_budget() -> None:
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


def test_retries_after_failed_connects_come_out_of_the_budget() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(2)
    driver.policies.retry_budget.tokens = 0.0  # each further connect would cost a server another handshake
    (send,) = sends(driver.request())
    assert final_actions(driver.outcome(send.id, 0, send.endpoint, AttemptStatus.CONNECT_FAILED)) == [
        Reject(1, 0.0)
    ]
    assert driver.policies.retry_budget.tokens == 0.2

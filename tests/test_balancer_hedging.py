"""Hedged requests."""

from __future__ import annotations

from conftest import Driver, sends

from alderspool.balancer.actions import (
    Cancel,
)
from alderspool.balancer.timers import TimerKind, timer_token


def test_hedges_once_and_only_where_allowed() -> None:
    for allowed in (False, True):
        driver = Driver(hedging_allowed=allowed, cancel_allowed=True)
        driver.set_endpoints(3)
        (send,) = sends(driver.request())
        driver.now += 90.0
        actions = driver.timer(timer_token(TimerKind.HEDGE, send.id))
        assert len(sends(actions)) == int(allowed)
    hedge = sends(actions)[0]
    assert hedge.endpoint != send.endpoint
    assert driver.outcome(1, 1, hedge.endpoint) == [Cancel(1, 0)]

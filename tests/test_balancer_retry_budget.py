"""The retry budget, earned and stated."""

from __future__ import annotations

from conftest import UNSAFE, Driver, finals, sends

from alderspool.balancer.actions import (
    Reject,
)
from alderspool.balancer.events import (
    AttemptStatus,
)
from alderspool.balancer.timers import TimerKind, timer_token

S = AttemptStatus


def test_stated_budget_counts_every_retry_over_its_window() -> None:
    d = Driver(
        [UNSAFE],
        retry_budget_window_ms=5000.0,
        retry_budget_floor=1.0,
        retry_budget_ratio=0.25,
        max_attempts=9,
    )
    d.list_endpoints(4)
    (s,) = sends(d.request())
    for attempt in range(2):  # 1 + 0.25 x 1: one further attempt, whatever ended the one before
        actions = d.outcome(1, attempt, s.endpoint, [S.REJECTED, S.CONNECT_FAILED][attempt])
        assert len(sends(actions)) == 1 - attempt
        s = sends(actions)[0] if sends(actions) else s
    assert finals(actions) == [Reject(1, 0.0)]  # at once
    for _ in range(2):
        (s,) = sends(d.request())
        d.now += 1.0
        d.outcome(s.id, 0, s.endpoint)
    (s,) = sends(d.request())  # the fourth: 1 + 0.25 x 4 = 2
    (s,) = sends(d.outcome(s.id, 0, s.endpoint, S.CONNECT_FAILED))
    assert finals(d.outcome(s.id, 1, s.endpoint, S.CONNECT_FAILED))
    d.now += 5010.0  # the window has passed, for requests too
    (s,) = sends(d.request())
    (s,) = sends(d.outcome(s.id, 0, s.endpoint, S.CONNECT_FAILED))
    assert finals(d.outcome(s.id, 1, s.endpoint, S.CONNECT_FAILED))


def test_hedges_come_out_of_the_stated_budget() -> None:
    d = Driver(
        retry_budget_window_ms=5000.0,
        retry_budget_floor=1.0,
        retry_budget_ratio=0.0,
        hedging_allowed=True,
        cancel_allowed=True,
    )
    d.list_endpoints(4)
    d.request()
    d.request()
    d.now += 90.0
    assert len(sends(d.timer(timer_token(TimerKind.HEDGE, 1)))) == 1
    assert not sends(d.timer(timer_token(TimerKind.HEDGE, 2)))


def test_retries_after_failed_connects_come_out_of_the_budget() -> None:
    d = Driver([UNSAFE])
    d.list_endpoints(2)
    d.policies.retry_budget.tokens = 0.0  # each further connect would cost a server another handshake
    (send,) = sends(d.request())
    assert finals(d.outcome(send.id, 0, send.endpoint, S.CONNECT_FAILED)) == [Reject(1, 0.0)]
    assert d.policies.retry_budget.tokens == 0.2

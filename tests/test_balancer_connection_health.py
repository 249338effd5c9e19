"""Connection health: when open connections are preferred, and when idle ones are reopened."""

from __future__ import annotations

from conftest import UNSAFE, Driver, sends

from alderspool.balancer.actions import (
    CloseIdle,
    Send,
    SetTimer,
)
from alderspool.balancer.events import (
    AttemptStatus,
)


def test_prefers_open_connections_if_connects_often_fail() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(3)
    (send,) = sends(driver.request())
    driver.outcome(send.id, 0, send.endpoint)  # one connection is open now
    assert len(set(driver.serve(6))) == 3
    for endpoint in driver.endpoints.values():
        endpoint.connections = int(endpoint.id == send.endpoint)
    driver.policies.connections.connect_failure_share = 0.5
    assert set(driver.serve(6)) == {send.endpoint}
    driver.request()
    assert sends(driver.request())  # only a preference: with no idle connection, a new one is opened


def test_reopens_connections_idle_for_as_long_as_one_that_was_reset() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(1)
    driver.serve(3)
    assert not [a for a in driver.log if isinstance(a, CloseIdle)]
    driver.now += 1000.0
    (send,) = sends(driver.request())
    driver.now += 300.0
    driver.outcome(send.id, 0, send.endpoint, AttemptStatus.RESET)
    driver.now += 500.0
    driver.serve(1)
    driver.now += 800.0
    assert [type(a) for a in driver.request() if not isinstance(a, SetTimer)] == [CloseIdle, Send]
    driver.policies.connections.connect_failure_share = 0.5  # but not where connects fail
    driver.outcome(driver.last_request_id, 0, send.endpoint)
    driver.now += 800.0
    assert not [a for a in driver.request() if isinstance(a, CloseIdle)]

"""Outlier detection: back-off, ejection, panic, circuit breakers, written-off attempts."""

from __future__ import annotations

import pytest
from conftest import IDEMPOTENT, UNSAFE, Driver, endpoint_id, sends

from alderspool.balancer.actions import (
    Log,
)
from alderspool.balancer.events import (
    AttemptStatus,
)
from alderspool.balancer.settings import RequestClass, Tenant


def test_attempts_lost_in_one_pause_count_as_one_failure() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(1)
    driver.policies.limit.per_endpoint = 10.0
    driver.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    driver.serve(3)
    lost = [sends(driver.request())[0] for _ in range(5)]
    driver.now += 400.0
    for send in lost:
        driver.outcome(send.id, 0, send.endpoint, AttemptStatus.TIMEOUT)
    assert driver.endpoints[endpoint_id(0)].consecutive_failures == 1


def test_timeout_of_an_attempt_sent_too_late_does_not_count_against_the_endpoint() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(1)
    (send,) = sends(driver.request())
    driver.now += 60.0
    driver.outcome(send.id, 0, send.endpoint, AttemptStatus.TIMEOUT)
    assert driver.endpoints[endpoint_id(0)].consecutive_failures == 0


def _serve_with_failures(driver: Driver, failing_ids: set[bytes], rounds: int) -> None:
    for _ in range(rounds):
        for send in sends(driver.request()):
            driver.now += 30.0
            driver.outcome(
                send.id,
                0,
                send.endpoint,
                AttemptStatus.ERROR if send.endpoint in failing_ids else AttemptStatus.OK,
            )


def test_failing_endpoint_is_ejected_and_returns_after_a_successful_trial() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(4)
    _serve_with_failures(driver, {endpoint_id(0)}, 150)
    assert any(isinstance(a, Log) and a.text.startswith("eject 0a0000") for a in driver.log)
    driver.now += 200.0
    assert endpoint_id(0) not in driver.serve(5)
    driver.now += 10000.0
    assert endpoint_id(0) in driver.serve(200)
    assert driver.endpoints[endpoint_id(0)].consecutive_failures == 0


def test_panic_keeps_back_off_short_when_most_endpoints_fail() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(4)
    _serve_with_failures(driver, {endpoint_id(i) for i in range(4)}, 60)
    driver.now += 60.0  # a typical latency; outside panic mode, the back-off takes seconds
    assert sends(driver.request())


def test_timeout_opens_circuit_only_if_later_attempts_were_served() -> None:
    for others in (0, 1):
        driver = Driver([IDEMPOTENT, IDEMPOTENT], tenants=[Tenant("a")])
        driver.set_endpoints(1)
        (endpoint,) = driver.endpoints.values()
        sends(driver.request(0))
        for _ in range(others):
            (send,) = sends(driver.request(1))
            driver.outcome(send.id, 0, send.endpoint)
        driver.now += 400.0
        driver.outcome(1, 0, endpoint.id, AttemptStatus.TIMEOUT, finished=True)
        assert bool(endpoint.circuits) == bool(others)


def _two_class_driver(**settings: object) -> Driver:
    driver = Driver([RequestClass(name, 200.0, 400.0) for name in "ab"], **settings)
    driver.set_endpoints(2)
    return driver


@pytest.mark.parametrize("status", [AttemptStatus.ERROR, AttemptStatus.REJECTED])
def test_circuit_opens_only_for_the_class_that_fails(status: AttemptStatus) -> None:
    driver = _two_class_driver()
    (send,) = sends(driver.request(0))
    driver.outcome(send.id, 0, send.endpoint, status)
    for send in sends(driver.log)[1:]:
        driver.outcome(send.id, 1, send.endpoint)
    bad = sends(driver.log)[0].endpoint
    driver.now += 100.0
    assert bad not in driver.serve(10, class_index=0) and bad in driver.serve(10, class_index=1)
    driver.now += 3000.0
    assert bad in driver.serve(10, class_index=0)  # it is tried again


def test_circuit_of_a_tenant_opens_only_once_two_of_its_classes_failed() -> None:
    driver = _two_class_driver(tenants=[Tenant("x"), Tenant("y")])
    endpoint = driver.endpoints[endpoint_id(0)]

    def fail(cls: int, tenant: int) -> None:
        endpoint.blocked_until, endpoint.last_failure_at = 0.0, -1.0
        for other in driver.endpoints.values():
            other.blocked_until = 0.0 if other is endpoint else driver.now + 1.0
        (send,) = sends(driver.request(cls, tenant=tenant))
        driver.outcome(send.id, 0, send.endpoint, AttemptStatus.REJECTED)

    def is_open(key: tuple[int, int]) -> bool:
        return key in endpoint.circuits and endpoint.circuits[key].open_until > driver.now

    fail(0, 1)
    assert is_open((0, 1)) and not is_open((0, -1)) and not is_open((-1, 1))
    fail(1, 1)
    assert is_open((-1, 1)) and not is_open((0, -1)) and not is_open((1, -1))


def test_attempt_is_written_off_after_four_later_responses() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(1)
    (endpoint,) = driver.endpoints.values()
    endpoint.limit = endpoint.own_limit = 2
    driver.lb.refresh.last_at = 1e12  # no refresh: the limit stays
    assert len(sends(driver.request())) == 1  # never answered
    for _ in range(4):
        assert endpoint.written_off == 0
        (send,) = sends(driver.request())
        driver.now += 5.0
        driver.outcome(send.id, 0, send.endpoint)
    assert (endpoint.in_flight, endpoint.written_off) == (1, 1)
    assert [len(sends(driver.request())) for _ in range(3)] == [1, 1, 0]  # both slots are free
    driver.outcome(1, 0, endpoint.id, AttemptStatus.TIMEOUT)
    assert (endpoint.in_flight, endpoint.written_off, len(endpoint.later_responses)) == (2, 0, 2)

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

S = AttemptStatus


def test_attempts_lost_in_one_pause_are_one_failure() -> None:
    d = Driver([UNSAFE])
    d.list_endpoints(1)
    d.policies.limit.per_endpoint = 10.0
    d.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    d.serve(3)
    lost = [sends(d.request())[0] for _ in range(5)]
    d.now += 400.0
    for send in lost:
        d.outcome(send.id, 0, send.endpoint, S.TIMEOUT)
    assert d.endpoints[endpoint_id(0)].consecutive_failures == 1


def test_timeout_of_an_attempt_sent_too_late_is_no_failure_of_the_endpoint() -> None:
    d = Driver([UNSAFE])
    d.list_endpoints(1)
    (send,) = sends(d.request())
    d.now += 60.0
    d.outcome(send.id, 0, send.endpoint, S.TIMEOUT)
    assert d.endpoints[endpoint_id(0)].consecutive_failures == 0


def _fail(d: Driver, bad: set[bytes], rounds: int) -> None:
    for _ in range(rounds):
        for send in sends(d.request()):
            d.now += 30.0
            d.outcome(send.id, 0, send.endpoint, S.ERROR if send.endpoint in bad else S.OK)


def test_failing_endpoint_is_ejected_and_returns_after_a_served_trial() -> None:
    d = Driver([UNSAFE])
    d.list_endpoints(4)
    _fail(d, {endpoint_id(0)}, 150)
    assert any(isinstance(a, Log) and a.text.startswith("eject 0a0000") for a in d.log)
    d.now += 200.0
    assert endpoint_id(0) not in d.serve(5)
    d.now += 10000.0
    assert endpoint_id(0) in d.serve(200)
    assert d.endpoints[endpoint_id(0)].consecutive_failures == 0


def test_panic_keeps_back_off_short_when_most_endpoints_fail() -> None:
    d = Driver([UNSAFE])
    d.list_endpoints(4)
    _fail(d, {endpoint_id(i) for i in range(4)}, 60)
    d.now += 60.0  # a usual latency, not the seconds that a single bad server is left alone
    assert sends(d.request())


def test_timeout_opens_circuit_only_if_others_were_served_meanwhile() -> None:
    for others in (0, 1):
        d = Driver([IDEMPOTENT, IDEMPOTENT], tenants=[Tenant("a")])
        d.list_endpoints(1)
        (s,) = d.endpoints.values()
        sends(d.request(0))
        for _ in range(others):
            (send,) = sends(d.request(1))
            d.outcome(send.id, 0, send.endpoint)
        d.now += 400.0
        d.outcome(1, 0, s.id, S.TIMEOUT, finished=True)
        assert bool(s.circuits) == bool(others)


def _kinds(**settings: object) -> Driver:
    d = Driver([RequestClass(name, 200.0, 400.0) for name in "ab"], **settings)
    d.list_endpoints(2)
    return d


@pytest.mark.parametrize("status", [S.ERROR, S.REJECTED])
def test_circuit_opens_only_for_the_class_that_fails(status: AttemptStatus) -> None:
    d = _kinds()
    (send,) = sends(d.request(0))
    d.outcome(send.id, 0, send.endpoint, status)
    for send in sends(d.log)[1:]:
        d.outcome(send.id, 1, send.endpoint)
    bad = sends(d.log)[0].endpoint
    d.now += 100.0
    assert bad not in d.serve(10, cls=0) and bad in d.serve(10, cls=1)
    d.now += 3000.0
    assert bad in d.serve(10, cls=0)  # tried again


def test_circuit_of_a_tenant_opens_only_once_two_of_its_classes_failed() -> None:
    d = _kinds(tenants=[Tenant("x"), Tenant("y")])
    s = d.endpoints[endpoint_id(0)]

    def fail(cls: int, tenant: int) -> None:
        s.blocked_until, s.last_failure_at = 0.0, -1.0
        for other in d.endpoints.values():
            other.blocked_until = 0.0 if other is s else d.now + 1.0
        (send,) = sends(d.request(cls, tenant=tenant))
        d.outcome(send.id, 0, send.endpoint, S.REJECTED)

    def is_open(key: tuple[int, int]) -> bool:
        return key in s.circuits and s.circuits[key].open_until > d.now

    fail(0, 1)
    assert is_open((0, 1)) and not is_open((0, -1)) and not is_open((-1, 1))
    fail(1, 1)
    assert is_open((-1, 1)) and not is_open((0, -1)) and not is_open((1, -1))


def test_attempt_is_written_off_after_four_later_responses() -> None:
    d = Driver([UNSAFE])
    d.list_endpoints(1)
    (s,) = d.endpoints.values()
    s.limit = s.own_limit = 2
    d.lb.refresh.last_at = 1e12  # the limit stays
    assert len(sends(d.request())) == 1  # swallowed
    for _ in range(4):
        assert s.written_off == 0
        (send,) = sends(d.request())
        d.now += 5.0
        d.outcome(send.id, 0, send.endpoint)
    assert (s.in_flight, s.written_off) == (1, 1)
    assert [len(sends(d.request())) for _ in range(3)] == [1, 1, 0]  # both places are free
    d.outcome(1, 0, s.id, S.TIMEOUT)
    assert (s.in_flight, s.written_off, len(s.later_responses)) == (2, 0, 2)

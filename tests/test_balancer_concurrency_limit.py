"""The learned concurrency limit, and the quiesce of slowed endpoints."""

from __future__ import annotations

import pytest
from conftest import QUEUE_TIMER, UNSAFE, Driver, driver_with_endpoints, endpoint_id, sends

from alderspool.balancer.actions import (
    Log,
    Send,
)


class Overload:
    """Sends more requests than the limit admits; each attempt gets its response after `latency_ms`."""

    def __init__(self, driver: Driver) -> None:
        self.driver, self.open_attempts = driver, list[tuple[float, Send]]()

    def run(self, latency_ms: float, seconds: float) -> list[Send]:
        driver, start = self.driver, len(self.driver.log)
        for _ in range(int(seconds * 100)):
            actions = []
            while self.open_attempts and self.open_attempts[0][0] <= driver.now:
                (_, send) = self.open_attempts.pop(0)
                actions += driver.outcome(send.id, 0, send.endpoint)
            for _ in range(4):
                actions += driver.request()
            actions += driver.timer(QUEUE_TIMER)
            self.open_attempts += [(driver.now + latency_ms, send) for send in sends(actions)]
            self.open_attempts.sort(key=lambda entry: entry[0])
            driver.now += 10.0
        return sends(driver.log[start:])


@pytest.fixture
def overload() -> Overload:
    driver = Driver([UNSAFE], instance_count=2)
    driver.set_endpoints(4)
    return Overload(driver)


def test_limit_falls_while_responses_are_slow_and_recovers(overload: Overload) -> None:
    overload.run(5.0, 3)
    healthy = overload.driver.policies.limit.per_endpoint
    overload.run(150.0, 2)  # within the objective of 200, but slow
    low = overload.driver.policies.limit.per_endpoint
    assert low < 0.25 * healthy
    overload.run(5.0, 3)
    assert overload.driver.policies.limit.per_endpoint > 2.0 * low


def test_attempts_continue_at_any_latency_while_an_endpoint_is_ready(overload: Overload) -> None:
    for _ in range(30):  # slow at first, then quiesced, then known to be slow by nature
        assert len(overload.run(350.0, 1)) >= 2


def test_quiesces_all_endpoints_but_one_and_then_that_one(overload: Overload) -> None:
    driver = overload.driver
    overload.run(150.0, 5)
    assert (
        driver.policies.limit.counts_late_only and driver.policies.limit.quiesce_until > driver.now + 1000.0
    )
    texts = [a.text for a in driver.log if isinstance(a, Log)]
    assert len(texts) == 1 and texts[0].startswith("quiesce: ")
    active = driver.policies.limit.active_endpoint
    assert {s.endpoint for s in overload.run(150.0, 1)} == {active.id}
    while driver.now < driver.policies.limit.quiesce_until + 200.0:
        overload.run(150.0, 0.1)
    assert {s.endpoint for s in overload.run(5.0, 3)} == {endpoint_id(i) for i in range(4)} - {active.id}
    assert not driver.policies.limit.counts_late_only  # the load was the cause: slow work counts again
    overload.run(5.0, 3)
    assert active.id in {s.endpoint for s in overload.run(5.0, 1)}


def test_quiesce_ends_once_the_active_endpoint_has_recovered(overload: Overload) -> None:
    overload.run(150.0, 5)
    assert overload.driver.policies.limit.quiesce_until > overload.driver.now + 1000.0
    overload.run(5.0, 0.5)
    assert (
        overload.driver.policies.limit.quiesce_until < overload.driver.now
        and not overload.driver.policies.limit.counts_late_only
    )
    assert {s.endpoint for s in overload.run(5.0, 0.5)} == {endpoint_id(i) for i in range(4)}


def test_silent_endpoint_is_replaced_as_the_active_one_of_a_quiesce(overload: Overload) -> None:
    driver = overload.driver
    overload.run(150.0, 5)
    first = driver.policies.limit.active_endpoint
    # The active endpoint never answers its open attempts.
    overload.open_attempts = [
        (driver.now + 1e9 if s.endpoint == first.id else at, s) for at, s in overload.open_attempts
    ]
    overload.run(150.0, 1)
    assert driver.policies.limit.active_endpoint is not first
    assert len(overload.run(150.0, 1)) >= 5


def test_endpoints_slow_by_nature_quiesce_once_and_are_used_again(overload: Overload) -> None:
    overload.run(150.0, 20)
    assert (
        overload.driver.policies.limit.counts_late_only
        and overload.driver.policies.limit.quiesce_until < overload.driver.now
    )
    assert len([a for a in overload.driver.log if isinstance(a, Log)]) == 1
    assert len(overload.run(150.0, 3)) > 100  # four endpoints at 150 ms


def test_attempts_at_a_stalled_endpoint_take_no_capacity_from_the_others() -> None:
    driver = Driver([UNSAFE], instance_count=2)
    driver.set_endpoints(3)
    driver.serve(60)
    driver.policies.limit.per_endpoint = 2.0
    stuck = 0
    while stuck < 2:
        (send,) = sends(driver.request())
        if send.endpoint == endpoint_id(0):
            stuck += 1
        else:
            driver.outcome(send.id, 0, send.endpoint)
    driver.now += 150.0  # silent for much longer than the typical latency
    driver.refresh()
    taken = [s.endpoint for _ in range(6) for s in sends(driver.request())]
    assert sorted(taken) == sorted([endpoint_id(1), endpoint_id(2)] * 2)


def test_limit_does_not_rise_while_it_is_not_reached() -> None:
    driver = Driver([UNSAFE], instance_count=2)
    driver.set_endpoints(4)
    before = driver.policies.limit.per_endpoint
    driver.serve(1000)
    assert driver.policies.limit.per_endpoint == before


def test_initial_limit_is_lower_if_more_instances_share_an_endpoint() -> None:
    assert [driver_with_endpoints(0, n, 10).policies.limit.per_endpoint for n in (1, 3, 100)] == [
        3.0,
        pytest.approx(5 / 3),
        1.0,
    ]

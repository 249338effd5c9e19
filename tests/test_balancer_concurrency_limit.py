"""The learned concurrency limit, and the quiesce of slowed endpoints."""

from __future__ import annotations

import pytest
from conftest import QUEUE_TIMER, UNSAFE, Driver, driver_with_endpoints, endpoint_id, sends

from alderspool.balancer.actions import (
    Log,
    Send,
)


class Jam:
    """Keeps more requests coming than may be out; each that is out is answered after `took` ms."""

    def __init__(self, driver: Driver) -> None:
        self.driver, self.out = driver, list[tuple[float, Send]]()

    def run(self, took: float, seconds: float) -> list[Send]:
        driver, start = self.driver, len(self.driver.log)
        for _ in range(int(seconds * 100)):
            actions = []
            while self.out and self.out[0][0] <= driver.now:
                (_, send) = self.out.pop(0)
                actions += driver.outcome(send.id, 0, send.endpoint)
            for _ in range(4):
                actions += driver.request()
            actions += driver.timer(QUEUE_TIMER)
            self.out += [(driver.now + took, send) for send in sends(actions)]
            self.out.sort(key=lambda entry: entry[0])
            driver.now += 10.0
        return sends(driver.log[start:])


@pytest.fixture
def jam() -> Jam:
    driver = Driver([UNSAFE], instance_count=2)
    driver.set_endpoints(4)
    return Jam(driver)


def test_limit_falls_while_responses_are_slow_and_recovers(jam: Jam) -> None:
    jam.run(5.0, 3)
    healthy = jam.driver.policies.limit.per_endpoint
    jam.run(150.0, 2)  # within the objective of 200, but slow
    low = jam.driver.policies.limit.per_endpoint
    assert low < 0.25 * healthy
    jam.run(5.0, 3)
    assert jam.driver.policies.limit.per_endpoint > 2.0 * low


def test_attempts_go_on_however_slow_while_an_endpoint_is_ready(jam: Jam) -> None:
    for _ in range(30):  # slow, quiesced, and slow by nature
        assert len(jam.run(350.0, 1)) >= 2


def test_quiesces_all_endpoints_but_one_and_then_that_one(jam: Jam) -> None:
    driver = jam.driver
    jam.run(150.0, 5)
    assert (
        driver.policies.limit.counts_late_only and driver.policies.limit.quiesce_until > driver.now + 1000.0
    )
    texts = [a.text for a in driver.log if isinstance(a, Log)]
    assert len(texts) == 1 and texts[0].startswith("quiesce: ")
    active = driver.policies.limit.active_endpoint
    assert {s.endpoint for s in jam.run(150.0, 1)} == {active.id}
    while driver.now < driver.policies.limit.quiesce_until + 200.0:
        jam.run(150.0, 0.1)
    assert {s.endpoint for s in jam.run(5.0, 3)} == {endpoint_id(i) for i in range(4)} - {active.id}
    assert not driver.policies.limit.counts_late_only  # it was the load: slow counts again
    jam.run(5.0, 3)
    assert active.id in {s.endpoint for s in jam.run(5.0, 1)}


def test_quiesce_ends_once_the_active_endpoint_is_quick_again(jam: Jam) -> None:
    jam.run(150.0, 5)
    assert jam.driver.policies.limit.quiesce_until > jam.driver.now + 1000.0
    jam.run(5.0, 0.5)
    assert (
        jam.driver.policies.limit.quiesce_until < jam.driver.now
        and not jam.driver.policies.limit.counts_late_only
    )
    assert {s.endpoint for s in jam.run(5.0, 0.5)} == {endpoint_id(i) for i in range(4)}


def test_silent_endpoint_is_replaced_as_the_active_one_of_a_quiesce(jam: Jam) -> None:
    driver = jam.driver
    jam.run(150.0, 5)
    first = driver.policies.limit.active_endpoint
    jam.out = [(driver.now + 1e9 if s.endpoint == first.id else at, s) for at, s in jam.out]  # never answered
    jam.run(150.0, 1)
    assert driver.policies.limit.active_endpoint is not first
    assert len(jam.run(150.0, 1)) >= 5


def test_endpoints_slow_by_nature_quiesce_once_and_are_used_again(jam: Jam) -> None:
    jam.run(150.0, 20)
    assert (
        jam.driver.policies.limit.counts_late_only
        and jam.driver.policies.limit.quiesce_until < jam.driver.now
    )
    assert len([a for a in jam.driver.log if isinstance(a, Log)]) == 1
    assert len(jam.run(150.0, 3)) > 100  # four servers at 150 ms


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
    driver.now += 150.0  # silent for longer than a usual latency, by far
    driver.refresh()
    taken = [s.endpoint for _ in range(6) for s in sends(driver.request())]
    assert sorted(taken) == sorted([endpoint_id(1), endpoint_id(2)] * 2)


def test_limit_does_not_rise_while_it_limits_nothing() -> None:
    driver = Driver([UNSAFE], instance_count=2)
    driver.set_endpoints(4)
    before = driver.policies.limit.per_endpoint
    driver.serve(1000)
    assert driver.policies.limit.per_endpoint == before


def test_first_limit_falls_with_the_instances_that_share_an_endpoint() -> None:
    assert [driver_with_endpoints(0, n, 10).policies.limit.per_endpoint for n in (1, 3, 100)] == [
        3.0,
        pytest.approx(5 / 3),
        1.0,
    ]

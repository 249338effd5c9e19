"""Slow start: token budgets and sizes of endpoints that are warming up."""

from __future__ import annotations

from collections import Counter

import pytest
from conftest import UNSAFE, Driver, endpoint_id, sends

from alderspool.balancer.events import (
    AttemptStatus,
    EndpointEntry,
    UpdateMode,
)


def _count_sends(cold: int, warm: int, rate: float, seconds: float) -> Counter[bytes]:
    """Count the attempts per endpoint in the `seconds` after the first `cold` endpoints have started."""
    driver = Driver(
        initial_capacity_share=0.1,
        slow_start_ms=20000.0,
        cold_overload_window_ms=1000.0,
        cold_overload_factor=2.5,
    )
    driver.set_endpoints(cold + warm)
    driver.policies.limit.per_endpoint = 50.0
    driver.lb.refresh.last_at = -1.0  # limits are rebuilt at the next event
    driver.now += 60000.0
    for _ in range(int(rate * 10)):
        driver.serve(1, latency_ms=1000.0 / rate)
    driver.update_list(
        *(
            EndpointEntry(endpoint_id(i), started_at_ms=driver.now if i < cold else 0.0)
            for i in range(cold + warm)
        )
    )
    counts: Counter[bytes] = Counter()
    for _ in range(int(rate * seconds)):
        for send in sends(driver.request()):
            counts[send.endpoint] += 1
            driver.outcome(send.id, 0, send.endpoint)
        driver.now += 1000.0 / rate
    return counts


@pytest.mark.parametrize(("cold", "warm", "max_sends"), [(1, 9, 5), (5, 5, 5), (9, 1, 25), (10, 0, 5)])
def test_cold_endpoints_stay_within_their_budget(cold: int, warm: int, max_sends: int) -> None:
    """A cold endpoint may get at most 2.5 requests per second.

    Each endpoint usually serves 10 per second, a tenth of which it can serve at first. If the only warm one
    left serves 90 per second, a cold one can serve nine.
    """
    counts = _count_sends(cold, warm, rate=100.0, seconds=2.0)
    assert all(1 <= counts[endpoint_id(i)] <= max_sends for i in range(cold))


def test_instance_that_has_just_started_keeps_the_budget() -> None:
    driver = Driver(initial_capacity_share=0.1, slow_start_ms=20000.0, cold_overload_window_ms=1000.0)
    driver.update_list(
        *(EndpointEntry(endpoint_id(i), started_at_ms=driver.now - 100.0) for i in range(10)),
        mode=UpdateMode.CACHED,
    )
    counts: Counter[bytes] = Counter()
    for _ in range(100):
        counts.update(send.endpoint for send in sends(driver.request()))
        driver.now += 10.0
    assert max(counts.values(), default=0) <= 3


def test_endpoint_counts_as_cold_after_refused_connections() -> None:
    driver = Driver(initial_capacity_share=0.1, slow_start_ms=20000.0)
    driver.set_endpoints(2)
    endpoint = driver.endpoints[endpoint_id(0)]
    for is_down in (True, False):
        for _ in range(1000):
            for send in sends(driver.request()):
                driver.now += 10.0
                bad = is_down and send.endpoint == endpoint_id(0)
                for retry in sends(
                    driver.outcome(
                        send.id, 0, send.endpoint, AttemptStatus.CONNECT_FAILED if bad else AttemptStatus.OK
                    )
                ):
                    driver.outcome(retry.id, 1, retry.endpoint)
        assert endpoint.is_process_lost == is_down
    assert 0.1 <= driver.policies.slow_start.warm_up_factor(endpoint, driver.lb.requests.now) < 1.0


def test_cold_budget_follows_what_warm_endpoints_serve() -> None:
    driver = Driver([UNSAFE], initial_capacity_share=0.2, slow_start_ms=20_000.0)
    driver.set_endpoints(1)
    driver.serve(400)  # one warm endpoint serves all of them
    cold = [EndpointEntry(endpoint_id(i), started_at_ms=driver.now) for i in range(1, 10)]
    driver.update_list(*cold, mode=UpdateMode.DELTA)
    endpoint = driver.endpoints[endpoint_id(1)]
    usual_load = 1.2 * 0.2 * driver.policies.latency.arrivals.rate / 10  # if all ten shared the load already
    assert endpoint.cold_rate > 3 * usual_load
    assert endpoint.cold_rate <= 1.2 * 0.21 * driver.policies.slow_start.work_rate.per_size


def test_live_weight_of_an_idle_cold_endpoint_does_not_exceed_the_others() -> None:
    driver = Driver(weights_live=True)
    driver.set_endpoints(3, weight=4.0)
    loaded = [EndpointEntry(endpoint_id(i), weight=1.0) for i in (0, 1)]
    driver.update_list(
        *loaded, EndpointEntry(endpoint_id(2), weight=4.0, started_at_ms=driver.now), mode=UpdateMode.DELTA
    )
    assert [endpoint.size for endpoint in driver.endpoints.values()] == [4.0, 4.0, 4.0]


def test_unused_cold_tokens_expire_and_instances_start_at_different_levels() -> None:
    levels = set()
    for seed in range(20):
        driver = Driver(
            seed=seed, instance_count=200, cold_overload_factor=1.5, cold_overload_window_ms=1500.0
        )
        driver.set_endpoints(3)
        driver.update_list(EndpointEntry(endpoint_id(0), started_at_ms=driver.now), mode=UpdateMode.DELTA)
        endpoint = driver.endpoints[endpoint_id(0)]
        levels.add(endpoint.cold_tokens)
        assert 0.0 <= endpoint.cold_tokens < 1.0
        driver.policies.latency.arrivals.rate = 0.005
        for _ in range(40):
            driver.now += 500.0
            driver.refresh()
            driver.policies.latency.arrivals.rate = 0.005
            if endpoint.cold_rate < 1.0:
                assert endpoint.cold_tokens <= 1.0 + endpoint.cold_rate * 375.0 + 1e-9
    assert len(levels) == 20


def test_rejected_work_does_not_raise_the_cold_budget() -> None:
    driver = Driver([UNSAFE], cold_overload_factor=1.5, initial_capacity_share=0.2, slow_start_ms=20_000.0)
    driver.set_endpoints(1)
    driver.serve(400)
    driver.update_list(EndpointEntry(endpoint_id(1), started_at_ms=driver.now), mode=UpdateMode.DELTA)
    work_rate = driver.policies.slow_start.work_rate.per_size
    driver.policies.latency.arrivals.rate = 50.0 * work_rate  # a surge of client retries
    driver.refresh()
    # 0.9 is OVERLOAD_SHARE, 0.6, of the cold_overload_factor.
    assert 0.0 < driver.endpoints[endpoint_id(1)].cold_rate <= 1.01 * 0.9 * 0.2 * work_rate


def test_live_weights_give_cold_endpoints_no_more_than_the_mean_size() -> None:
    driver = Driver(
        [UNSAFE],
        weights_live=True,
        cold_overload_factor=1.5,
        initial_capacity_share=0.2,
        slow_start_ms=20_000.0,
    )
    loaded = [EndpointEntry(endpoint_id(i), weight=0.2) for i in (0, 1)]
    driver.update_list(*loaded, EndpointEntry(endpoint_id(2), weight=1.0, started_at_ms=driver.now))
    driver.serve(200)
    driver.refresh()
    endpoint, work_rate = driver.endpoints[endpoint_id(2)], driver.policies.slow_start.work_rate.per_size
    assert (
        0.0
        < endpoint.cold_rate
        <= 0.9
        * driver.policies.slow_start.warm_up_factor(endpoint, driver.lb.requests.now)
        * 0.2
        * work_rate
        * 1.01
    )

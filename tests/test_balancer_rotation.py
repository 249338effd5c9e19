"""Weighted rotation: weights, even turns, and endpoints that are passed over."""

from __future__ import annotations

from collections import Counter

from conftest import IDEMPOTENT, UNSAFE, Driver, endpoint_id, sends

from alderspool.balancer.events import (
    AttemptStatus,
)


def test_equal_endpoints_take_even_interleaved_turns() -> None:
    driver = Driver()
    driver.set_endpoints(4)
    used = driver.serve(40)
    assert Counter(used) == {endpoint_id(i): 10 for i in range(4)}
    assert all(len(set(used[i : i + 4])) == 4 for i in range(0, 40, 4))


def test_combines_class_speeds_into_the_published_example_weights() -> None:
    """Class shares 1/3 and 2/3, speeds 38/11/51 and 13/40/47: weights 21/30/48, no three picks in a row."""
    driver = Driver([IDEMPOTENT, IDEMPOTENT])
    driver.set_endpoints(3)
    driver.serve(3)
    driver.lb.refresh.last_at = driver.now + 1e9  # no refresh: the weights stay as set below
    share, cpu, disk = (1 / 3, 2 / 3), (38, 11, 51), (13, 40, 47)
    weights = [share[0] * c + share[1] * p for c, p in zip(cpu, disk, strict=True)]
    assert [round(w) for w in weights] == [21, 30, 48]
    for i, weight in enumerate(weights):
        driver.endpoints[endpoint_id(i)].weight = weight
    used = driver.serve(300)
    counts = Counter(used)
    assert [round(counts[endpoint_id(i)] / 3) for i in range(3)] == [21, 30, 48]
    assert not any(used[i] == used[i + 1] == used[i + 2] for i in range(298))


def test_instances_start_at_different_endpoints() -> None:
    first = Counter()
    for seed in range(60):
        driver = Driver(seed=seed, instance_count=60)
        driver.set_endpoints(3)
        first[driver.serve(1)[0]] += 1
    assert all(10 <= first[endpoint_id(i)] <= 30 for i in range(3))


def test_faster_endpoints_get_more_turns() -> None:
    driver = Driver()
    driver.set_endpoints(2)
    for _ in range(200):
        (send,) = sends(driver.request())
        driver.now += 10.0 if send.endpoint == endpoint_id(0) else 40.0
        driver.outcome(send.id, 0, send.endpoint)
    counts = Counter(driver.serve(50, latency_ms=10.0))
    assert counts[endpoint_id(0)] > 1.6 * counts[endpoint_id(1)] > 0


def test_endpoint_over_its_fair_share_is_passed_over() -> None:
    driver = Driver()
    driver.set_endpoints(3)
    used = [sends(driver.request())[0] for _ in range(9)]
    assert Counter(s.endpoint for s in used) == {endpoint_id(i): 3 for i in range(3)}
    for send in used:  # endpoints 1 and 2 respond, endpoint 0 keeps its attempts open
        if send.endpoint != endpoint_id(0):
            driver.now += 1.0
            driver.outcome(send.id, 0, send.endpoint)
    assert endpoint_id(0) not in {sends(driver.request())[0].endpoint for _ in range(2)}


def test_fast_failing_endpoint_attracts_no_requests() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(4)
    counts: Counter[bytes] = Counter()
    for _ in range(200):
        (send,) = sends(driver.request())
        counts[send.endpoint] += 1
        bad = send.endpoint == endpoint_id(0)
        driver.now += 1.0 if bad else 20.0
        driver.outcome(send.id, 0, send.endpoint, AttemptStatus.ERROR if bad else AttemptStatus.OK)
    assert counts[endpoint_id(0)] < 10


def test_speed_for_a_rare_class_stays_close_to_the_overall_speed() -> None:
    driver = Driver([UNSAFE, UNSAFE])
    driver.set_endpoints(2)
    for _ in range(100):
        driver.serve(4, latency_ms=20.0)
    (send,) = sends(driver.request(class_index=1))
    driver.now += 60.0  # one slow response for a rare class must not decide the weight
    driver.outcome(send.id, 0, send.endpoint)
    counts = Counter(driver.serve(40, latency_ms=20.0))
    assert min(counts[endpoint_id(0)], counts[endpoint_id(1)]) >= 16


def test_stalled_endpoint_is_passed_over_long_before_a_timeout() -> None:
    driver = Driver([UNSAFE])
    driver.set_endpoints(3)
    driver.serve(60)
    while (stuck := sends(driver.request())[0]).endpoint != endpoint_id(0):
        driver.outcome(stuck.id, 0, stuck.endpoint)
    driver.now += 100.0
    assert endpoint_id(0) not in driver.serve(30)
    driver.outcome(stuck.id, 0, endpoint_id(0))
    assert endpoint_id(0) in driver.serve(30)

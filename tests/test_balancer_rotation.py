"""Weighted rotation: weights, even turns, and endpoints that are passed over."""

from __future__ import annotations

from collections import Counter

from conftest import IDEMPOTENT, UNSAFE, Driver, endpoint_id, sends

from alderspool.balancer.events import (
    AttemptStatus,
)

S = AttemptStatus


def test_equal_endpoints_take_even_interleaved_turns() -> None:
    d = Driver()
    d.list_endpoints(4)
    used = d.serve(40)
    assert Counter(used) == {endpoint_id(i): 10 for i in range(4)}
    assert all(len(set(used[i : i + 4])) == 4 for i in range(0, 40, 4))


def test_blends_class_figures_into_the_published_example_weights() -> None:
    """Shares of 1/3 and 2/3 over P = 38/11/51 and 13/40/47 give W = 21/30/49, spread without runs."""
    d = Driver([IDEMPOTENT, IDEMPOTENT])
    d.list_endpoints(3)
    d.serve(3)
    d.lb.refresh.last_at = d.now + 1e9  # weights as given, not as learned
    share, cpu, disk = (1 / 3, 2 / 3), (38, 11, 51), (13, 40, 47)
    weights = [share[0] * c + share[1] * p for c, p in zip(cpu, disk, strict=True)]
    assert [round(w) for w in weights] == [21, 30, 48]
    for i, weight in enumerate(weights):
        d.endpoints[endpoint_id(i)].weight = weight
    used = d.serve(300)
    counts = Counter(used)
    assert [round(counts[endpoint_id(i)] / 3) for i in range(3)] == [21, 30, 48]
    assert not any(used[i] == used[i + 1] == used[i + 2] for i in range(298))


def test_instances_start_at_different_endpoints() -> None:
    first = Counter()
    for seed in range(60):
        d = Driver(seed=seed, instance_count=60)
        d.list_endpoints(3)
        first[d.serve(1)[0]] += 1
    assert all(10 <= first[endpoint_id(i)] <= 30 for i in range(3))


def test_faster_endpoints_earn_more_turns() -> None:
    d = Driver()
    d.list_endpoints(2)
    for _ in range(200):
        (send,) = sends(d.request())
        d.now += 10.0 if send.endpoint == endpoint_id(0) else 40.0
        d.outcome(send.id, 0, send.endpoint)
    counts = Counter(d.serve(50, took=10.0))
    assert counts[endpoint_id(0)] > 1.6 * counts[endpoint_id(1)] > 0


def test_endpoint_over_its_fair_share_is_passed_over() -> None:
    d = Driver()
    d.list_endpoints(3)
    used = [sends(d.request())[0] for _ in range(9)]
    assert Counter(s.endpoint for s in used) == {endpoint_id(i): 3 for i in range(3)}
    for send in used:  # servers 1 and 2 answer, server 0 keeps what it has
        if send.endpoint != endpoint_id(0):
            d.now += 1.0
            d.outcome(send.id, 0, send.endpoint)
    assert endpoint_id(0) not in {sends(d.request())[0].endpoint for _ in range(2)}


def test_fast_failing_endpoint_attracts_no_requests() -> None:
    d = Driver([UNSAFE])
    d.list_endpoints(4)
    counts: Counter[bytes] = Counter()
    for _ in range(200):
        (send,) = sends(d.request())
        counts[send.endpoint] += 1
        bad = send.endpoint == endpoint_id(0)
        d.now += 1.0 if bad else 20.0
        d.outcome(send.id, 0, send.endpoint, S.ERROR if bad else S.OK)
    assert counts[endpoint_id(0)] < 10


def test_figure_of_a_rare_class_leans_on_the_overall_figure() -> None:
    d = Driver([UNSAFE, UNSAFE])
    d.list_endpoints(2)
    for _ in range(100):
        d.serve(4, took=20.0)
    (send,) = sends(d.request(cls=1))
    d.now += 60.0  # one slow answer of a rare class is no verdict
    d.outcome(send.id, 0, send.endpoint)
    counts = Counter(d.serve(40, took=20.0))
    assert min(counts[endpoint_id(0)], counts[endpoint_id(1)]) >= 16


def test_stalled_endpoint_is_passed_over_long_before_a_timeout() -> None:
    d = Driver([UNSAFE])
    d.list_endpoints(3)
    d.serve(60)
    while (stuck := sends(d.request())[0]).endpoint != endpoint_id(0):
        d.outcome(stuck.id, 0, stuck.endpoint)
    d.now += 100.0
    assert endpoint_id(0) not in d.serve(30)
    d.outcome(stuck.id, 0, endpoint_id(0))
    assert endpoint_id(0) in d.serve(30)

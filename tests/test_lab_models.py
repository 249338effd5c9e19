"""Tests of the laboratory's models against times that were calculated by hand."""

from __future__ import annotations

import math

import numpy as np
import pytest

from alderspool.lab.models.client import ClientBehaviour, ClientModel
from alderspool.lab.models.deduplication import DeduplicationScope
from alderspool.lab.models.discovery import DiscoveryModel, EndpointRecord, EndpointStatus, UpdateDelays
from alderspool.lab.models.endpoint import EndpointAttempt, EndpointModel, OfferResult
from alderspool.lab.models.endpoint_profile import EndpointProfile
from alderspool.lab.models.front import FrontLoadBalancer


def generator(seed: int = 1) -> np.random.Generator:
    return np.random.default_rng(seed)


def make_endpoint(deduplication: DeduplicationScope | None = None, **profile: object) -> EndpointModel:
    return EndpointModel(EndpointProfile(**profile), generator(), deduplication)


def run_attempts(
    endpoint: EndpointModel, *attempts: tuple[float, float], until: float = 10_000.0
) -> dict[int, float]:
    """Offer attempts, given as (time in ms, work); return their completion times by attempt number."""
    completed_at_ms: dict[int, float] = {}
    for number, (at, work) in enumerate(attempts):
        completed_at_ms |= {e.id: e.at_ms for e in endpoint.advance(at)}
        assert endpoint.offer(at, EndpointAttempt(number, work)) is OfferResult.ACCEPTED
    return completed_at_ms | {e.id: e.at_ms for e in endpoint.advance(until)}


@pytest.mark.parametrize(
    ("profile", "attempts", "expected"),
    [
        ({}, [(0.0, 100.0)], [100.0]),
        ({"speed": 2.0}, [(0.0, 100.0)], [50.0]),
        ({}, [(0.0, 100.0), (0.0, 60.0)], [100.0, 60.0]),  # one core each
        ({}, [(0.0, 100.0), (0.0, 60.0), (0.0, 30.0)], [100.0, 60.0, 90.0]),  # the third is queued
        ({"max_running": 4}, [(0.0, 50.0)] * 4, [100.0] * 4),  # four share two cores
        ({"max_running": 4}, [(0.0, 50.0), (0.0, 50.0), (0.0, 25.0)], [62.5, 62.5, 37.5]),
        ({}, [(0.0, 40.0), (1000.0, 40.0)], [40.0, 1040.0]),
        ({"congestion_threshold": 1.0, "congestion_cost": 0.5}, [(0.0, 50.0)] * 3, [75.0, 75.0, 125.0]),
    ],
)
def test_completion_times_follow_cores_and_running_limit(
    profile: dict, attempts: list, expected: list[float]
) -> None:
    completed_at_ms = run_attempts(make_endpoint(**profile), *attempts)
    assert [completed_at_ms[number] for number in range(len(attempts))] == pytest.approx(expected, abs=0.01)


def test_capacity_rises_linearly_in_slow_start() -> None:
    endpoint = make_endpoint(initial_capacity_share=0.2, slow_start_ms=1000.0)
    endpoint.crash()
    endpoint.restart(5000.0)
    assert [endpoint.warm_up_factor(5000.0 + at) for at in (0.0, 500.0, 1000.0, 9000.0)] == pytest.approx(
        [0.2, 0.6, 1.0, 1.0]
    )
    endpoint.advance(5000.0)
    endpoint.offer(5000.0, EndpointAttempt(1, 600.0))
    # On one core, the share of the capacity rises from 0.2 to 1.0 in 1000 ms: 600 ms of work.
    (completion,) = endpoint.advance(9000.0)
    assert completion.at_ms == pytest.approx(6000.0, abs=10.0)


@pytest.mark.parametrize(("work", "is_up"), [(350.0, True), (450.0, False)])
def test_cold_endpoint_crashes_beyond_its_overload_factor(work: float, is_up: bool) -> None:
    # The limit is 2 cores x 0.5 of the capacity x 100 ms x a factor of 4: 400 ms of work.
    endpoint = make_endpoint(
        initial_capacity_share=0.5,
        slow_start_ms=1e9,
        cold_overload_factor=4.0,
        cold_overload_window_ms=100.0,
        max_queued=99,
    )
    endpoint.restart(0.0)
    for number in range(10):
        endpoint.offer(0.0, EndpointAttempt(number, work / 10.0))
    assert endpoint.is_up is is_up
    assert (endpoint.offer(1.0, EndpointAttempt(99, 1.0)) is OfferResult.DOWN) is not is_up


def test_warm_endpoint_survives_overload() -> None:
    endpoint = make_endpoint(cold_overload_factor=1.0, cold_overload_window_ms=100.0, max_queued=99)
    for number in range(50):
        endpoint.offer(0.0, EndpointAttempt(number, 100.0))
    assert endpoint.is_up


def test_cached_keys_save_work_until_expired_or_evicted() -> None:
    endpoint = make_endpoint(cached_key_saving=0.5, key_cache_ms=1000.0, key_cache_size=2)
    durations_ms = []
    for at, key in ((0.0, 1), (500.0, 1), (1600.0, 1), (1700.0, 2), (1800.0, 3), (1900.0, 1)):
        endpoint.advance(at)
        endpoint.offer(at, EndpointAttempt(int(at), 100.0, key))
        (completion,) = endpoint.advance(at + 100.0)
        durations_ms.append(completion.at_ms - at)
    assert durations_ms == pytest.approx([100.0, 50.0, 100.0, 100.0, 100.0, 100.0])


def test_scope_detects_duplicates_within_its_window_at_all_its_endpoints() -> None:
    scope, other_scope = DeduplicationScope(1000.0), DeduplicationScope(1000.0)
    a, b, c = make_endpoint(scope), make_endpoint(scope), make_endpoint(other_scope)
    assert a.offer(0.0, EndpointAttempt(1, 1.0, idempotency_key="k")) is OfferResult.ACCEPTED
    assert b.offer(900.0, EndpointAttempt(2, 1.0, idempotency_key="k")) is OfferResult.DUPLICATE
    # An endpoint of another scope does not detect the duplicate.
    assert c.offer(900.0, EndpointAttempt(3, 1.0, idempotency_key="k")) is OfferResult.ACCEPTED
    assert b.offer(1001.0, EndpointAttempt(4, 1.0, idempotency_key="k")) is OfferResult.ACCEPTED
    assert len(scope.first_seen_at_ms) == 1


def test_offer_results_when_full_draining_silent_and_down() -> None:
    endpoint = make_endpoint(max_queued=1)
    assert [endpoint.offer(0.0, EndpointAttempt(i, 50.0)) for i in range(4)] == [OfferResult.ACCEPTED] * 3 + [
        OfferResult.REJECTED_FULL
    ]
    endpoint.is_draining = True
    assert endpoint.offer(0.0, EndpointAttempt(9, 1.0)) is OfferResult.REJECTED_DRAINING
    assert len(endpoint.advance(200.0)) == 3  # a draining endpoint completes its attempts
    endpoint.is_draining, endpoint.is_silent = False, True
    assert (
        endpoint.offer(200.0, EndpointAttempt(10, 1.0)) is OfferResult.SILENT and not endpoint.check_health()
    )
    assert endpoint.advance(400.0) == []
    endpoint.crash()
    assert (
        endpoint.offer(400.0, EndpointAttempt(11, 1.0)) is OfferResult.DOWN
        and not endpoint.connect()
        and endpoint.next_event_at() == math.inf
    )


def test_crash_loses_attempts_and_silent_endpoint_completes_none() -> None:
    endpoint = make_endpoint()
    endpoint.offer(0.0, EndpointAttempt(1, 50.0))
    endpoint.crash()
    endpoint.restart(10.0)
    assert endpoint.advance(500.0) == [] and endpoint.attempt_count == 0
    endpoint.offer(500.0, EndpointAttempt(2, 50.0))
    endpoint.is_silent = True
    assert endpoint.advance(1000.0) == []


@pytest.mark.parametrize(("can_cancel_running", "last_at_ms"), [(False, 130.0), (True, 60.0)])
def test_cancel_stops_queued_attempts_and_running_ones_only_if_supported(
    can_cancel_running: bool, last_at_ms: float
) -> None:
    endpoint = make_endpoint(cores=1, max_running=1, can_cancel_running=can_cancel_running)
    endpoint.offer(0.0, EndpointAttempt(0, 100.0))
    endpoint.offer(0.0, EndpointAttempt(1, 100.0))
    endpoint.offer(0.0, EndpointAttempt(2, 30.0))
    endpoint.advance(30.0)
    endpoint.cancel(0)
    endpoint.cancel(1)
    completed_at_ms = {e.id: e.at_ms for e in endpoint.advance(1000.0)}
    assert completed_at_ms[2] == pytest.approx(last_at_ms) and 1 not in completed_at_ms
    assert endpoint.work_wasted == pytest.approx(0.0 if can_cancel_running else 70.0)


def test_congestion_degrades_endpoint_until_it_is_nearly_idle() -> None:
    profile = {
        "degradation_threshold": 2.0,
        "degradation_after_ms": 500.0,
        "degraded_slowdown": 3.0,
        "degradation_recovery_ms": 300.0,
    }
    endpoint = make_endpoint(max_queued=99, **profile)
    short = make_endpoint(max_queued=99, **profile, degradation_max_ms=100.0)
    for number in range(20):
        for congested in (endpoint, short):
            congested.offer(0.0, EndpointAttempt(number, 100.0))  # 1000 ms of work for both cores
    endpoint.advance(490.0)
    assert endpoint.degraded_since_ms is None
    endpoint.advance(520.0)
    assert endpoint.degraded_since_ms is not None and endpoint.rate(520.0) == pytest.approx(1 / 3)
    short.advance(520.0)
    assert short.degraded_since_ms is not None
    for congested in (endpoint, short):
        congested.advance(650.0)
    assert endpoint.degraded_since_ms is not None
    assert short.degraded_since_ms is None  # after its maximum duration, still congested
    completions = endpoint.advance(10_000.0)
    assert max(e.at_ms for e in completions) == pytest.approx(500.0 + 3 * 500.0, abs=30.0)
    assert endpoint.degraded_since_ms is None  # recovered while it was idle


def test_degradation_ends_after_its_maximum_duration() -> None:
    endpoint = make_endpoint(
        max_queued=999,
        degradation_threshold=2.0,
        degradation_after_ms=100.0,
        degradation_max_ms=400.0,
        degradation_recovery_ms=1e9,
    )
    for number in range(400):
        endpoint.offer(0.0, EndpointAttempt(number, 100.0))
    endpoint.advance(300.0)
    assert endpoint.degraded_since_ms == pytest.approx(100.0, abs=20.0)
    endpoint.advance(519.0)
    assert endpoint.degraded_since_ms is None


def test_slowdown_and_error_rate() -> None:
    endpoint = make_endpoint(error_rate=0.5)
    endpoint.slowdown = 3.0
    assert run_attempts(endpoint, (0.0, 50.0))[0] == pytest.approx(150.0)
    for number in range(1000):
        endpoint.offer(10_000.0, EndpointAttempt(number, 0.1)) if endpoint.attempt_count < 40 else None
    errors = [e.is_error for e in endpoint.advance(20_000.0)]
    assert len(errors) == 40 and 10 < sum(errors) < 30


def test_handshakes_and_health_checks_cost_work_and_connections_are_limited() -> None:
    endpoint = make_endpoint(
        cores=1, max_running=1, max_connections=2, handshake_work=5.0, health_check_work=1.0
    )
    endpoint.offer(0.0, EndpointAttempt(1, 100.0))
    assert [endpoint.connect(), endpoint.connect(), endpoint.connect()] == [True, True, False]
    assert endpoint.check_health()
    (completion,) = endpoint.advance(1000.0)
    assert completion.at_ms == pytest.approx(111.0)
    endpoint.disconnect()
    assert endpoint.connect()


def test_error_responses_depend_only_on_the_seed() -> None:
    def error_flags(seed: int) -> list[bool]:
        endpoint = EndpointModel(EndpointProfile(error_rate=0.3, max_queued=500), generator(seed))
        for number in range(300):
            endpoint.offer(0.0, EndpointAttempt(number, 1.0))
        return [e.is_error for e in endpoint.advance(1000.0)]

    assert error_flags(4) == error_flags(4) != error_flags(5)


# ---- discovery, front load balancer, clients --------------------------------------------------


def test_updates_are_delayed_by_status_and_changes_are_versioned() -> None:
    discovery = DiscoveryModel(UpdateDelays(ready_ms=100.0, draining_ms=50.0, gone_ms=300.0))
    discovery.report(0.0, EndpointRecord("a", "x:1"))
    discovery.report(0.0, EndpointRecord("b", "x:2"))
    assert not discovery.advance(99.0) and discovery.snapshot() == [] and discovery.next_update_at() == 100.0
    assert discovery.advance(100.0) and [e.name for e in discovery.snapshot()] == ["a", "b"]
    version = discovery.version
    assert discovery.changes_since(version) == []
    discovery.report(200.0, EndpointRecord("a", "x:1", status=EndpointStatus.DRAINING))
    discovery.advance(250.0)
    assert [(e.name, e.status) for e in discovery.changes_since(version)] == [("a", "draining")]
    discovery.report(300.0, EndpointRecord("a", "x:1", status=EndpointStatus.GONE))
    discovery.report(400.0, discovery.snapshot()[1].restarted(400.0))  # the same endpoint, restarted
    discovery.advance(600.0)
    assert [(e.name, e.since_ms) for e in discovery.snapshot()] == [("b", 400.0)]
    assert {(e.name, e.status) for e in discovery.changes_since(version)} == {("a", "gone"), ("b", "ready")}


def test_calls_are_served_in_turn_and_fail_after_the_timeout() -> None:
    discovery = DiscoveryModel(per_call_ms=10.0, per_endpoint_ms=5.0, timeout_ms=100.0)
    assert [
        discovery.schedule_call(0.0, 8),
        discovery.schedule_call(0.0, 8),
        discovery.schedule_call(0.0, 8),
        discovery.schedule_call(0.0, 8),
    ] == [50.0, 100.0, 150.0, None]
    assert discovery.schedule_call(200.0, 0) == 210.0
    discovery.is_up = False
    assert discovery.schedule_call(300.0, 0) is None


def test_front_load_balancer_spreads_connections_and_detects_a_death_with_a_delay() -> None:
    front = FrontLoadBalancer(["p", "q"], generator(), death_detection_ms=1000.0)
    assert front.pick(0.0) is None
    front.mark_ready("p")
    assert {front.pick(0.0) for _ in range(20)} == {"p"}
    front.mark_ready("q")
    picks = [front.pick(0.0) for _ in range(1000)]
    assert picks.count("q") == pytest.approx(500, abs=60)
    front.mark_dead(100.0, "q")
    assert "q" in {front.pick(1099.0) for _ in range(50)}
    assert {front.pick(1100.0) for _ in range(50)} == {"p"}
    front.mark_ready("q")
    assert "q" in {front.pick(1200.0) for _ in range(50)}
    front.mark_dead(1300.0, "q")
    front.mark_ready("q")  # restarted before the death was detected
    assert "q" in {front.pick(9000.0) for _ in range(50)}


@pytest.mark.parametrize(
    ("behaviour", "failed_at_ms", "retry_at_ms"),
    [
        (ClientBehaviour(retries=0), [100.0], [None]),
        (ClientBehaviour(retries=1, backoff_ms=50.0), [100.0, 200.0], [150.0, None]),
        (
            ClientBehaviour(retries=2, backoff_ms=50.0, is_backoff_exponential=True),
            [100.0, 200.0],
            [150.0, 300.0],
        ),
        (ClientBehaviour(retries=1, backoff_ms=50.0), [960.0], [None]),  # the deadline ends before the retry
        (ClientBehaviour(retries=1, backoff_ms=50.0, honours_retry_after_probability=1.0), [100.0], [400.0]),
    ],
)
def test_client_retries_according_to_its_behaviour(
    behaviour: ClientBehaviour, failed_at_ms: list, retry_at_ms: list
) -> None:
    client = ClientModel(behaviour, 1000.0, 0.0, generator())
    for at, expected in zip(failed_at_ms, retry_at_ms, strict=True):
        client.start_attempt(at - 50.0)
        assert client.retry_at(at, retry_after_ms=300.0) == expected


def test_attempt_timeout_is_a_share_of_the_deadline_limited_by_the_time_left() -> None:
    client = ClientModel(ClientBehaviour(attempt_timeout_share=0.7), 1000.0, 0.0, generator())
    assert client.start_attempt(0.0) == 700.0 and client.start_attempt(800.0) == pytest.approx(200.0)
    assert (
        ClientModel(ClientBehaviour(early_abort_probability=1.0), 1000.0, 0.0, generator()).start_attempt(0.0)
        == 100.0
    )

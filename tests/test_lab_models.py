"""The laboratory's models against moments that were worked out by hand."""

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


def play(
    endpoint: EndpointModel, *attempts: tuple[float, float], until: float = 10_000.0
) -> dict[int, float]:
    """Offer (moment, work) in turn; return when each was completed."""
    ended: dict[int, float] = {}
    for number, (at, work) in enumerate(attempts):
        ended |= {e.id: e.at_ms for e in endpoint.advance(at)}
        assert endpoint.offer(at, EndpointAttempt(number, work)) is OfferResult.ACCEPTED
    return ended | {e.id: e.at_ms for e in endpoint.advance(until)}


@pytest.mark.parametrize(
    ("profile", "attempts", "ends"),
    [
        ({}, [(0.0, 100.0)], [100.0]),
        ({"speed": 2.0}, [(0.0, 100.0)], [50.0]),
        ({}, [(0.0, 100.0), (0.0, 60.0)], [100.0, 60.0]),  # a core each
        ({}, [(0.0, 100.0), (0.0, 60.0), (0.0, 30.0)], [100.0, 60.0, 90.0]),  # the third is queued
        ({"max_running": 4}, [(0.0, 50.0)] * 4, [100.0] * 4),  # four share two cores
        ({"max_running": 4}, [(0.0, 50.0), (0.0, 50.0), (0.0, 25.0)], [62.5, 62.5, 37.5]),
        ({}, [(0.0, 40.0), (1000.0, 40.0)], [40.0, 1040.0]),
        ({"congestion_threshold": 1.0, "congestion_cost": 0.5}, [(0.0, 50.0)] * 3, [75.0, 75.0, 125.0]),
    ],
)
def test_completion_times_follow_cores_and_running_limit(
    profile: dict, attempts: list, ends: list[float]
) -> None:
    ended = play(make_endpoint(**profile), *attempts)
    assert [ended[number] for number in range(len(attempts))] == pytest.approx(ends, abs=0.01)


def test_capacity_rises_linearly_in_slow_start() -> None:
    endpoint = make_endpoint(initial_capacity_share=0.2, slow_start_ms=1000.0)
    endpoint.crash()
    endpoint.restart(5000.0)
    assert [endpoint.warm_up_factor(5000.0 + at) for at in (0.0, 500.0, 1000.0, 9000.0)] == pytest.approx(
        [0.2, 0.6, 1.0, 1.0]
    )
    endpoint.advance(5000.0)
    endpoint.offer(5000.0, EndpointAttempt(1, 600.0))
    (ended,) = endpoint.advance(9000.0)  # 600 ms of work done between 0.2 and 1.0 in 1000 ms
    assert ended.at_ms == pytest.approx(6000.0, abs=10.0)


@pytest.mark.parametrize(("work", "up"), [(350.0, True), (450.0, False)])
def test_cold_endpoint_crashes_beyond_its_overload_factor(work: float, up: bool) -> None:
    endpoint = make_endpoint(
        initial_capacity_share=0.5,
        slow_start_ms=1e9,
        cold_overload_factor=4.0,
        cold_overload_window_ms=100.0,
        max_queued=99,
    )  # 2 x 0.5 x 100 x 4
    endpoint.restart(0.0)
    for number in range(10):
        endpoint.offer(0.0, EndpointAttempt(number, work / 10.0))
    assert endpoint.is_up is up
    assert (endpoint.offer(1.0, EndpointAttempt(99, 1.0)) is OfferResult.DOWN) is not up


def test_warm_endpoint_survives_overload() -> None:
    endpoint = make_endpoint(cold_overload_factor=1.0, cold_overload_window_ms=100.0, max_queued=99)
    for number in range(50):
        endpoint.offer(0.0, EndpointAttempt(number, 100.0))
    assert endpoint.is_up


def test_cached_keys_save_work_until_expired_or_evicted() -> None:
    endpoint = make_endpoint(cached_key_saving=0.5, key_cache_ms=1000.0, key_cache_size=2)
    took = []
    for at, key in ((0.0, 1), (500.0, 1), (1600.0, 1), (1700.0, 2), (1800.0, 3), (1900.0, 1)):
        endpoint.advance(at)
        endpoint.offer(at, EndpointAttempt(int(at), 100.0, key))
        (ended,) = endpoint.advance(at + 100.0)
        took.append(ended.at_ms - at)
    assert took == pytest.approx([100.0, 50.0, 100.0, 100.0, 100.0, 100.0])


def test_scope_drops_duplicates_within_its_window_at_each_endpoint() -> None:
    scope, other = DeduplicationScope(1000.0), DeduplicationScope(1000.0)
    a, b, c = make_endpoint(scope), make_endpoint(scope), make_endpoint(other)
    assert a.offer(0.0, EndpointAttempt(1, 1.0, idempotency_key="k")) is OfferResult.ACCEPTED
    assert b.offer(900.0, EndpointAttempt(2, 1.0, idempotency_key="k")) is OfferResult.DUPLICATE
    assert (
        c.offer(900.0, EndpointAttempt(3, 1.0, idempotency_key="k")) is OfferResult.ACCEPTED
    )  # runs twice: another scope
    assert b.offer(1001.0, EndpointAttempt(4, 1.0, idempotency_key="k")) is OfferResult.ACCEPTED
    assert len(scope.seen_at_ms) == 1


def test_offer_results_when_full_draining_silent_and_down() -> None:
    endpoint = make_endpoint(max_queued=1)
    assert [endpoint.offer(0.0, EndpointAttempt(i, 50.0)) for i in range(4)] == [OfferResult.ACCEPTED] * 3 + [
        OfferResult.REJECTED_FULL
    ]
    endpoint.is_draining = True
    assert endpoint.offer(0.0, EndpointAttempt(9, 1.0)) is OfferResult.REJECTED_DRAINING
    assert len(endpoint.advance(200.0)) == 3  # it completes what it has
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


@pytest.mark.parametrize(("stops", "third"), [(False, 130.0), (True, 60.0)])
def test_cancel_drops_queued_attempts_and_running_ones_only_if_supported(stops: bool, third: float) -> None:
    endpoint = make_endpoint(cores=1, max_running=1, stops_cancelled=stops)
    endpoint.offer(0.0, EndpointAttempt(0, 100.0))
    endpoint.offer(0.0, EndpointAttempt(1, 100.0))
    endpoint.offer(0.0, EndpointAttempt(2, 30.0))
    endpoint.advance(30.0)
    endpoint.cancel(0)
    endpoint.cancel(1)
    ended = {e.id: e.at_ms for e in endpoint.advance(1000.0)}
    assert ended[2] == pytest.approx(third) and 1 not in ended
    assert endpoint.work_wasted == pytest.approx(0.0 if stops else 70.0)


def test_congestion_chokes_endpoint_until_nearly_idle() -> None:
    profile = {
        "choke_threshold": 2.0,
        "choke_after_ms": 500.0,
        "degraded_slowdown": 3.0,
        "choke_recovery_ms": 300.0,
    }
    endpoint = make_endpoint(max_queued=99, **profile)
    for number in range(20):
        endpoint.offer(0.0, EndpointAttempt(number, 100.0))  # 1000 ms of work for both cores
    endpoint.advance(490.0)
    assert endpoint.choked_since_ms is None
    endpoint.advance(520.0)
    assert endpoint.choked_since_ms is not None and endpoint.rate(520.0) == pytest.approx(1 / 3)
    ended = endpoint.advance(10_000.0)
    assert max(e.at_ms for e in ended) == pytest.approx(500.0 + 3 * 500.0, abs=30.0)
    assert endpoint.choked_since_ms is None  # idle since
    assert make_endpoint(max_queued=99, **profile, choke_max_ms=100.0).choked_since_ms is None


def test_choke_ends_after_its_maximum_time() -> None:
    endpoint = make_endpoint(
        max_queued=999, choke_threshold=2.0, choke_after_ms=100.0, choke_max_ms=400.0, choke_recovery_ms=1e9
    )
    for number in range(400):
        endpoint.offer(0.0, EndpointAttempt(number, 100.0))
    endpoint.advance(300.0)
    assert endpoint.choked_since_ms == pytest.approx(100.0, abs=20.0)
    endpoint.advance(519.0)
    assert endpoint.choked_since_ms is None


def test_slowdown_and_error_rate() -> None:
    endpoint = make_endpoint(error_rate=0.5)
    endpoint.slowdown = 3.0
    assert play(endpoint, (0.0, 50.0))[0] == pytest.approx(150.0)
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
    (ended,) = endpoint.advance(1000.0)
    assert ended.at_ms == pytest.approx(111.0)
    endpoint.disconnect()
    assert endpoint.connect()


def test_same_seed_gives_same_errors() -> None:
    def story(seed: int) -> list[bool]:
        endpoint = EndpointModel(EndpointProfile(error_rate=0.3, max_queued=500), generator(seed))
        for number in range(300):
            endpoint.offer(0.0, EndpointAttempt(number, 1.0))
        return [e.is_error for e in endpoint.advance(1000.0)]

    assert story(4) == story(4) != story(5)


# ---- discovery, front, clients ----------------------------------------------------------------


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
    discovery = DiscoveryModel(call_ms=10.0, line_ms=5.0, timeout_ms=100.0)
    assert [
        discovery.complete_call_at(0.0, 8),
        discovery.complete_call_at(0.0, 8),
        discovery.complete_call_at(0.0, 8),
        discovery.complete_call_at(0.0, 8),
    ] == [50.0, 100.0, 150.0, None]
    assert discovery.complete_call_at(200.0, 0) == 210.0
    discovery.is_up = False
    assert discovery.complete_call_at(300.0, 0) is None


def test_front_spreads_connections_and_detects_a_death_late() -> None:
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
    front.mark_ready("q")  # back before the death was detected
    assert "q" in {front.pick(9000.0) for _ in range(50)}


@pytest.mark.parametrize(
    ("behaviour", "after", "again"),
    [
        (ClientBehaviour(retries=0), [100.0], [None]),
        (ClientBehaviour(retries=1, backoff_ms=50.0), [100.0, 200.0], [150.0, None]),
        (
            ClientBehaviour(retries=2, backoff_ms=50.0, is_backoff_doubled=True),
            [100.0, 200.0],
            [150.0, 300.0],
        ),
        (ClientBehaviour(retries=1, backoff_ms=50.0), [960.0], [None]),  # its deadline comes first
        (ClientBehaviour(retries=1, backoff_ms=50.0, honours_retry_after_probability=1.0), [100.0], [400.0]),
    ],
)
def test_client_retries_as_its_behaviour_says(behaviour: ClientBehaviour, after: list, again: list) -> None:
    client = ClientModel(behaviour, 1000.0, 0.0, generator())
    for at, expected in zip(after, again, strict=True):
        client.start_attempt(at - 50.0)
        assert client.retry_at(at, retry_after_ms=300.0) == expected


def test_attempt_deadline_is_a_share_limited_by_the_time_left() -> None:
    client = ClientModel(ClientBehaviour(attempt_deadline_share=0.7), 1000.0, 0.0, generator())
    assert client.start_attempt(0.0) == 700.0 and client.start_attempt(800.0) == pytest.approx(200.0)
    assert (
        ClientModel(ClientBehaviour(early_abort_probability=1.0), 1000.0, 0.0, generator()).start_attempt(0.0)
        == 100.0
    )

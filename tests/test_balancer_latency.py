"""Traffic classes, typical and no-load latency, and the schedule of refreshes and polls."""

from __future__ import annotations

import pytest
from conftest import IDEMPOTENT

from alderspool.balancer.events import Request
from alderspool.balancer.latency_estimates import LatencyEstimates
from alderspool.balancer.schedule import is_refresh_due, poll_backoff_ms
from alderspool.balancer.settings import RequestClass, Settings

SHORT = RequestClass("short", latency_objective_ms=100.0, deadline_ms=400.0)
LONG = RequestClass("long", latency_objective_ms=1000.0, deadline_ms=4000.0)


def _estimates(*classes: RequestClass) -> LatencyEstimates:
    return LatencyEstimates(Settings(classes=[*classes]))


def test_initial_estimates_follow_the_latency_objectives() -> None:
    estimates = _estimates(SHORT, LONG)
    assert estimates.typical_ms == [25.0, 250.0]
    assert estimates.no_load_ms == [12.5, 125.0]
    assert estimates.mix.counts == [30.0, 3.0]


def test_cost_hint_splits_the_only_class() -> None:
    estimates = _estimates(IDEMPOTENT)
    hints_ms = (100.0, 100.0, 200.0, 100.0, 0.0, float("nan"), float("inf"))
    classes = [estimates.record_request(Request(1, 400.0, cost_hint_ms=hint_ms)) for hint_ms in hints_ms]
    assert classes == [0, 0, 1, 0, 0, 0, 0]


def test_cost_hint_is_ignored_if_there_are_several_classes() -> None:
    estimates = _estimates(SHORT, LONG)
    classes = [
        estimates.record_request(Request(1, 400.0, 1, cost_hint_ms=hint_ms)) for hint_ms in (1.0, 900.0)
    ]
    assert classes == [1, 1]


def test_typical_latency_follows_the_responses_of_its_class() -> None:
    estimates = _estimates(SHORT, LONG)
    for _ in range(300):
        estimates.record_response(0, 60.0)
    estimates.refresh(now=100.0, elapsed_ms=100.0)
    assert estimates.typical_ms[0] == pytest.approx(60.0, rel=0.02)
    assert estimates.typical_ms[1] == 250.0


def test_no_load_latency_settles_at_a_low_percentile_of_the_responses() -> None:
    estimates = _estimates(SHORT, LONG)
    for number in range(5000):
        estimates.record_response(0, 20.0 + number % 100)
    assert 25.0 < estimates.no_load_ms[0] < 50.0  # the 15th percentile is 35


@pytest.mark.parametrize(
    ("age_ms", "arrived_work", "expected"),
    [
        pytest.param(100.0, 4.0, True, id="interval and traffic"),
        pytest.param(499.0, 3.9, False, id="too little traffic"),
        pytest.param(500.0, 0.0, True, id="longest interval"),
    ],
)
def test_refresh_is_due_by_traffic_or_time(age_ms: float, arrived_work: float, expected: bool) -> None:
    assert is_refresh_due(age_ms, arrived_work) is expected


@pytest.mark.parametrize(
    ("failures", "list_max_age_ms", "expected_ms"),
    [
        pytest.param(0, 10_000.0, 1000.0, id="first"),
        pytest.param(1, 10_000.0, 2000.0, id="doubles"),
        pytest.param(9, 10_000.0, 4000.0, id="capped at the maximum"),
        pytest.param(9, 3000.0, 3000.0, id="capped by the maximum age of the list"),
    ],
)
def test_poll_backoff_doubles_up_to_its_limits(
    failures: int, list_max_age_ms: float, expected_ms: float
) -> None:
    assert poll_backoff_ms(failures, list_max_age_ms, random_share=1.0) == expected_ms
    assert poll_backoff_ms(failures, list_max_age_ms, random_share=0.0) == expected_ms / 2

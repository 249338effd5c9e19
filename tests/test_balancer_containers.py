"""General-purpose containers, moving averages, the wire format of load reports, and timer tokens."""

from __future__ import annotations

import pytest
from conftest import endpoint_id

from alderspool.balancer.containers import SlidingWindowCount, bit_reversed, interleave_in_proportion
from alderspool.balancer.endpoint import EndpointState
from alderspool.balancer.load_report_codec import (
    decode_entries,
    encode_entry,
    encode_messages,
    is_well_formed,
)
from alderspool.balancer.moving_averages import ArrivalRate, ClassMix, DecayingSums, MeansByClass, WorkSums
from alderspool.balancer.timers import KIND_BITS, KIND_MASK, TimerKind, timer_token


def _endpoint(number: int, in_flight: int) -> EndpointState:
    endpoint = EndpointState.create(endpoint_id(number), class_count=1)
    endpoint.in_flight = in_flight
    return endpoint


def test_sliding_window_counts_events_since_the_given_start() -> None:
    window = SlidingWindowCount(length=10.0)
    for time in (1.0, 2.0, 2.0, 5.0):
        window.add(time)
    assert window.count_since(2.0) == 3
    assert window.count_since(2.5) == 1
    assert window.count_since(0.0) == 1  # events before an earlier start have been discarded


def test_sliding_window_keeps_no_event_from_before_its_length() -> None:
    """Guards against memory that grows with each request for as long as nothing is counted."""
    window = SlidingWindowCount(length=10.0)
    for time in range(1000):
        window.add(float(time))
        assert len(window) <= 11
    assert window.count_since(989.0) == 11


@pytest.mark.parametrize(
    ("groups", "expected"),
    [
        pytest.param([], [], id="nothing"),
        pytest.param([["a"], []], ["a"], id="empty group"),
        pytest.param([["a", "b"], ["x", "y"]], ["a", "x", "b", "y"], id="equal groups, first one first"),
        pytest.param([["a", "b", "c", "d"], ["x", "y"]], ["a", "x", "b", "c", "y", "d"], id="two to one"),
    ],
)
def test_interleaves_groups_in_proportion(groups: list[list[str]], expected: list[str]) -> None:
    assert interleave_in_proportion(groups) == expected


def test_bit_reversal_puts_neighbours_far_apart() -> None:
    assert [bit_reversed(number, 3) for number in range(8)] == [0, 4, 2, 6, 1, 5, 3, 7]


def test_class_mix_computes_shares_before_it_decays_the_counts() -> None:
    mix = ClassMix([1.0, 3.0])
    mix.refresh(decay=0.5)
    assert mix.shares == [0.25, 0.75]
    assert mix.counts == [0.5, 1.5]


def test_mean_counts_its_previous_value_as_samples_and_keeps_it_without_new_ones() -> None:
    means = MeansByClass([10.0, 10.0], prior_count=3.0, min_count=0.5)
    means.record(0, 50.0)
    means.refresh(decay=1.0)
    assert means.means == [20.0, 10.0]


def test_arrival_rate_averages_over_the_observed_time() -> None:
    arrivals = ArrivalRate(time_constant_ms=1000.0)
    arrivals.since_refresh = 20.0
    arrivals.refresh(observed_ms=100.0, elapsed_ms=100.0)
    assert arrivals.rate == 0.2
    arrivals.refresh(observed_ms=200.0, elapsed_ms=100.0)
    assert arrivals.rate == pytest.approx(0.1)
    assert arrivals.since_refresh == 0.0


def test_sums_decay() -> None:
    sums = DecayingSums(2)
    sums.values[1] = 4.0
    sums.decay(0.5)
    work = WorkSums(4.0, 2.0, 1.0)
    work.decay(0.5)
    assert sums.values == [0.0, 2.0]
    assert work == WorkSums(2.0, 1.0, 0.5)


def test_load_reports_round_trip_in_messages_of_limited_size() -> None:
    endpoints = [_endpoint(number, in_flight=number) for number in range(5)]
    messages = encode_messages(endpoints, entries_per_message=2)
    assert [len(message) for message in messages] == [14, 14, 7]
    decoded = [entry for message in messages for entry in decode_entries(message)]
    assert decoded == [(endpoint_id(number), number) for number in range(5)]


def test_load_report_caps_the_count_at_one_byte() -> None:
    assert encode_entry(_endpoint(1, in_flight=300)) == endpoint_id(1) + b"\xff"


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        pytest.param(b"", False, id="empty"),
        pytest.param(b"1234567", True, id="one entry"),
        pytest.param(b"12345671234567", True, id="two entries"),
        pytest.param(b"123456", False, id="cut"),
    ],
)
def test_recognizes_well_formed_load_reports(data: bytes, expected: bool) -> None:
    assert is_well_formed(data) is expected


@pytest.mark.parametrize("kind", list(TimerKind), ids=lambda kind: kind.name.lower())
def test_timer_token_carries_kind_and_request(kind: TimerKind) -> None:
    token = timer_token(kind, 12345)
    assert (token & KIND_MASK, token >> KIND_BITS) == (kind, 12345)

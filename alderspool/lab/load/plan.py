"""Arrivals laid out before the run: when, and of which class, tenant and key. No I/O, no clock.

Each part has a seeded `numpy` generator of its own, so that a change of the shape changes no key.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np
from numpy.typing import NDArray

from alderspool.lab.load.traffic import Shape, Traffic, TrafficClass

Floats = NDArray[np.float64]
Integers = NDArray[np.integer[Any]]

_RATE_GRID_POINTS = 4096  # at which the rate is evaluated


@dataclass
class Plan:
    """The requests of a run, as arrays of one length in order of time."""

    at_s: Floats  # from the start of the run
    class_index: Integers  # into `classes`
    tenant_index: Integers  # into `tenants`
    key: Integers
    classes: list[TrafficClass]
    tenants: list[str]

    def __len__(self) -> int:
        return len(self.at_s)

    def part(self, number: int, part_count: int) -> Plan:
        """Return every `part_count`-th request from `number` on: one worker's part."""
        every = slice(number, None, part_count)
        return Plan(
            self.at_s[every],
            self.class_index[every],
            self.tenant_index[every],
            self.key[every],
            self.classes,
            self.tenants,
        )


# ---- rates: relative to the mean, by the elapsed share of the run ---------------------------------


def _poisson(elapsed: Floats, traffic: Traffic) -> Floats:
    return np.ones_like(elapsed)


def _ramp(elapsed: Floats, traffic: Traffic) -> Floats:
    return 2.0 * elapsed


def _wave(elapsed: Floats, traffic: Traffic) -> Floats:
    return 1.0 + traffic.swing * np.sin(2.0 * np.pi * elapsed * traffic.seconds / traffic.period)


def _step(elapsed: Floats, traffic: Traffic) -> Floats:
    half = 0.5
    return np.where(elapsed < half, 1.0 - traffic.swing, 1.0 + traffic.swing)


def _evening(elapsed: Floats, traffic: Traffic) -> Floats:
    """Fall to 0.4 until sunset at 0.3 of the run, rise to the peak by 0.4, then fall slowly."""
    return np.interp(elapsed, [0.0, 0.25, 0.3, 0.4, 0.8, 1.0], [0.9, 0.5, 0.4, 1.6, 1.4, 0.7])


_RATES: dict[Shape, Callable[[Floats, Traffic], Floats]] = {
    Shape.POISSON: _poisson,
    Shape.RAMP: _ramp,
    Shape.WAVE: _wave,
    Shape.STEP: _step,
    Shape.EVENING: _evening,
}


# ---- the plan -------------------------------------------------------------------------------------


def generate_plan(traffic: Traffic) -> Plan:
    """Return the plan for this traffic."""
    seeds = np.random.SeedSequence(traffic.seed).spawn(4)
    time_random, class_random, tenant_random, key_random = (np.random.default_rng(seed) for seed in seeds)
    at_s = _arrivals(traffic, time_random)
    count = len(at_s)
    key_frequencies = 1.0 / np.arange(1.0, traffic.keys + 1.0) ** traffic.zipf
    return Plan(
        at_s,
        _draw(class_random, [traffic_class.share for traffic_class in traffic.classes], count),
        _draw(tenant_random, [tenant.share for tenant in traffic.tenants], count),
        _draw(key_random, key_frequencies, count),
        traffic.classes,
        [tenant.name for tenant in traffic.tenants],
    )


def _arrivals(traffic: Traffic, random: np.random.Generator) -> Floats:
    """Return the moments in s. Poisson arrivals are drawn by inverting the integral of the rate."""
    mean_count = traffic.rate * traffic.seconds
    if traffic.shape == Shape.CONSTANT:
        return np.arange(int(mean_count + 0.5)) / traffic.rate
    elapsed = np.linspace(0.0, 1.0, _RATE_GRID_POINTS)
    rate = _RATES[traffic.shape](elapsed, traffic)
    integral = np.concatenate([[0.0], np.cumsum((rate[1:] + rate[:-1]) / 2.0)])
    quantiles = np.sort(random.random(random.poisson(mean_count)))
    return np.interp(quantiles, integral / integral[-1], elapsed) * traffic.seconds


def _draw(random: np.random.Generator, shares: Sequence[float] | Floats, count: int) -> Integers:
    probabilities = np.asarray(shares)
    return random.choice(len(probabilities), size=count, p=probabilities / probabilities.sum())

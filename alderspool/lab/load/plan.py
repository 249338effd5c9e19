"""Generates the arrivals of a run in advance: time, class, tenant and key. No I/O, no clock.

Times, classes, tenants and keys are drawn from separate seeded `numpy` generators, so that a change of the
shape, for example, does not change the keys.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import numpy as np
from numpy.typing import NDArray

from alderspool.lab.load.traffic import Shape, Traffic, TrafficClass

FloatArray = NDArray[np.float64]
IntArray = NDArray[np.integer[Any]]

_RATE_GRID_POINTS = 4096  # number of points at which the rate is evaluated


@dataclass
class Plan:
    """The requests of a run in order of time, as parallel arrays."""

    at_s: FloatArray  # since the start of the run
    class_index: IntArray  # index into `classes`
    tenant_index: IntArray  # index into `tenants`
    key: IntArray
    classes: list[TrafficClass]
    tenants: list[str]

    def __len__(self) -> int:
        return len(self.at_s)

    def slice_for_worker(self, worker_index: int, worker_count: int) -> Plan:
        """Return the requests of one worker: every `worker_count`-th, starting at `worker_index`."""
        worker_slice = slice(worker_index, None, worker_count)
        return Plan(
            self.at_s[worker_slice],
            self.class_index[worker_slice],
            self.tenant_index[worker_slice],
            self.key[worker_slice],
            self.classes,
            self.tenants,
        )


# ---- rates: relative to the mean, as functions of the elapsed fraction of the run -----------------


def _even_rate(run_fraction: FloatArray, traffic: Traffic) -> FloatArray:
    return np.ones_like(run_fraction)


def _ramp_rate(run_fraction: FloatArray, traffic: Traffic) -> FloatArray:
    return 2.0 * run_fraction


def _wave_rate(run_fraction: FloatArray, traffic: Traffic) -> FloatArray:
    return 1.0 + traffic.swing * np.sin(2.0 * np.pi * run_fraction * traffic.seconds / traffic.period)


def _step_rate(run_fraction: FloatArray, traffic: Traffic) -> FloatArray:
    midpoint = 0.5
    return np.where(run_fraction < midpoint, 1.0 - traffic.swing, 1.0 + traffic.swing)


def _evening_rate(run_fraction: FloatArray, traffic: Traffic) -> FloatArray:
    """Return the rate of an evening, relative to the mean.

    It falls to 0.4 at sunset (0.3 of the run), rises to the peak of 1.6 by 0.4 of the run, then falls slowly.
    """
    return np.interp(run_fraction, [0.0, 0.25, 0.3, 0.4, 0.8, 1.0], [0.9, 0.5, 0.4, 1.6, 1.4, 0.7])


_RATE_FUNCTIONS: dict[Shape, Callable[[FloatArray, Traffic], FloatArray]] = {
    Shape.POISSON: _even_rate,
    Shape.RAMP: _ramp_rate,
    Shape.WAVE: _wave_rate,
    Shape.STEP: _step_rate,
    Shape.EVENING: _evening_rate,
}


# ---- plan generation ------------------------------------------------------------------------------


def generate_plan(traffic: Traffic) -> Plan:
    """Return a plan for this traffic; the same traffic always gives the same plan."""
    seeds = np.random.SeedSequence(traffic.seed).spawn(4)
    time_rng, class_rng, tenant_rng, key_rng = (np.random.default_rng(seed) for seed in seeds)
    at_s = _arrival_times(traffic, time_rng)
    count = len(at_s)
    key_frequencies = 1.0 / np.arange(1.0, traffic.keys + 1.0) ** traffic.zipf
    return Plan(
        at_s,
        _sample_indices(class_rng, [traffic_class.share for traffic_class in traffic.classes], count),
        _sample_indices(tenant_rng, [tenant.share for tenant in traffic.tenants], count),
        _sample_indices(key_rng, key_frequencies, count),
        traffic.classes,
        [tenant.name for tenant in traffic.tenants],
    )


def _arrival_times(traffic: Traffic, rng: np.random.Generator) -> FloatArray:
    """Return the arrival times in s since the start of the run.

    Poisson arrivals are sampled by inverting the cumulative rate.
    """
    mean_count = traffic.rate * traffic.seconds
    if traffic.shape == Shape.CONSTANT:
        return np.arange(int(mean_count + 0.5)) / traffic.rate
    run_fraction = np.linspace(0.0, 1.0, _RATE_GRID_POINTS)
    rate = _RATE_FUNCTIONS[traffic.shape](run_fraction, traffic)
    cumulative_rate = np.concatenate([[0.0], np.cumsum((rate[1:] + rate[:-1]) / 2.0)])
    quantiles = np.sort(rng.random(rng.poisson(mean_count)))
    return np.interp(quantiles, cumulative_rate / cumulative_rate[-1], run_fraction) * traffic.seconds


def _sample_indices(rng: np.random.Generator, shares: Sequence[float] | FloatArray, count: int) -> IntArray:
    """Return `count` random indices into `shares`, each as frequent as its share."""
    probabilities = np.asarray(shares)
    return rng.choice(len(probabilities), size=count, p=probabilities / probabilities.sum())

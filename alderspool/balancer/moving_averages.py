"""Moving sums, means and rates with exponential decay. The policies supply time constants and priors."""

from __future__ import annotations

from dataclasses import dataclass


class ClassMix:
    """Decaying request counts by class, and the share of each class at the last refresh."""

    def __init__(self, initial_counts: list[float]) -> None:
        self.counts = initial_counts
        self.shares: list[float] = []

    def refresh(self, decay: float) -> None:
        """Recompute the shares, then decay the counts."""
        total = sum(self.counts)
        self.shares = [count / total for count in self.counts]
        self.counts[:] = [count * decay for count in self.counts]


class MeansByClass:
    """A moving mean for each class, in which the previous mean counts as `prior_count` samples.

    A mean keeps its value while its decaying sample count is not above `min_count`.
    """

    def __init__(self, initial_means: list[float], prior_count: float, min_count: float) -> None:
        self.means = initial_means
        self._prior_count = prior_count
        self._min_count = min_count
        self._sums = [0.0] * len(initial_means)
        self._counts = [0.0] * len(initial_means)

    def record(self, index: int, value: float) -> None:
        """Add a sample for the class with this index."""
        self._sums[index] += value
        self._counts[index] += 1.0

    def refresh(self, decay: float) -> None:
        """Decay the samples and recompute the means."""
        self._sums[:] = [total * decay for total in self._sums]
        self._counts[:] = [count * decay for count in self._counts]
        for index, count in enumerate(self._counts):
            if count > self._min_count:
                prior_sum = self._prior_count * self.means[index]
                self.means[index] = (self._sums[index] + prior_sum) / (count + self._prior_count)


class DecayingSums:
    """A list of exponentially decaying sums."""

    def __init__(self, count: int) -> None:
        self.values = [0.0] * count

    def decay(self, factor: float) -> None:
        """Multiply all sums by the factor."""
        self.values[:] = [value * factor for value in self.values]


@dataclass(slots=True)
class WorkSums:
    """Decaying sums of the work of ended attempts, and of its slow and its late part."""

    ended: float = 0.0
    slow: float = 0.0
    late: float = 0.0

    def decay(self, factor: float) -> None:
        """Multiply all sums by the factor."""
        self.ended *= factor
        self.slow *= factor
        self.late *= factor


class ArrivalRate:
    """Moving average of an arrival rate per ms.

    Averages over `time_constant_ms`, or over the time observed so far while that is shorter.
    """

    def __init__(self, time_constant_ms: float) -> None:
        self.rate = 0.0
        self.since_refresh = 0.0  # amount that has arrived since the last refresh
        self.gain = 1.0  # smoothing factor at the last refresh
        self._time_constant_ms = time_constant_ms

    def refresh(self, observed_ms: float, elapsed_ms: float) -> None:
        """Update the rate with the amount that arrived during the last `elapsed_ms`."""
        self.gain = min(1.0, elapsed_ms / max(min(observed_ms, self._time_constant_ms), 1.0))
        self.rate += (self.since_refresh / elapsed_ms - self.rate) * self.gain
        self.since_refresh = 0.0

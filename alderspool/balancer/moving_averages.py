"""Moving statistics of the traffic. They choose nothing: memories and priors are given by the policy."""

from __future__ import annotations

from dataclasses import dataclass


class ClassMix:
    """Moving counts of the requests of each class, and their shares at the last refresh."""

    def __init__(self, initial_counts: list[float]) -> None:
        self.counts = initial_counts
        self.shares: list[float] = []

    def refresh(self, decay: float) -> None:
        """Take the shares, then decay the counts."""
        total = sum(self.counts)
        self.shares = [count / total for count in self.counts]
        self.counts[:] = [count * decay for count in self.counts]


class MeansByClass:
    """A moving mean for each class, which leans on its former value by `prior_count` samples."""

    def __init__(self, initial_means: list[float], prior_count: float, min_count: float) -> None:
        self.means = initial_means
        self._prior_count = prior_count
        self._min_count = min_count  # with fewer the mean stays as it is
        self._sums = [0.0] * len(initial_means)
        self._counts = [0.0] * len(initial_means)

    def record(self, index: int, value: float) -> None:
        """Take in a sample."""
        self._sums[index] += value
        self._counts[index] += 1.0

    def refresh(self, decay: float) -> None:
        """Fade the samples and rebuild the means."""
        self._sums[:] = [total * decay for total in self._sums]
        self._counts[:] = [count * decay for count in self._counts]
        for index, count in enumerate(self._counts):
            if count > self._min_count:
                prior_sum = self._prior_count * self.means[index]
                self.means[index] = (self._sums[index] + prior_sum) / (count + self._prior_count)


class DecayingSums:
    """Sums by index that decay."""

    def __init__(self, count: int) -> None:
        self.values = [0.0] * count

    def decay(self, factor: float) -> None:
        """Multiply all by the factor."""
        self.values[:] = [value * factor for value in self.values]


@dataclass(slots=True)
class WorkSums:
    """Fading sums of the work that ended, of what was slow of it, and of what was late."""

    ended: float = 0.0
    slow: float = 0.0
    late: float = 0.0

    def decay(self, factor: float) -> None:
        """Multiply all by the factor."""
        self.ended *= factor
        self.slow *= factor
        self.late *= factor


class ArrivalRate:
    """A moving rate per ms, averaged over the time known where that is shorter than the memory."""

    def __init__(self, memory_ms: float) -> None:
        self.rate = 0.0
        self.since_refresh = 0.0
        self.gain = 1.0  # of the moving average at the last refresh
        self._memory_ms = memory_ms

    def refresh(self, observed_ms: float, elapsed_ms: float) -> None:
        """Take in what has arrived in the time that has passed."""
        self.gain = min(1.0, elapsed_ms / max(min(observed_ms, self._memory_ms), 1.0))
        self.rate += (self.since_refresh / elapsed_ms - self.rate) * self.gain
        self.since_refresh = 0.0

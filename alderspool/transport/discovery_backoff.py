"""Exponential backoff with jitter between failed calls to discovery."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

MAX_DOUBLINGS = 7  # an unbounded power of two would overflow after a thousand failures


@dataclass(frozen=True, slots=True)
class JitteredBackoff:
    """Exponential backoff with equal jitter: each delay is drawn from the upper half of a range that doubles.

    All proxies may lose discovery at the same moment. Without jitter they would retry in synchronized waves.
    """

    initial_s: float
    max_s: float
    random: Random

    def delay_s(self, failures: int) -> float:
        """Return a random delay after `failures` consecutive failed calls.

        `failures` is 0 after the loss of an open watch; the delay is then the same as after a first failure.
        """
        doublings = max(min(failures - 1, MAX_DOUBLINGS), 0)
        max_delay_s = min(self.initial_s * 2.0**doublings, self.max_s)
        return max_delay_s * (0.5 + 0.5 * self.random.random())

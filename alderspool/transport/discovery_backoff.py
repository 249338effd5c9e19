"""Exponential backoff with jitter between calls to discovery that fail."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

MAX_DOUBLINGS = 7  # after a thousand failures the power would overflow


@dataclass(frozen=True, slots=True)
class JitteredBackoff:
    """The delays between failed calls; each is drawn from the upper half of a range that doubles.

    All proxies may lose discovery at the same moment. Without the draw they would call again in waves.
    """

    initial_s: float
    max_s: float
    random: Random

    def delay_s(self, failures: int) -> float:
        """Draw the delay after so many failed calls in a row.

        After the loss of an open watch there is no failed call yet: the delay is that after a first failure.
        """
        doublings = max(min(failures - 1, MAX_DOUBLINGS), 0)
        longest_s = min(self.initial_s * 2.0**doublings, self.max_s)
        return longest_s * (0.5 + 0.5 * self.random.random())

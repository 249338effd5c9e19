"""General containers. They choose nothing: every threshold is given by the policy that uses them."""

from __future__ import annotations

from collections import deque
from typing import TypeVar

Item = TypeVar("Item")


class SlidingWindowCount:
    """Counts events of the recent past. Times never run backwards."""

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count an event."""
        self._times.append(now)

    def count_since(self, start: float) -> int:
        """Return how many events were at or after `start`, and forget the earlier ones."""
        times = self._times
        while times and times[0] < start:
            times.popleft()
        return len(times)


def interleave_in_proportion(groups: list[list[Item]]) -> list[Item]:
    """Merge the groups so that each part of the result holds of each group in proportion to its size."""
    places = [
        ((rank + 0.5) / len(group), number, rank)
        for number, group in enumerate(groups)
        for rank in range(len(group))
    ]
    return [groups[number][rank] for _, number, rank in sorted(places)]


def bit_reversed(number: int, bits: int) -> int:
    """Return the number with its binary digits in reverse order: neighbours come to lie far apart."""
    return int(f"{number:0{bits}b}"[::-1], 2)

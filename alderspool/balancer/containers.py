"""General-purpose containers and ordering helpers, free of policy."""

from __future__ import annotations

from collections import deque
from typing import TypeVar

Item = TypeVar("Item")


class SlidingWindowCount:
    """Counts the events in a sliding time window of a given length. Times must not decrease."""

    __slots__ = ("_length", "_times")

    def __init__(self, length: float) -> None:
        self._length = length
        self._times: deque[float] = deque()

    def __len__(self) -> int:
        """Return the number of events that are kept: none from before the window."""
        return len(self._times)

    def add(self, now: float) -> None:
        """Record an event, and discard those that have left the window."""
        self._discard_before(now - self._length)
        self._times.append(now)

    def count_since(self, start: float) -> int:
        """Return the number of events at or after `start`, and discard the earlier ones."""
        self._discard_before(start)
        return len(self._times)

    def _discard_before(self, start: float) -> None:
        times = self._times
        while times and times[0] < start:
            times.popleft()


def interleave_in_proportion(groups: list[list[Item]]) -> list[Item]:
    """Merge the groups so that the items of each group are spread evenly over the whole result."""
    positions = [
        ((index + 0.5) / len(group), group_index, index)
        for group_index, group in enumerate(groups)
        for index in range(len(group))
    ]
    return [groups[group_index][index] for _, group_index, index in sorted(positions)]


def bit_reversed(number: int, bits: int) -> int:
    """Return the number with its `bits` binary digits reversed, which moves neighbours far apart."""
    return int(f"{number:0{bits}b}"[::-1], 2)

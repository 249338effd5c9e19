"""Virtual time for discrete-event models. Callbacks due at the same time run in order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class VirtualTime:
    """A clock in milliseconds that advances from one scheduled callback to the next."""

    def __init__(self, start_ms: float) -> None:
        self.now_ms = start_ms
        self._sequence = 0
        self._scheduled: list[tuple[float, int, Callable[[], None]]] = []

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after this delay."""
        self._sequence += 1
        heapq.heappush(self._scheduled, (self.now_ms + delay_ms, self._sequence, callback))

    def run(self, duration_ms: float) -> None:
        """Advance by this duration, and run all callbacks that become due."""
        end_ms = self.now_ms + duration_ms
        while self._scheduled and self._scheduled[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._scheduled)
            callback()
        self.now_ms = end_ms

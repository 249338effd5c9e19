"""The one clock: monotonic milliseconds, anchored once to Unix time."""

from __future__ import annotations

import time


class Clock:
    """Never runs backwards, and reads Unix time as of its start.

    So discovery's `since_ms` needs no conversion that could wander: a second reading of the
    offset would differ by a jitter that looks like a restart of the machine.
    """

    def __init__(self) -> None:
        self._offset_ms = (time.time() - time.monotonic()) * 1000.0

    def now(self) -> float:
        return time.monotonic() * 1000.0 + self._offset_ms

    def loop_time(self, at_ms: float) -> float:
        """The same moment on the event loop's clock, in seconds."""
        return (at_ms - self._offset_ms) / 1000.0

"""The clock used throughout the proxy: monotonic milliseconds with a fixed offset to Unix time."""

from __future__ import annotations

from time import monotonic, time

MS_PER_S = 1000.0


class Clock:
    """A monotonic clock in milliseconds that matches Unix time when it is created.

    Discovery sends the start times of endpoints (`since_ms`) in Unix time, so they can be compared with this
    clock without conversion. The offset between monotonic and Unix time is computed only once: another
    computation would differ by some jitter, and a changed start time looks like a restart of the endpoint.
    """

    def __init__(self) -> None:
        """Set the clock to the current Unix time."""
        self._offset_ms = (time() - monotonic()) * MS_PER_S

    def now(self) -> float:
        """Return the current time in milliseconds."""
        return monotonic() * MS_PER_S + self._offset_ms

    def loop_time(self, at_ms: float) -> float:
        """Convert a time of this clock to the event loop's clock, in seconds."""
        return (at_ms - self._offset_ms) / MS_PER_S

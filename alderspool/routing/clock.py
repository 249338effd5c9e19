"""The one clock of the proxy: monotonic milliseconds, anchored once to Unix time."""

from __future__ import annotations

from time import monotonic, time

MS_PER_S = 1000.0


class Clock:
    """A clock that never runs backwards and reads Unix time as of its creation, in milliseconds.

    Discovery states start times of endpoints (`since_ms`) in Unix time. They need no conversion on this
    clock. The offset is read once: a second reading would differ by some jitter, and a start time that
    moves looks like a restart of the endpoint.
    """

    def __init__(self) -> None:
        """Anchor the clock to the current Unix time."""
        self._offset_ms = (time() - monotonic()) * MS_PER_S

    def now(self) -> float:
        """Return the current time in milliseconds."""
        return monotonic() * MS_PER_S + self._offset_ms

    def loop_time(self, at_ms: float) -> float:
        """Return the same moment on the event loop's clock, in seconds."""
        return (at_ms - self._offset_ms) / MS_PER_S

"""Signals that come while the program is still loading: remembered, and obeyed once it can."""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType

NUMBERS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class EarlySignals:
    """From its making on none of `NUMBERS` ends the program; what came is kept, each once.

    Before it is made, SIGTERM ends the program, which has taken nothing yet. SIGHUP would too, and that is
    a crash: so `__main__` and `run` in the deploy file have it ignored from the first moment on. Nothing is
    missed by that, the configuration is read later.
    """

    def __init__(self) -> None:
        self._came: set[int] = set()
        for number in NUMBERS:
            signal.signal(number, self._keep)

    def _keep(self, number: int, frame: FrameType | None) -> None:
        self._came.add(number)

    def hand_over(self, obey: dict[int, Callable[[], None]]) -> None:
        """Calls, in the order given, what obeys each signal that came. The handlers that take the place
        of ours have to be in force already, or one could come between."""
        for number, act in obey.items():
            if number in self._came:
                self._came.discard(number)
                act()

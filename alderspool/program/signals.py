"""Signals that arrive while the program is still loading: recorded, and handled once it can."""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping
from types import FrameType

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

SignalAction = Callable[[], None]


class EarlySignals:
    """Records each of `HANDLED_SIGNALS` that arrives until the event loop handles them.

    Once this object is made, none of these signals ends the process; a signal that arrives several times is
    recorded once. Before that, SIGTERM ends the process, which has accepted nothing yet. SIGHUP would end it
    too, and that would be a crash: so `__main__` and `run` in `deploy/balancer.toml` have SIGHUP ignored from
    the first moment. No reload is lost by that, because the configuration is read later.
    """

    def __init__(self) -> None:
        self._received: set[int] = set()
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._record)

    def _record(self, number: int, frame: FrameType | None) -> None:
        self._received.add(number)

    def replay(self, actions: Mapping[signal.Signals, SignalAction]) -> None:
        """Run the action of each recorded signal once, in the order of `actions`.

        The handlers that replace ours have to be installed before this call: a signal between the two would
        be recorded and never handled.
        """
        for number, action in actions.items():
            if number in self._received:
                self._received.discard(number)
                action()

"""Records the signals that arrive before the event loop can handle them."""

from __future__ import annotations

import signal
from collections.abc import Callable, Mapping
from types import FrameType

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

SignalHandler = Callable[[], None]


class StartupSignals:
    """Records each of `HANDLED_SIGNALS` that arrives until the event loop handles them.

    Creating the object installs its signal handlers; from then on none of these signals ends the process. A
    signal that arrives several times is recorded once.

    Before that, SIGTERM ends the process, which has not accepted any connection yet. SIGHUP would end it too,
    which would be a crash, so `__main__` and the `run` command in `deploy/balancer.toml` ignore SIGHUP from
    the start of the process. No reload is lost by that, because the configuration is read later.
    """

    def __init__(self) -> None:
        self._received: set[int] = set()
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._record)

    def _record(self, number: int, frame: FrameType | None) -> None:
        self._received.add(number)

    def replay(self, handlers: Mapping[signal.Signals, SignalHandler]) -> None:
        """Call the handler of each recorded signal once, in the order of `handlers`.

        The handlers must be installed in the event loop before this call: a signal that arrived after the
        replay and before their installation would be recorded but never handled.
        """
        for number, handler in handlers.items():
            if number in self._received:
                self._received.discard(number)
                handler()

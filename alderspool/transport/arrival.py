"""How long bytes have waited in the system before the program saw them. Deadlines count from their arrival.

Two sources: the kernel's own word for one socket (TCP_INFO), which is exact, and what the event loop's waits
prove of the accept queue, which is an upper bound. Sockets only: what the figures mean for a request is
decided by the exchange.
"""

from __future__ import annotations

import selectors
import socket
import struct
import time
from collections import deque
from collections.abc import Callable

# struct tcp_info of Linux: eight bytes, the first of them the state, then 32-bit fields.
TCP_INFO_SIZE_BYTES = 104
LAST_DATA_RECEIVED_OFFSET_BYTES = 52  # tcpi_last_data_recv, in ms
TCP_INFO_OPTION = getattr(socket, "TCP_INFO", None)
# A wait that lasted so long began with nothing to report: it ended as its first event came.
SHORTEST_WAIT_S = 0.001


def last_data_age_ms(connection: socket.socket) -> float | None:
    """How long ago the last bytes arrived on it, read or not; before any, how long ago it was established.
    None where the system does not tell, or the socket is closed. A listening socket has some figure too."""
    if TCP_INFO_OPTION is None:
        return None
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, TCP_INFO_OPTION, TCP_INFO_SIZE_BYTES)
    except OSError:
        return None
    if len(info) < LAST_DATA_RECEIVED_OFFSET_BYTES + 4 or info[0] == 0:  # no socket has the state 0
        return None
    (age_ms,) = struct.unpack_from("=I", info, LAST_DATA_RECEIVED_OFFSET_BYTES)
    return float(age_ms)


class TimedSelector(selectors.DefaultSelector):
    """The event loop's selector. It knows since when an event of its latest report can have been pending."""

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        self._last_return_s = clock()
        self.report_number = 0
        self.has_waited = False  # nothing was pending as the latest call began
        self.earliest_arrival_s = self._last_return_s

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        called_s = self._clock()
        events = super().select(timeout)
        returned_s = self._clock()
        self.has_waited = returned_s - called_s >= SHORTEST_WAIT_S
        # What was pending at the report before was in that report.
        self.earliest_arrival_s = returned_s if self.has_waited else self._last_return_s
        self._last_return_s = returned_s
        self.report_number += 1
        return events


class AcceptQueueAge:
    """An upper bound of the time that a connection accepted now has been in the accept queue.

    A connection came after the last report of the selector in which the listening socket was not ready. And
    the queue is first in, first out: with `capacity` accepted since some moment, whoever was queued at that
    moment has been accepted."""

    def __init__(self, selector: TimedSelector, capacity: int) -> None:
        self._selector = selector
        self._accepted_at_s: deque[float] = deque(maxlen=capacity)
        self._last_report_number = 0
        self._is_watched = True
        self._not_empty_since_s = selector.earliest_arrival_s

    def accepted(self, now_s: float) -> float:
        """To be called for each connection accepted, one in a report of the selector. The bound, in ms."""
        report_number = self._selector.report_number
        was_empty = self._selector.has_waited or report_number > self._last_report_number + 1
        if was_empty and self._is_watched:
            self._not_empty_since_s = self._selector.earliest_arrival_s
        self._is_watched = True
        self._last_report_number = report_number
        earliest_s = self._not_empty_since_s
        if len(self._accepted_at_s) == self._accepted_at_s.maxlen:
            earliest_s = max(earliest_s, self._accepted_at_s[0])
        self._accepted_at_s.append(now_s)
        return max(now_s - earliest_s, 0.0) * 1000.0

    def accepting_paused(self) -> None:
        """To be called as the selector stops watching the listening socket: its reports do not say then that
        the queue is empty."""
        self._is_watched = False

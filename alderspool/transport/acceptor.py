"""Accepts client connections from the listening socket, one at a time and within the descriptor budget.

What happens on a connection afterwards is decided by the callback that is given its streams.
"""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from alderspool.transport.arrival import AcceptQueueAge, TimedSelector
from alderspool.transport.connection_rejection import ConnectionRejector
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.limited_log import FirstWarningLog
from alderspool.transport.streams import CountingReader, has_input

ACCEPT_QUEUE_LENGTH = 1024
# The accept queue holds one connection more than its stated length.
ACCEPT_QUEUE_CAPACITY = ACCEPT_QUEUE_LENGTH + 1
# What the system buffers of a connection, and the stream after it: hundreds of clients that send at full
# speed must not fill the memory before the first request of each has been processed.
INPUT_LIMIT_BYTES = 16 * 1024
ACCEPT_RETRY_DELAY_S = 0.01
MIN_QUEUE_WAIT_MS = 5.0  # a shorter time in the accept queue is taken for none

# Called with the earliest arrival of the first bytes, the reader and the writer as a connection is made; the
# coroutine that it returns runs as a task.
ConnectionCallback = Callable[
    [float | None, asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]
]


def open_socket(host: str, port: int) -> socket.socket:
    """Return a socket bound to an address, not listening yet. Raises OSError."""
    listening_socket = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, INPUT_LIMIT_BYTES)
    listening_socket.setblocking(False)
    listening_socket.bind((host, port))
    return listening_socket


class Acceptor:
    """Owns the accepting and the connections that are being set up.

    Each connection accepted is counted in `budget`; the coroutine of `on_connection` has to release it.
    `selector`: the event loop's, to bound the time in the accept queue; None: no bound is known.
    """

    def __init__(
        self,
        budget: DescriptorBudget,
        rejector: ConnectionRejector,
        selector: TimedSelector | None,
        on_connection: ConnectionCallback,
        log: FirstWarningLog,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._budget = budget
        self._rejector = rejector
        self._queue_age = AcceptQueueAge(selector, ACCEPT_QUEUE_CAPACITY) if selector is not None else None
        self._on_connection = on_connection
        self._log = log
        self._socket: socket.socket
        self._is_accepting = False
        self._setups: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Return how many connections are accepted and not set up yet."""
        return len(self._setups)

    def start(self, listening_socket: socket.socket) -> None:
        """Accept connections of a socket that is listening."""
        self._socket = listening_socket
        self._is_accepting = True
        self._resume()

    def stop(self) -> None:
        """Accept what is in the accept queue, then stop: the system would reset it with the socket."""
        self._loop.remove_reader(self._socket)
        while self._accept_one():
            pass
        self._is_accepting = False

    def _resume(self) -> None:
        if self._is_accepting:
            self._loop.add_reader(self._socket, self._accept_one)

    def _accept_one(self) -> bool:
        """Accept one connection and count it at once; return whether there was one.

        A server that accepts all that is queued in one go is over the descriptor limit before the first one
        is counted, and blocks the event loop meanwhile.
        """
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False  # disconnected in the queue
        except OSError as fault:  # the system has run out of something
            self._log.warn(f"accepting failed: {fault}")
            self._pause()
            return False
        earliest_arrival_s = self._earliest_arrival_s(connection)
        if not self._budget.try_make_room():
            self._log.warn("descriptor budget exhausted: client connections are rejected")
            self._rejector.reject(connection)
            return True
        self._budget.acquire()
        task = self._loop.create_task(self._set_up(connection, earliest_arrival_s))
        self._setups.add(task)
        task.add_done_callback(self._setups.discard)
        return True

    def _pause(self) -> None:
        if not self._is_accepting:
            return
        self._loop.remove_reader(self._socket)
        if self._queue_age is not None:
            self._queue_age.accepting_paused()
        self._loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume)

    def _earliest_arrival_s(self, connection: socket.socket) -> float | None:
        """Return when the bytes that are there already may have arrived at the earliest.

        None: there are none, or the connection was not in the accept queue for long.
        """
        if self._queue_age is None:
            return None
        now_s = self._loop.time()
        longest_wait_ms = self._queue_age.accepted(now_s)
        if longest_wait_ms < MIN_QUEUE_WAIT_MS or not has_input(connection):
            return None
        return now_s - longest_wait_ms / 1000.0

    async def _set_up(self, connection: socket.socket, earliest_arrival_s: float | None) -> None:
        connection.setblocking(False)
        reader = CountingReader(limit=INPUT_LIMIT_BYTES, loop=self._loop)
        on_connection = functools.partial(self._on_connection, earliest_arrival_s)
        protocol = asyncio.StreamReaderProtocol(reader, on_connection, loop=self._loop)
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, connection)
        except OSError:
            connection.close()
            self._budget.release()

"""Accepts client connections from the listening socket, a few at a time and within the descriptor budget.

An accepted connection is handed to a callback, which serves it.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from alderspool.transport.connection_rejection import ConnectionRejector
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.limited_log import FirstWarningLog
from alderspool.transport.streams import CountingReader

ACCEPT_QUEUE_LENGTH = 1024
# Size of a connection's kernel receive buffer, and limit of its stream reader: hundreds of clients that send
# at full speed must not fill the memory before the first request of each has been processed.
RECEIVE_BUFFER_BYTES = 16 * 1024
ACCEPT_RETRY_DELAY_S = 0.01
# Connections accepted in one iteration of the event loop, so that a client behind many others in the queue
# does not wait for an iteration for each of them.
ACCEPTS_PER_ITERATION = 8

# Called for each new connection. The returned coroutine is run as a task.
ConnectionCallback = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]


def open_socket(host: str, port: int) -> socket.socket:
    """Return a non-blocking socket that is bound to an address and not listening yet. Raises OSError."""
    listening_socket = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listening_socket.setblocking(False)
    listening_socket.bind((host, port))
    return listening_socket


class Acceptor:
    """Accepts connections, and owns them until their streams are set up.

    Each accepted connection is counted in `budget`; the coroutine returned by `on_connection` has to release
    it.
    """

    def __init__(
        self,
        budget: DescriptorBudget,
        rejector: ConnectionRejector,
        on_connection: ConnectionCallback,
        log: FirstWarningLog,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._budget = budget
        self._rejector = rejector
        self._on_connection = on_connection
        self._log = log
        self._socket: socket.socket
        self._is_accepting = False
        self._setup_tasks: set[asyncio.Task[None]] = set()

    def __len__(self) -> int:
        """Return the number of connections that have been accepted but not set up yet."""
        return len(self._setup_tasks)

    def start(self, listening_socket: socket.socket) -> None:
        """Start accepting connections from a listening socket."""
        self._socket = listening_socket
        self._is_accepting = True
        self._resume()

    def stop(self) -> None:
        """Accept everything in the accept queue, then stop: closing the socket would reset what is queued."""
        self._loop.remove_reader(self._socket)
        while self._accept_one():
            pass
        self._is_accepting = False

    def _resume(self) -> None:
        if self._is_accepting:
            self._loop.add_reader(self._socket, self._accept_some)

    def _accept_some(self) -> None:
        """Accept a few connections: accepting the whole queue in one go would block the event loop.

        If one has to be evicted, only one is accepted, since its descriptor is freed in the next iteration.
        """
        for _ in range(ACCEPTS_PER_ITERATION):
            must_evict = self._budget.is_exhausted
            if not self._accept_one() or must_evict:
                return

    def _accept_one(self) -> bool:
        """Accept one connection and count it at once; return whether there was one."""
        try:
            connection, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False  # the queue is empty, or the client disconnected while queued
        except OSError as error:  # out of descriptors or memory
            self._log.warn(f"accepting failed: {error}")
            self._pause()
            return False
        if not self._budget.try_make_room():
            self._log.warn("descriptor budget exhausted: client connections are rejected")
            self._rejector.reject(connection)
            return True
        self._budget.acquire()
        task = self._loop.create_task(self._set_up(connection))
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)
        return True

    def _pause(self) -> None:
        if not self._is_accepting:
            return
        self._loop.remove_reader(self._socket)
        self._loop.call_later(ACCEPT_RETRY_DELAY_S, self._resume)

    async def _set_up(self, connection: socket.socket) -> None:
        connection.setblocking(False)
        reader = CountingReader(limit=RECEIVE_BUFFER_BYTES, loop=self._loop)
        protocol = asyncio.StreamReaderProtocol(reader, self._on_connection, loop=self._loop)
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, connection)
        except OSError:
            connection.close()
            self._budget.release()

"""The client side of the transport: creates its components, and starts and stops them.

`acceptor` accepts connections, `connection_table` owns them, `request_loop` serves each of them, and
`connection_rejection` rejects those for which there is no descriptor.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Coroutine
from typing import Any

from alderspool.protocol.request_reader import RequestReader
from alderspool.routing.exchange import Exchange
from alderspool.transport.acceptor import ACCEPT_QUEUE_LENGTH, Acceptor, open_socket
from alderspool.transport.client_connection import ClientConnection
from alderspool.transport.connection_rejection import ConnectionRejector
from alderspool.transport.connection_table import ConnectionTable
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.limited_log import FirstWarningLog
from alderspool.transport.memory_budget import MemoryBudget
from alderspool.transport.request_loop import RequestLoop
from alderspool.transport.streams import CountingReader, limit_read_size

# Limit on keep-alive connections, as a share of the client side's descriptors. While more connections have
# submitted a request, a connection is closed after its response.
KEEP_ALIVE_SHARE = 0.33


class Listener:
    """Accepts and serves clients. Must be created in a running event loop.

    The program calls `bind` and `start_accepting`. To shut down, it calls `start_draining`, after a while
    `stop_accepting`, then `close_idle` and `reject_incomplete` until `open_count` is 0, and `abort_all` if
    time runs out.
    """

    def __init__(
        self,
        exchange: Exchange,
        request_reader: RequestReader,
        budget: DescriptorBudget,
        memory_mb: float,
    ) -> None:
        """Create a listener; `memory_mb` is the memory limit of the process, in units of 1,000,000 bytes."""
        loop = asyncio.get_running_loop()
        log = FirstWarningLog()
        self._socket: socket.socket
        memory = MemoryBudget.of(memory_mb, max_connections=budget.fraction_of_limit(1.0))
        self._table = ConnectionTable(loop, budget.fraction_of_limit(KEEP_ALIVE_SHARE), memory)
        self._request_loop = RequestLoop(exchange, request_reader, self._table, budget, log)
        self._rejector = ConnectionRejector(loop)
        self._acceptor = Acceptor(budget, self._rejector, self._on_connection, log)
        budget.set_evictor(self._table.evict_one)

    def bind(self, host: str, port: int) -> None:
        """Bind the listening socket; port 0 picks a free one. Raises OSError."""
        self._socket = open_socket(host, port)

    def start_accepting(self) -> None:
        """Start listening and accepting connections."""
        self._socket.listen(ACCEPT_QUEUE_LENGTH)
        self._request_loop.detect_tcp_info(self._socket)
        self._acceptor.start(self._socket)
        self._table.check_timeouts()

    @property
    def port(self) -> int:
        """The port of the listening socket."""
        port: int = self._socket.getsockname()[1]
        return port

    @property
    def exceeds_keep_alive_limit(self) -> bool:
        """Whether connections are closed after a response because too many clients keep theirs open."""
        return self._table.exceeds_keep_alive_limit

    @property
    def open_count(self) -> int:
        """The number of connections that may still be read or have unsent data."""
        return len(self._table) + len(self._acceptor) + len(self._rejector)

    def _on_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> Coroutine[Any, Any, None]:
        """Add a new connection at once, so that draining includes it before it is first read."""
        assert isinstance(reader, CountingReader)
        limit_read_size(writer)
        connection = ClientConnection(self._table, reader, writer)
        self._table.add(connection)
        return self._request_loop.serve(connection)

    # ---- shutdown ----------------------------------------------------------------------------------

    def start_draining(self) -> None:
        """Close each connection after its next response. New connections are still accepted."""
        self._table.is_draining = True

    def stop_accepting(self) -> None:
        """Close the listening socket, after accepting everything in its accept queue."""
        self._acceptor.stop()
        self._socket.close()
        self._table.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections, except those that have just been accepted.

        Connections with a request stay open until their response has been sent.
        """
        self._table.close_idle()

    def reject_incomplete(self) -> None:
        """Close the idle connections, and reject requests that have been received only in part."""
        self._table.reject_incomplete()

    def abort_all(self) -> None:
        """Close all connections at once, and discard responses that clients have not read."""
        self._table.abort_all()
        self._rejector.abort_all()

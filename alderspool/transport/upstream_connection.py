"""One connection to an endpoint: its state, and the attempt that it carries.

What belongs here: the states of a connection and what each change of state does to the connection and its
attempt. What does not: which connection carries which attempt (`idle_connections.py`), and when to connect,
write and read (`upstream_pool.py`).
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final, TypeAlias

from alderspool.balancer.events import EndpointId
from alderspool.protocol.duplicate_responses import ResponseFingerprint
from alderspool.protocol.http_client import HttpClientCodec
from alderspool.protocol.upstream import upstream_codec
from alderspool.routing.messages import Attempt
from alderspool.transport.streams import CountingReader, is_open_without_input


class ConnectionState(Enum):
    """What a connection can do next."""

    CONNECTED = auto()  # nothing has been written yet
    ACTIVE = auto()  # an attempt has been written, its response is not complete
    IDLE = auto()  # the last response was complete; the connection may carry another attempt
    CLOSED = auto()  # carries no further attempt; the socket is closed, or will be as its reading task ends


@dataclass(frozen=True, slots=True)
class Transition:
    """A change of state: the states in which it is allowed, and the one that it leads to."""

    sources: tuple[ConnectionState, ...]
    target: ConnectionState


# Kept as constants: CPython 3.11 takes a Python call for each access to a member of an enum, and another for
# each hash of one, and two transitions are made for each attempt.
WRITE_ATTEMPT: Final = Transition((ConnectionState.CONNECTED, ConnectionState.IDLE), ConnectionState.ACTIVE)
BECOME_IDLE: Final = Transition((ConnectionState.ACTIVE,), ConnectionState.IDLE)
RETIRE: Final = Transition((ConnectionState.ACTIVE,), ConnectionState.CLOSED)
# Closing twice is normal: the pool closes an idle connection, then its reading task ends.
CLOSE: Final = Transition(tuple(ConnectionState), ConnectionState.CLOSED)


class InvalidTransitionError(RuntimeError):
    """A change of state that the table does not allow: a fault in this program, not of an endpoint."""


class UpstreamConnection:
    """One connection to an endpoint. It carries one attempt at a time: `attempt` is set while ACTIVE.

    Owned by the reading task of the pool, which closes it as it ends.
    """

    __slots__ = (
        "attempt",
        "codec",
        "endpoint",
        "host",
        "idle_since_s",
        "last_fingerprint",
        "port",
        "reader",
        "state",
        "writer",
    )

    def __init__(
        self,
        endpoint: EndpointId,
        host: str,
        port: int,
        reader: CountingReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.endpoint = endpoint
        self.host = host
        self.port = port
        self.reader = reader
        self.writer = writer
        self.codec: HttpClientCodec = upstream_codec()
        self.state = ConnectionState.CONNECTED
        self.attempt: Attempt | None = None
        self.idle_since_s = 0.0  # the event loop's clock, as the last response was complete
        self.last_fingerprint: ResponseFingerprint | None = None

    def is_open_without_input(self) -> bool:
        """Whether the connection is open and nothing unread has arrived on it."""
        return is_open_without_input(self.reader, self.writer)

    def write_attempt(self, attempt: Attempt, data: bytes) -> None:
        """Hand the whole request over to the system: CONNECTED or IDLE to ACTIVE.

        From here on the attempt may be executed, whatever becomes of the connection.
        """
        self._change_state(WRITE_ATTEMPT)
        self.attempt = attempt
        attempt.transport_handle = self
        attempt.written = True
        self.writer.write(data)

    def become_idle(self, now_s: float) -> None:
        """Detach the attempt, whose response is complete: ACTIVE to IDLE. `now_s`: the event loop's clock."""
        self._change_state(BECOME_IDLE)
        self._detach_attempt()
        self.idle_since_s = now_s

    def retire(self) -> None:
        """Detach the attempt; the reading task ends next and closes the socket: ACTIVE to CLOSED."""
        self._change_state(RETIRE)
        self._detach_attempt()

    def close(self) -> None:
        """Detach the attempt, if there is one, and close the socket at once: any state to CLOSED."""
        self._change_state(CLOSE)
        self._detach_attempt()
        self.writer.transport.abort()

    def _detach_attempt(self) -> None:
        if self.attempt is not None:
            self.attempt.transport_handle = None
            self.attempt = None

    def _change_state(self, transition: Transition) -> None:
        if self.state not in transition.sources:
            raise InvalidTransitionError(
                f"connection to {self.host}:{self.port}: {self.state.name} to {transition.target.name}"
            )
        self.state = transition.target


# What `Attempt.transport_handle` holds: the task that connects, then the connection that carries the attempt.
TransportHandle: TypeAlias = asyncio.Task[None] | UpstreamConnection | None

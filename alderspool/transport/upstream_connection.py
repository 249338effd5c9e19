"""One connection to an endpoint: its state, and the attempt that it carries.

Contains the states of a connection and the effects of each state change on the connection and its attempt.
`idle_connections.py` selects the connection for an attempt; `upstream_pool.py` connects, writes and reads.
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
    """State of a connection."""

    CONNECTED = auto()  # established, nothing written yet
    ACTIVE = auto()  # an attempt has been written and its response is incomplete
    IDLE = auto()  # the last response is complete; the connection may carry another attempt
    CLOSED = auto()  # carries no further attempt; the socket is closed, or will be when its reading task ends


@dataclass(frozen=True, slots=True)
class Transition:
    """A state change: the states in which it is allowed, and the resulting state."""

    sources: tuple[ConnectionState, ...]
    target: ConnectionState


# Module constants, to avoid the cost of enum members on the hot path: in CPython 3.11 each access to a member
# and each hash of one is a Python call, and every attempt makes two transitions.
WRITE_ATTEMPT: Final = Transition((ConnectionState.CONNECTED, ConnectionState.IDLE), ConnectionState.ACTIVE)
BECOME_IDLE: Final = Transition((ConnectionState.ACTIVE,), ConnectionState.IDLE)
RETIRE: Final = Transition((ConnectionState.ACTIVE,), ConnectionState.CLOSED)
# Closing twice is normal: the pool closes an idle connection, then its reading task ends.
CLOSE: Final = Transition(tuple(ConnectionState), ConnectionState.CLOSED)


class InvalidTransitionError(RuntimeError):
    """A state change that the transitions do not allow: a bug in this program, not an endpoint failure."""


class UpstreamConnection:
    """One connection to an endpoint, which carries one attempt at a time; `attempt` is set while ACTIVE.

    Owned by its reading task in the pool, which closes it on exit.
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
        self.idle_since_s = 0.0  # event loop time at which the last response was completed
        self.last_fingerprint: ResponseFingerprint | None = None

    def is_open_without_input(self) -> bool:
        """Whether the connection is open and has no unread input."""
        return is_open_without_input(self.reader, self.writer)

    def write_attempt(self, attempt: Attempt, data: bytes) -> None:
        """Write the complete request to the transport: CONNECTED or IDLE to ACTIVE.

        From now on the endpoint may execute the attempt, even if the connection fails.
        """
        self._change_state(WRITE_ATTEMPT)
        self.attempt = attempt
        attempt.transport_handle = self
        attempt.written = True
        self.writer.write(data)

    def become_idle(self, now_s: float) -> None:
        """Detach the attempt, whose response is complete: ACTIVE to IDLE. `now_s` is the event loop time."""
        self._change_state(BECOME_IDLE)
        self._detach_attempt()
        self.idle_since_s = now_s

    def retire(self) -> None:
        """Detach the attempt: ACTIVE to CLOSED. The reading task ends next and closes the socket."""
        self._change_state(RETIRE)
        self._detach_attempt()

    def close(self) -> None:
        """Detach the attempt, if there is one, and close the socket immediately: any state to CLOSED."""
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


# The type of `Attempt.transport_handle`: the connecting task, then the connection that carries the attempt.
TransportHandle: TypeAlias = asyncio.Task[None] | UpstreamConnection | None

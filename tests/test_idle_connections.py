"""Selection, eviction and expiry of idle connections, and the states of a connection. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from types import SimpleNamespace

import pytest

from alderspool.protocol.duplicate_responses import (
    DUPLICATE_WINDOW_S,
    MIN_DISTINCT_RESPONSES,
    DuplicateResponseDetector,
)
from alderspool.routing.messages import Attempt
from alderspool.transport.idle_connections import IdleConnections, ReuseSelection
from alderspool.transport.upstream_connection import (
    ConnectionState,
    InvalidTransitionError,
    UpstreamConnection,
)

HOST = "10.0.0.1"
PORT = 3000
IDLE_TIMEOUT_S = 6.0
NOW_S = 100.0


@dataclass(eq=False)
class FakeConnection:
    """An idle connection without a socket: the properties that the selection reads."""

    idle_since_s: float = NOW_S - 1.0
    endpoint: bytes = b"s1"
    host: str = HOST
    port: int = PORT
    last_fingerprint: int | None = 1
    open_without_input: bool = True

    def is_open_without_input(self) -> bool:
        return self.open_without_input


def make_idle(
    *connections: FakeConnection, responses_differ: bool = False
) -> IdleConnections[FakeConnection]:
    duplicates = DuplicateResponseDetector()
    if responses_differ:
        for number in range(MIN_DISTINCT_RESPONSES):
            duplicates.is_duplicate(number, number + 1, DUPLICATE_WINDOW_S)
    idle: IdleConnections[FakeConnection] = IdleConnections(IDLE_TIMEOUT_S, duplicates)
    for connection in connections:
        idle.add(connection)
    return idle


# ---- the selection for an attempt ---------------------------------------------------------------------


def test_selects_nothing_for_an_endpoint_without_connections() -> None:
    idle = make_idle(FakeConnection(endpoint=b"s2"))
    assert idle.select(b"s1", HOST, PORT, NOW_S) == ReuseSelection(None, [])


def test_selects_the_most_recently_used_connection_and_removes_nothing() -> None:
    older, newer = FakeConnection(NOW_S - 2.0), FakeConnection(NOW_S - 1.0)
    idle = make_idle(older, newer)
    assert idle.select(b"s1", HOST, PORT, NOW_S) == ReuseSelection(newer, [])
    assert idle.for_endpoint(b"s1") == [older, newer]


@pytest.mark.parametrize(
    "unusable",
    [
        FakeConnection(open_without_input=False),
        FakeConnection(host="10.0.0.2"),
        FakeConnection(port=PORT + 1),
        FakeConnection(NOW_S - IDLE_TIMEOUT_S),
        FakeConnection(NOW_S, open_without_input=False),  # a duplicate may still arrive
    ],
    ids=[
        "unread-input-or-closed",
        "other-host",
        "other-port",
        "idle-timeout",
        "unread-input-in-duplicate-window",
    ],
)
def test_closes_an_unusable_connection_and_reuses_the_next(unusable: FakeConnection) -> None:
    usable = FakeConnection(NOW_S - IDLE_TIMEOUT_S + 0.001)
    idle = make_idle(usable, unusable)
    assert idle.select(b"s1", HOST, PORT, NOW_S) == ReuseSelection(usable, [unusable])


def test_does_not_check_connections_idle_for_longer_than_the_selected_one() -> None:
    unusable, usable = FakeConnection(NOW_S - 2.0, open_without_input=False), FakeConnection()
    assert make_idle(unusable, usable).select(b"s1", HOST, PORT, NOW_S) == ReuseSelection(usable, [])


def test_closes_all_unusable_connections_most_recently_used_first() -> None:
    older, newer = FakeConnection(open_without_input=False), FakeConnection(open_without_input=False)
    assert make_idle(older, newer).select(b"s1", HOST, PORT, NOW_S) == ReuseSelection(None, [newer, older])


def test_leaves_a_connection_idle_while_a_duplicate_may_still_arrive() -> None:
    older, recent = FakeConnection(), FakeConnection(NOW_S - DUPLICATE_WINDOW_S / 2)
    idle = make_idle(older, recent)
    assert idle.select(b"s1", HOST, PORT, NOW_S) == ReuseSelection(older, [])
    idle.discard(older)
    assert idle.select(b"s1", HOST, PORT, NOW_S) == ReuseSelection(None, [])
    assert idle.select(b"s1", HOST, PORT, NOW_S + DUPLICATE_WINDOW_S) == ReuseSelection(recent, [])


@pytest.mark.parametrize(
    ("last_fingerprint", "is_reused"), [(1, True), (None, False)], ids=["fingerprint", "no-fingerprint"]
)
def test_reuses_a_connection_immediately_if_a_duplicate_would_be_recognised(
    last_fingerprint: int | None, is_reused: bool
) -> None:
    recent = FakeConnection(NOW_S, last_fingerprint=last_fingerprint)
    idle = make_idle(recent, responses_differ=True)
    assert idle.select(b"s1", HOST, PORT, NOW_S) == ReuseSelection(recent if is_reused else None, [])


# ---- eviction and expiry ------------------------------------------------------------------------------


def test_evicts_the_longest_idle_connection_of_all_endpoints_first() -> None:
    connections = [FakeConnection(NOW_S - 5.0 + n, endpoint=b"s%d" % (n % 3)) for n in range(5)]
    idle = make_idle(*connections)
    evicted = []
    while (connection := idle.longest_idle()) is not None:
        evicted.append(connection)
        idle.discard(connection)
    assert evicted == connections
    assert len(idle) == 0
    assert all(idle.for_endpoint(b"s%d" % n) == [] for n in range(3))


def test_a_connection_that_is_idle_again_is_evicted_last() -> None:
    first, second = FakeConnection(endpoint=b"s1"), FakeConnection(endpoint=b"s2")
    idle = make_idle(first, second)
    idle.discard(first)
    idle.add(first)
    assert idle.longest_idle() is second


def test_expires_connections_at_the_idle_timeout_longest_idle_first() -> None:
    ages_s = [IDLE_TIMEOUT_S + 1.0, IDLE_TIMEOUT_S, IDLE_TIMEOUT_S - 0.001]
    connections = [FakeConnection(NOW_S - age_s, endpoint=b"s%d" % n) for n, age_s in enumerate(ages_s)]
    assert make_idle(*connections).expired(NOW_S) == connections[:2]


def test_discard_ignores_a_connection_that_is_not_idle() -> None:
    kept = FakeConnection()
    idle = make_idle(kept)
    idle.discard(FakeConnection())
    assert idle.for_endpoint(b"s1") == [kept]
    assert len(idle) == 1


# ---- the states of a connection -----------------------------------------------------------------------


@dataclass
class RecordingWriter:
    """A fake stream writer that records the written data and the calls of `transport.abort`."""

    written: list[bytes] = field(default_factory=list)
    abort_count: int = 0

    def write(self, data: bytes) -> None:
        self.written.append(data)

    @property
    def transport(self) -> SimpleNamespace:
        return SimpleNamespace(abort=self._abort)

    def _abort(self) -> None:
        self.abort_count += 1


def make_connection(state: ConnectionState) -> UpstreamConnection:
    connection = UpstreamConnection(b"s1", HOST, PORT, None, RecordingWriter())
    connection.state = state
    if state is ConnectionState.ACTIVE:
        connection.attempt = make_attempt()
        connection.attempt.transport_handle = connection
    return connection


def make_attempt() -> Attempt:
    return Attempt(1, 0, b"s1", HOST, PORT, None, 0.0, 1e9)


STATES = list(ConnectionState)


@pytest.mark.parametrize("state", STATES, ids=lambda state: state.name)
def test_writes_an_attempt_only_when_connected_or_idle(state: ConnectionState) -> None:
    connection, attempt = make_connection(state), make_attempt()
    if state not in (ConnectionState.CONNECTED, ConnectionState.IDLE):
        with pytest.raises(InvalidTransitionError, match=f"10.0.0.1:3000: {state.name} to ACTIVE"):
            connection.write_attempt(attempt, b"request")
        assert connection.writer.written == []
        assert not attempt.written
        return
    connection.write_attempt(attempt, b"request")
    assert connection.state is ConnectionState.ACTIVE
    assert connection.writer.written == [b"request"]
    assert attempt.written
    assert connection.attempt is attempt
    assert attempt.transport_handle is connection


@pytest.mark.parametrize("state", STATES, ids=lambda state: state.name)
def test_becomes_idle_only_after_a_response(state: ConnectionState) -> None:
    connection = make_connection(state)
    if state is not ConnectionState.ACTIVE:
        with pytest.raises(InvalidTransitionError):
            connection.become_idle(NOW_S)
        assert connection.state is state
        return
    attempt = connection.attempt
    connection.become_idle(NOW_S)
    assert (connection.state, connection.idle_since_s) == (ConnectionState.IDLE, NOW_S)
    assert connection.attempt is None
    assert attempt.transport_handle is None


@pytest.mark.parametrize("state", STATES, ids=lambda state: state.name)
def test_close_is_allowed_in_every_state_and_detaches_the_attempt(state: ConnectionState) -> None:
    connection = make_connection(state)
    attempt = connection.attempt
    connection.close()
    assert connection.state is ConnectionState.CLOSED
    assert connection.attempt is None
    assert connection.writer.abort_count == 1
    assert attempt is None or attempt.transport_handle is None


def test_a_retired_connection_is_closed_by_its_reading_task() -> None:
    connection = make_connection(ConnectionState.ACTIVE)
    connection.retire()
    assert connection.state is ConnectionState.CLOSED
    assert connection.attempt is None
    assert connection.writer.abort_count == 0

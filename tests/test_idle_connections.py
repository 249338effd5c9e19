"""Which idle connection is reused, closed or evicted, and the states of a connection. No I/O."""

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
from alderspool.transport.idle_connections import Choice, IdleConnections
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
class IdleRecord:
    """The values of an idle connection."""

    idle_since_s: float = NOW_S - 1.0
    endpoint: bytes = b"s1"
    host: str = HOST
    port: int = PORT
    last_fingerprint: int | None = 1
    quiet: bool = True

    def is_open_without_input(self) -> bool:
        return self.quiet


def idle_connections(*records: IdleRecord, responses_differ: bool = False) -> IdleConnections[IdleRecord]:
    duplicates = DuplicateResponseDetector()
    if responses_differ:
        for number in range(MIN_DISTINCT_RESPONSES):
            duplicates.is_duplicate(number, number + 1, DUPLICATE_WINDOW_S)
    idle: IdleConnections[IdleRecord] = IdleConnections(IDLE_TIMEOUT_S, duplicates)
    for record in records:
        idle.add(record)
    return idle


# ---- the choice for an attempt ------------------------------------------------------------------------


def test_chooses_nothing_for_an_endpoint_without_connections() -> None:
    idle = idle_connections(IdleRecord(endpoint=b"s2"))
    assert idle.choose(b"s1", HOST, PORT, NOW_S) == Choice(None, [])


def test_chooses_the_most_recently_used_connection_and_removes_nothing() -> None:
    older, newer = IdleRecord(NOW_S - 2.0), IdleRecord(NOW_S - 1.0)
    idle = idle_connections(older, newer)
    assert idle.choose(b"s1", HOST, PORT, NOW_S) == Choice(newer, [])
    assert idle.of_endpoint(b"s1") == [older, newer]


@pytest.mark.parametrize(
    "unfit",
    [
        IdleRecord(quiet=False),
        IdleRecord(host="10.0.0.2"),
        IdleRecord(port=PORT + 1),
        IdleRecord(NOW_S - IDLE_TIMEOUT_S),
        IdleRecord(NOW_S, quiet=False),  # also where it could not be reused yet
    ],
    ids=[
        "unread-input-or-closed",
        "other-host",
        "other-port",
        "idle-timeout",
        "unread-input-in-duplicate-window",
    ],
)
def test_closes_an_unfit_connection_and_reuses_the_next(unfit: IdleRecord) -> None:
    fit = IdleRecord(NOW_S - IDLE_TIMEOUT_S + 0.001)
    idle = idle_connections(fit, unfit)
    assert idle.choose(b"s1", HOST, PORT, NOW_S) == Choice(fit, [unfit])


def test_does_not_judge_connections_older_than_the_chosen_one() -> None:
    unfit, fit = IdleRecord(NOW_S - 2.0, quiet=False), IdleRecord()
    assert idle_connections(unfit, fit).choose(b"s1", HOST, PORT, NOW_S) == Choice(fit, [])


def test_closes_all_unfit_connections_newest_first() -> None:
    older, newer = IdleRecord(quiet=False), IdleRecord(quiet=False)
    assert idle_connections(older, newer).choose(b"s1", HOST, PORT, NOW_S) == Choice(None, [newer, older])


def test_leaves_a_connection_idle_while_a_duplicate_may_still_arrive() -> None:
    older, recent = IdleRecord(), IdleRecord(NOW_S - DUPLICATE_WINDOW_S / 2)
    idle = idle_connections(older, recent)
    assert idle.choose(b"s1", HOST, PORT, NOW_S) == Choice(older, [])
    idle.discard(older)
    assert idle.choose(b"s1", HOST, PORT, NOW_S) == Choice(None, [])
    assert idle.choose(b"s1", HOST, PORT, NOW_S + DUPLICATE_WINDOW_S) == Choice(recent, [])


@pytest.mark.parametrize(
    ("last_fingerprint", "is_reused"), [(1, True), (None, False)], ids=["recognisable", "alike-by-nature"]
)
def test_reuses_at_once_where_a_duplicate_would_be_recognised(
    last_fingerprint: int | None, is_reused: bool
) -> None:
    recent = IdleRecord(NOW_S, last_fingerprint=last_fingerprint)
    idle = idle_connections(recent, responses_differ=True)
    assert idle.choose(b"s1", HOST, PORT, NOW_S) == Choice(recent if is_reused else None, [])


# ---- eviction and expiry ------------------------------------------------------------------------------


def test_evicts_the_longest_idle_connection_of_all_endpoints_first() -> None:
    records = [IdleRecord(NOW_S - 5.0 + n, endpoint=b"s%d" % (n % 3)) for n in range(5)]
    idle = idle_connections(*records)
    evicted = []
    while (record := idle.longest_idle()) is not None:
        evicted.append(record)
        idle.discard(record)
    assert evicted == records
    assert len(idle) == 0
    assert all(idle.of_endpoint(b"s%d" % n) == [] for n in range(3))


def test_a_connection_that_is_idle_again_is_evicted_last() -> None:
    first, second = IdleRecord(endpoint=b"s1"), IdleRecord(endpoint=b"s2")
    idle = idle_connections(first, second)
    idle.discard(first)
    idle.add(first)
    assert idle.longest_idle() is second


def test_expired_are_those_at_the_idle_timeout_longest_idle_first() -> None:
    ages_s = [IDLE_TIMEOUT_S + 1.0, IDLE_TIMEOUT_S, IDLE_TIMEOUT_S - 0.001]
    records = [IdleRecord(NOW_S - age_s, endpoint=b"s%d" % n) for n, age_s in enumerate(ages_s)]
    assert idle_connections(*records).expired(NOW_S) == records[:2]


def test_discard_ignores_a_connection_that_is_not_idle() -> None:
    kept = IdleRecord()
    idle = idle_connections(kept)
    idle.discard(IdleRecord())
    assert idle.of_endpoint(b"s1") == [kept]
    assert len(idle) == 1


# ---- the states of a connection -----------------------------------------------------------------------


@dataclass
class RecordingWriter:
    """Stands in for the stream writer: records what is written and whether it was aborted."""

    written: list[bytes] = field(default_factory=list)
    aborted: int = 0

    def write(self, data: bytes) -> None:
        self.written.append(data)

    @property
    def transport(self) -> SimpleNamespace:
        return SimpleNamespace(abort=self._abort)

    def _abort(self) -> None:
        self.aborted += 1


def connection_in(state: ConnectionState) -> UpstreamConnection:
    connection = UpstreamConnection(b"s1", HOST, PORT, None, RecordingWriter())
    connection.state = state
    if state is ConnectionState.ACTIVE:
        connection.attempt = an_attempt()
        connection.attempt.transport_handle = connection
    return connection


def an_attempt() -> Attempt:
    return Attempt(1, 0, b"s1", HOST, PORT, None, 0.0, 1e9)


STATES = list(ConnectionState)


@pytest.mark.parametrize("state", STATES, ids=lambda state: state.name)
def test_writes_an_attempt_only_when_connected_or_idle(state: ConnectionState) -> None:
    connection, attempt = connection_in(state), an_attempt()
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
    connection = connection_in(state)
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
def test_closes_in_every_state_and_detaches_its_attempt(state: ConnectionState) -> None:
    connection = connection_in(state)
    attempt = connection.attempt
    connection.close()
    assert connection.state is ConnectionState.CLOSED
    assert connection.attempt is None
    assert connection.writer.aborted == 1
    assert attempt is None or attempt.transport_handle is None


def test_a_retired_connection_is_closed_by_its_reading_task() -> None:
    connection = connection_in(ConnectionState.ACTIVE)
    connection.retire()
    assert connection.state is ConnectionState.CLOSED
    assert connection.attempt is None
    assert connection.writer.aborted == 0

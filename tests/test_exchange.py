"""Tests the exchange with a scripted balancer and no sockets: responses, deadlines, checks before a write."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from loguru import logger
from rig import SETTINGS, async_test

from alderspool.balancer.actions import Action, Cancel, Fail, Log, Reject, Send
from alderspool.balancer.events import (
    AttemptStatus,
    Availability,
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    Event,
    Outcome,
    Request,
)
from alderspool.balancer.settings_reader import read_settings
from alderspool.program.config import flatten
from alderspool.routing.clock import Clock
from alderspool.routing.exchange import Exchange
from alderspool.routing.messages import (
    Attempt,
    ClientRequest,
    Endpoint,
    EndpointList,
    Failed,
    FinalResponse,
    Rejected,
    Served,
)

POLL_INTERVAL_S = 0.005
LONG_TIME_LEFT_MS = 20000.0

Script = dict[type, Callable[[Event], list[Action]]]


class ScriptedBalancer:
    """Responds to each type of event as the script defines, and asserts that it is never re-entered."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.events: list[Event] = []
        self.is_handling = False
        self.allows_writes = True

    def start(self, now: float) -> list[Action]:
        return []

    def may_begin(self, now: float, request_id: int) -> bool:
        return self.allows_writes

    def handle(self, now: float, event: Event) -> list[Action]:
        assert not self.is_handling
        self.is_handling = True
        self.events.append(event)
        decide = self.script.get(type(event))
        actions = decide(event) if decide else []
        self.is_handling = False
        return actions

    def last_outcome(self) -> tuple[AttemptStatus, bool]:
        """Return the status and `finished` of the last event, which must be an Outcome."""
        outcome = self.events[-1]
        assert isinstance(outcome, Outcome)
        return AttemptStatus(outcome.status), outcome.finished


class ScriptedUpstream:
    """Writes each attempt at once, unless `is_connecting` is set. The tests report how attempts end."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []
        self.closed: list[bytes] = []
        self.is_connecting = False

    def dispatch(self, attempt: Attempt) -> None:
        self.sent.append(attempt)
        if not self.is_connecting:
            attempt.written = True

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)

    def close_idle(self, endpoint: bytes) -> None:
        self.closed.append(endpoint)


class RecordingDiscovery:
    is_watching: bool | None = None

    def watch(self, on: bool) -> None:
        self.is_watching = on


@dataclass
class Setup:
    exchange: Exchange
    balancer: ScriptedBalancer
    upstream: ScriptedUpstream
    discovery: RecordingDiscovery
    responses: list[FinalResponse] = field(default_factory=list)

    def submit(self, request: ClientRequest) -> int:
        return self.exchange.submit(request, self.responses.append)

    async def wait_for_response(self) -> None:
        while not self.responses:
            await asyncio.sleep(POLL_INTERVAL_S)


def set_up(script: Script, **settings: object) -> Setup:
    """Start an exchange whose endpoints s1 and s2 are ready."""
    balancer = ScriptedBalancer(script)
    exchange = Exchange(
        read_settings(flatten(SETTINGS) | settings),
        1,
        Clock(),
        create_balancer=lambda settings, seed: balancer,
    )
    upstream = ScriptedUpstream()
    discovery = RecordingDiscovery()
    exchange.start(upstream, discovery, endpoint_list(b"s1", b"s2"))
    return Setup(exchange, balancer, upstream, discovery)


def set_up_parts(
    script: Script, **settings: object
) -> tuple[Exchange, ScriptedBalancer, ScriptedUpstream, list]:
    """Return the parts of `set_up` as a tuple, for test_accept_queue."""
    setup = set_up(script, **settings)
    return setup.exchange, setup.balancer, setup.upstream, setup.responses


def endpoint_list(
    *ids: bytes, availability: Availability = Availability.READY, revision: int = 1
) -> EndpointList:
    """Return a complete endpoint list."""
    endpoints = [Endpoint(EndpointEntry(id_, availability=availability), "127.0.0.1", 1) for id_ in ids]
    return EndpointList(revision, True, endpoints)


def list_delta(endpoint: Endpoint, revision: int) -> EndpointList:
    return EndpointList(revision, False, [endpoint])


def client_request(time_left_ms: float = LONG_TIME_LEFT_MS, client_request_id: bytes = b"") -> ClientRequest:
    return ClientRequest(1, 0, 0, time_left_ms, "payload", client_request_id)


def send_to_s1(event: Event) -> list[Action]:
    return [Send(event.id, b"s1")]


SEND = {Request: send_to_s1}


# ---- final responses -----------------------------------------------------------------------------


@async_test
async def test_first_served_attempt_gives_the_final_response_and_later_outcomes_are_ignored() -> None:
    setup = set_up({Request: lambda event: [Send(event.id, b"s1"), Send(event.id, b"s2")]})
    setup.submit(client_request())
    first, hedge = setup.upstream.sent

    setup.exchange.attempt_ended(hedge, AttemptStatus.OK, "response")
    setup.exchange.attempt_ended(hedge, AttemptStatus.RESET)
    setup.exchange.attempt_ended(first, AttemptStatus.OK, "late")

    assert setup.responses == [Served("response")]
    assert [(event.attempt, event.status, event.finished) for event in setup.balancer.events[2:]] == [
        (1, AttemptStatus.OK, True),
        (0, AttemptStatus.OK, True),
    ]
    assert setup.exchange.pending_count == 0


@async_test
async def test_second_conclusion_from_the_balancer_is_ignored() -> None:
    setup = set_up({Request: lambda event: [Reject(event.id, 250.0), Fail(event.id)]})

    setup.submit(client_request())

    assert setup.responses == [Rejected(250.0)]
    assert (setup.exchange.counts.rejected, setup.exchange.counts.failed) == (1, 0)


@async_test
async def test_response_callback_that_raises_does_not_keep_the_outcome_from_the_balancer() -> None:
    setup = set_up(SEND)
    setup.exchange.submit(client_request(), lambda response: 1 / 0)

    setup.exchange.attempt_ended(setup.upstream.sent[0], AttemptStatus.OK, "response")

    assert setup.balancer.last_outcome() == (AttemptStatus.OK, True)
    assert setup.exchange.pending_count == 0


@async_test
async def test_client_request_id_stays_pending_until_the_last_attempt_has_ended() -> None:
    setup = set_up(SEND)
    request_id = setup.submit(client_request(client_request_id=b"r-1"))
    assert setup.exchange.is_pending(b"r-1")
    assert not setup.exchange.is_pending(b"r-2")

    setup.exchange.client_disconnected(request_id)
    assert setup.exchange.is_pending(b"r-1")

    setup.exchange.attempt_ended(setup.upstream.sent[0], AttemptStatus.OK, "response")
    assert not setup.exchange.is_pending(b"r-1")


@async_test
async def test_rejects_requests_over_max_pending_without_the_balancer() -> None:
    setup = set_up(SEND, **{"bounds.max_open": "1"})
    setup.submit(client_request())
    events_before = len(setup.balancer.events)

    setup.submit(client_request())

    assert setup.responses == [Rejected()]
    assert len(setup.balancer.events) == events_before


@async_test
async def test_fail_pending_fails_all_pending_requests_and_rejects_later_ones() -> None:
    """One request has a running attempt, one is queued by the balancer, and one already has its response."""
    setup = set_up({Request: lambda event: [Send(event.id, b"s1")] if event.id != 2 else []})
    for _ in range(3):
        setup.submit(client_request())
    setup.exchange.attempt_ended(setup.upstream.sent[1], AttemptStatus.OK, "body")

    setup.exchange.fail_pending()
    assert setup.responses == [Served("body"), Failed(timed_out=True), Failed(timed_out=True)]
    assert setup.exchange.pending_count == 0

    setup.submit(client_request())
    assert setup.responses[3:] == [Rejected()]

    setup.exchange.fail_pending()
    setup.exchange.attempt_ended(setup.upstream.sent[0], AttemptStatus.OK, "late")
    assert len(setup.responses) == 4  # one per request; later outcomes change nothing
    assert [type(event) for event in setup.balancer.events].count(ClientDisconnected) == 2


@async_test
async def test_counts_are_formatted_for_the_log() -> None:
    setup = set_up(SEND)
    setup.submit(client_request())
    setup.exchange.client_disconnected(setup.submit(client_request()))
    setup.exchange.attempt_ended(setup.upstream.sent[0], AttemptStatus.OK, "response")

    assert str(setup.exchange.counts) == (
        "requests: 2 accepted, 1 served, 0 rejected, 0 failed, 1 disconnected; attempts: 2"
    )
    assert setup.exchange.counts.concluded == setup.exchange.counts.accepted


# ---- deadlines -----------------------------------------------------------------------------------


@async_test
async def test_silent_attempt_times_out_at_the_deadline_and_the_balancer_concludes_the_request() -> None:
    setup = set_up(SEND | {Outcome: lambda event: [Fail(event.id), Reject(event.id)]})
    setup.submit(client_request(time_left_ms=30.0))

    await setup.wait_for_response()

    assert setup.responses == [Failed(timed_out=True)]
    assert setup.upstream.cancelled == setup.upstream.sent
    assert setup.balancer.last_outcome() == (AttemptStatus.TIMEOUT, False)


@async_test
async def test_attempt_that_times_out_before_it_is_written_ends_as_never_sent() -> None:
    setup = set_up({Request: lambda event: [Send(event.id, b"s1", timeout_ms=20.0)]})
    setup.upstream.is_connecting = True
    setup.submit(client_request())

    while len(setup.balancer.events) < 3:
        await asyncio.sleep(POLL_INTERVAL_S)

    assert setup.balancer.last_outcome() == (AttemptStatus.NEVER_SENT, False)


@pytest.mark.parametrize(
    "script",
    [pytest.param({}, id="no_action"), pytest.param({Request: lambda event: 1 / 0}, id="balancer_raises")],
)
@async_test
async def test_request_that_the_balancer_does_not_conclude_fails_after_its_deadline(script: Script) -> None:
    setup = set_up(script)
    setup.submit(client_request(time_left_ms=20.0))

    await setup.wait_for_response()

    assert setup.responses == [Failed(timed_out=True)]
    assert setup.exchange.pending_count == 0


# ---- client disconnects --------------------------------------------------------------------------


@async_test
async def test_client_disconnect_cancels_attempts_and_gives_no_response() -> None:
    setup = set_up(SEND | {ClientDisconnected: lambda event: [Cancel(event.id, 0)]})

    setup.exchange.client_disconnected(setup.submit(client_request()))

    assert setup.upstream.cancelled == setup.upstream.sent
    assert setup.responses == []
    assert setup.exchange.pending_count == 0
    assert setup.balancer.last_outcome() == (AttemptStatus.CANCELLED, True)


# ---- checks before an attempt is written ---------------------------------------------------------


@dataclass
class ConnectingAttemptSetup(Setup):
    """A setup with an attempt that is still connecting and may be written."""

    attempt: Attempt | None = None
    has_client_disconnected: bool = False


def set_up_connecting_attempt() -> ConnectingAttemptSetup:
    setup = ConnectingAttemptSetup(**vars(set_up(SEND)))
    request = client_request()
    request.is_disconnected = lambda: setup.has_client_disconnected
    setup.submit(request)
    (setup.attempt,) = setup.upstream.sent
    assert setup.exchange.may_write(setup.attempt)
    return setup


@async_test
async def test_draining_endpoint_gets_no_new_attempt_and_no_write_of_a_connecting_one() -> None:
    setup = set_up(SEND)
    setup.submit(client_request())
    (attempt,) = setup.upstream.sent
    assert setup.exchange.may_write(attempt)

    setup.exchange.endpoint_list_received(endpoint_list(b"s1", availability=Availability.DRAINING))
    assert not setup.exchange.may_write(attempt)
    assert set(setup.upstream.closed) == {b"s1", b"s2"}

    setup.submit(client_request())
    assert len(setup.upstream.sent) == 1
    assert setup.balancer.last_outcome() == (AttemptStatus.NEVER_SENT, False)


@async_test
async def test_attempt_is_not_written_to_an_address_that_its_endpoint_no_longer_has() -> None:
    setup = set_up_connecting_attempt()
    exchange, attempt = setup.exchange, setup.attempt

    exchange.endpoint_list_received(endpoint_list(b"s1", availability=Availability.GONE, revision=2))
    assert not exchange.may_write(attempt)

    exchange.endpoint_list_received(list_delta(Endpoint(EndpointEntry(b"s1"), "127.0.0.1", 2), revision=3))
    assert not exchange.may_write(attempt)

    exchange.endpoint_list_received(
        list_delta(Endpoint(EndpointEntry(b"s1"), attempt.host, attempt.port), revision=4)
    )
    assert exchange.may_write(attempt)


@async_test
@pytest.mark.parametrize("is_complete", [True, False], ids=["complete list", "change"])
async def test_nothing_is_sent_to_an_endpoint_at_whose_address_a_new_process_has_come_up(
    is_complete: bool,
) -> None:
    """Guards against work that goes to the wrong process: the old endpoint is still listed as ready."""
    setup = set_up_connecting_attempt()
    attempt = setup.attempt
    new = Endpoint(EndpointEntry(b"s9", started_at_ms=1000.0), attempt.host, attempt.port)
    old = Endpoint(EndpointEntry(b"s1"), attempt.host, attempt.port)
    endpoints = [old, new] if is_complete else [new]

    setup.exchange.endpoint_list_received(EndpointList(2, is_complete, endpoints))

    assert not setup.exchange.may_write(attempt)
    assert b"s1" in setup.upstream.closed
    update = setup.balancer.events[-1]
    assert isinstance(update, EndpointListUpdate)
    availability = {entry.id: entry.availability for entry in update.entries}
    assert availability[b"s1"] == Availability.GONE
    assert availability[b"s9"] == Availability.READY


@async_test
async def test_attempt_whose_client_disconnected_while_connecting_is_not_written() -> None:
    setup = set_up_connecting_attempt()
    setup.has_client_disconnected = True

    assert not setup.exchange.may_write(setup.attempt)
    assert setup.exchange.pending_count == 0
    assert setup.exchange.counts.disconnected == 1

    setup.exchange.attempt_ended(setup.attempt, AttemptStatus.NEVER_SENT)
    assert [type(event) for event in setup.balancer.events[-2:]] == [ClientDisconnected, Outcome]
    assert setup.balancer.last_outcome() == (AttemptStatus.NEVER_SENT, True)
    assert not setup.responses


@async_test
async def test_retry_is_not_written_after_its_deduplication_window() -> None:
    setup = set_up_connecting_attempt()

    setup.balancer.allows_writes = False

    assert not setup.exchange.may_write(setup.attempt)


# ---- discovery and the log -----------------------------------------------------------------------


@pytest.mark.parametrize(
    ("mode", "is_watching"),
    [
        pytest.param("pushed", True, id="pushed"),
        # In this mode the balancer opens the watch, which the scripted one does not do.
        pytest.param("on_request", None, id="on_request"),
    ],
)
@async_test
async def test_opens_the_watch_where_updates_are_pushed(mode: str, is_watching: bool | None) -> None:
    setup = set_up({}, discovery=mode)

    assert setup.discovery.is_watching is is_watching


@pytest.fixture
def log_lines():
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}")
    yield lines
    logger.remove(sink)


@async_test
async def test_log_shows_endpoint_names_instead_of_ids(log_lines: list[str]) -> None:
    setup = set_up({Request: lambda event: [Log(f"eject {b's1'.hex()}: 3 failures")]})

    setup.submit(client_request())

    assert log_lines == ["balancer: eject s1: 3 failures\n"]


@async_test
async def test_log_has_one_line_for_a_series_of_failed_discovery_calls(log_lines: list[str]) -> None:
    setup = set_up({})

    setup.exchange.discovery_call_failed("connection refused")
    setup.exchange.discovery_call_failed("connection refused")
    setup.exchange.endpoint_list_received(endpoint_list(b"s1"))
    setup.exchange.endpoint_list_received(endpoint_list(b"s1"))

    assert log_lines == [
        "discovery call failed: connection refused\n",
        "discovery responds again after 2 failed calls\n",
    ]

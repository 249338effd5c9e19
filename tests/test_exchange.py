"""The exchange with a scripted balancer and no sockets: order, deadlines, and exactly one final response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from loguru import logger
from rig import SETTINGS, real

from alderspool.balancer.actions import Action, Cancel, Fail, Log, Reject, Send
from alderspool.balancer.events import (
    AttemptStatus,
    Availability,
    ClientDisconnected,
    EndpointEntry,
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
    """Responds to each type of event as the script says, and asserts that it is never re-entered."""

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
        """Status and `finished` of the last event, which has to be an outcome."""
        outcome = self.events[-1]
        assert isinstance(outcome, Outcome)
        return AttemptStatus(outcome.status), outcome.finished


class ScriptedUpstream:
    """Writes each attempt at once, unless `is_dialling`; the test ends the attempts."""

    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []
        self.closed: list[bytes] = []
        self.is_dialling = False

    def dispatch(self, attempt: Attempt) -> None:
        self.sent.append(attempt)
        if not self.is_dialling:
            attempt.written = True

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)

    def close_idle(self, endpoint: bytes) -> None:
        self.closed.append(endpoint)


class RecordedDiscovery:
    is_watching: bool | None = None

    def watch(self, on: bool) -> None:
        self.is_watching = on


@dataclass
class Setup:
    exchange: Exchange
    balancer: ScriptedBalancer
    upstream: ScriptedUpstream
    discovery: RecordedDiscovery
    responses: list[FinalResponse] = field(default_factory=list)

    def submit(self, request: ClientRequest) -> int:
        return self.exchange.submit(request, self.responses.append)

    async def wait_for_response(self) -> None:
        while not self.responses:
            await asyncio.sleep(POLL_INTERVAL_S)


def set_up(script: Script, **settings: object) -> Setup:
    """Start an exchange with the endpoints s1 and s2 ready."""
    balancer = ScriptedBalancer(script)
    exchange = Exchange(
        read_settings(flatten(SETTINGS) | settings),
        1,
        Clock(),
        create_balancer=lambda settings, seed: balancer,
    )
    upstream = ScriptedUpstream()
    discovery = RecordedDiscovery()
    exchange.start(upstream, discovery, endpoint_list(b"s1", b"s2"))
    return Setup(exchange, balancer, upstream, discovery)


def set_up_parts(script: Script, **settings: object) -> tuple[Exchange, ScriptedBalancer, ScriptedUpstream, list]:
    """Return the parts of `set_up`, as test_accept_queue takes them."""
    setup = set_up(script, **settings)
    return setup.exchange, setup.balancer, setup.upstream, setup.responses


def endpoint_list(
    *ids: bytes, availability: Availability = Availability.READY, revision: int = 1
) -> EndpointList:
    """Return a complete list."""
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


@real
async def test_first_served_attempt_gives_the_final_response_and_later_ends_change_nothing() -> None:
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


@real
async def test_only_the_first_of_two_conclusions_of_the_balancer_counts() -> None:
    setup = set_up({Request: lambda event: [Reject(event.id, 250.0), Fail(event.id)]})

    setup.submit(client_request())

    assert setup.responses == [Rejected(250.0)]
    assert (setup.exchange.counts.rejected, setup.exchange.counts.failed) == (1, 0)


@real
async def test_response_callback_that_raises_does_not_keep_the_outcome_from_the_balancer() -> None:
    setup = set_up(SEND)
    setup.exchange.submit(client_request(), lambda response: 1 / 0)

    setup.exchange.attempt_ended(setup.upstream.sent[0], AttemptStatus.OK, "response")

    assert setup.balancer.last_outcome() == (AttemptStatus.OK, True)
    assert setup.exchange.pending_count == 0


@real
async def test_client_request_id_stays_pending_until_the_last_attempt_has_ended() -> None:
    setup = set_up(SEND)
    request_id = setup.submit(client_request(client_request_id=b"r-1"))
    assert setup.exchange.is_pending(b"r-1")
    assert not setup.exchange.is_pending(b"r-2")

    setup.exchange.client_disconnected(request_id)
    assert setup.exchange.is_pending(b"r-1")

    setup.exchange.attempt_ended(setup.upstream.sent[0], AttemptStatus.OK, "response")
    assert not setup.exchange.is_pending(b"r-1")


@real
async def test_rejects_requests_over_max_pending_without_the_balancer() -> None:
    setup = set_up(SEND, **{"bounds.max_open": "1"})
    setup.submit(client_request())
    events_before = len(setup.balancer.events)

    setup.submit(client_request())

    assert setup.responses == [Rejected()]
    assert len(setup.balancer.events) == events_before


@real
async def test_fail_pending_fails_all_pending_requests_and_rejects_later_ones() -> None:
    """One request is at an endpoint, one is queued by the balancer, and one had its response before."""
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
    assert len(setup.responses) == 4  # one for each request, whatever comes after
    assert [type(event) for event in setup.balancer.events].count(ClientDisconnected) == 2


@real
async def test_counts_are_readable_as_text() -> None:
    setup = set_up(SEND)
    setup.submit(client_request())
    setup.exchange.client_disconnected(setup.submit(client_request()))
    setup.exchange.attempt_ended(setup.upstream.sent[0], AttemptStatus.OK, "response")

    assert str(setup.exchange.counts) == (
        "requests: 2 accepted, 1 served, 0 rejected, 0 failed, 1 disconnected; attempts: 2"
    )
    assert setup.exchange.counts.concluded == setup.exchange.counts.accepted


# ---- deadlines -----------------------------------------------------------------------------------


@real
async def test_silent_attempt_times_out_at_the_deadline_and_the_balancer_concludes_the_request() -> None:
    setup = set_up(SEND | {Outcome: lambda event: [Fail(event.id), Reject(event.id)]})
    setup.submit(client_request(time_left_ms=30.0))

    await setup.wait_for_response()

    assert setup.responses == [Failed(timed_out=True)]
    assert setup.upstream.cancelled == setup.upstream.sent
    assert setup.balancer.last_outcome() == (AttemptStatus.TIMEOUT, False)


@real
async def test_attempt_that_times_out_before_it_is_written_ends_as_never_sent() -> None:
    setup = set_up({Request: lambda event: [Send(event.id, b"s1", timeout_ms=20.0)]})
    setup.upstream.is_dialling = True
    setup.submit(client_request())

    while len(setup.balancer.events) < 3:
        await asyncio.sleep(POLL_INTERVAL_S)

    assert setup.balancer.last_outcome() == (AttemptStatus.NEVER_SENT, False)


@pytest.mark.parametrize(
    "script",
    [pytest.param({}, id="no_action"), pytest.param({Request: lambda event: 1 / 0}, id="balancer_raises")],
)
@real
async def test_request_that_the_balancer_does_not_conclude_fails_after_its_deadline(script: Script) -> None:
    setup = set_up(script)
    setup.submit(client_request(time_left_ms=20.0))

    await setup.wait_for_response()

    assert setup.responses == [Failed(timed_out=True)]
    assert setup.exchange.pending_count == 0


# ---- client disconnects --------------------------------------------------------------------------


@real
async def test_client_disconnect_cancels_attempts_and_gives_no_response() -> None:
    setup = set_up(SEND | {ClientDisconnected: lambda event: [Cancel(event.id, 0)]})

    setup.exchange.client_disconnected(setup.submit(client_request()))

    assert setup.upstream.cancelled == setup.upstream.sent
    assert setup.responses == []
    assert setup.exchange.pending_count == 0
    assert setup.balancer.last_outcome() == (AttemptStatus.CANCELLED, True)


# ---- just before an attempt is written -----------------------------------------------------------


@dataclass
class DiallingAttempt(Setup):
    """An attempt that is being dialled and may still be written."""

    attempt: Attempt | None = None
    has_client_disconnected: bool = False


def set_up_dialling_attempt() -> DiallingAttempt:
    dialling = DiallingAttempt(**vars(set_up(SEND)))
    request = client_request()
    request.is_disconnected = lambda: dialling.has_client_disconnected
    dialling.submit(request)
    (dialling.attempt,) = dialling.upstream.sent
    assert dialling.exchange.may_write(dialling.attempt)
    return dialling


@real
async def test_draining_endpoint_gets_no_new_attempt_and_no_write_of_a_dialled_one() -> None:
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


@real
async def test_endpoint_that_is_back_at_another_address_gets_no_write_at_the_old_one() -> None:
    dialling = set_up_dialling_attempt()
    exchange, attempt = dialling.exchange, dialling.attempt

    exchange.endpoint_list_received(endpoint_list(b"s1", availability=Availability.GONE, revision=2))
    assert not exchange.may_write(attempt)

    exchange.endpoint_list_received(list_delta(Endpoint(EndpointEntry(b"s1"), "127.0.0.1", 2), revision=3))
    assert not exchange.may_write(attempt)

    exchange.endpoint_list_received(list_delta(Endpoint(EndpointEntry(b"s1"), attempt.host, attempt.port), revision=4))
    assert exchange.may_write(attempt)


@real
async def test_attempt_whose_client_disconnected_while_dialling_is_not_written() -> None:
    dialling = set_up_dialling_attempt()
    dialling.has_client_disconnected = True

    assert not dialling.exchange.may_write(dialling.attempt)
    assert dialling.exchange.pending_count == 0
    assert dialling.exchange.counts.disconnected == 1

    dialling.exchange.attempt_ended(dialling.attempt, AttemptStatus.NEVER_SENT)
    assert [type(event) for event in dialling.balancer.events[-2:]] == [ClientDisconnected, Outcome]
    assert dialling.balancer.last_outcome() == (AttemptStatus.NEVER_SENT, True)
    assert not dialling.responses


@real
async def test_retry_is_not_written_after_its_deduplication_window() -> None:
    dialling = set_up_dialling_attempt()

    dialling.balancer.allows_writes = False

    assert not dialling.exchange.may_write(dialling.attempt)


# ---- discovery and the log -----------------------------------------------------------------------


@pytest.mark.parametrize(
    ("mode", "is_watching"),
    [
        pytest.param("pushed", True, id="pushed"),
        pytest.param(
            "on_request", None, id="on_request"
        ),  # there the balancer opens it; the scripted one does not
    ],
)
@real
async def test_opens_the_watch_where_updates_are_pushed(mode: str, is_watching: bool | None) -> None:
    setup = set_up({}, discovery=mode)

    assert setup.discovery.is_watching is is_watching


@pytest.fixture
def log_lines():
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}")
    yield lines
    logger.remove(sink)


@real
async def test_log_names_endpoints_by_name(log_lines: list[str]) -> None:
    setup = set_up({Request: lambda event: [Log(f"eject {b's1'.hex()}: 3 failures")]})

    setup.submit(client_request())

    assert log_lines == ["balancer: eject s1: 3 failures\n"]


@real
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

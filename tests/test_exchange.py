"""The exchange with scripted decisions and no sockets: order, deadlines, and exactly one answer."""

from __future__ import annotations

import asyncio

from loguru import logger
from rig import SETTINGS, real

from alderspool.balancer.actions import Cancel, Fail, Log, Reject, Send
from alderspool.balancer.events import (
    AttemptStatus,
    Availability,
    ClientDisconnected,
    EndpointEntry,
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
    Rejected,
    Served,
)

S = AttemptStatus


class Script:
    """In the Balancer's place: `actions` maps an event's type to what it answers with."""

    def __init__(self, actions: dict) -> None:
        self.actions, self.events, self.inside, self.begin = actions, [], False, True

    def start(self, now: float) -> list:
        return []

    def may_begin(self, now: float, request_id: int) -> bool:
        return self.begin

    def handle(self, now: float, event: object) -> list:
        assert not self.inside
        self.inside = True
        self.events.append(event)
        given = self.actions.get(type(event), [])
        given = given(event) if callable(given) else given
        self.inside = False
        return given


class ScriptedUpstream:
    def __init__(self) -> None:
        self.sent: list[Attempt] = []
        self.cancelled: list[Attempt] = []
        self.closed: list[bytes] = []

    def dispatch(self, attempt: Attempt) -> None:
        self.sent.append(attempt)
        attempt.written = True

    def cancel(self, attempt: Attempt) -> None:
        self.cancelled.append(attempt)

    def close_idle(self, endpoint: bytes) -> None:
        self.closed.append(endpoint)


class Watches:
    on = None

    def watch(self, on: bool) -> None:
        self.on = on


def endpoint_list(*names: bytes, state: int = Availability.READY, revision: int = 1) -> EndpointList:
    return EndpointList(
        revision, True, [Endpoint(EndpointEntry(n, availability=state), "127.0.0.1", 1) for n in names]
    )


def bench(actions: dict, **settings: object) -> tuple[Exchange, Script, ScriptedUpstream, list]:
    exchange = Exchange(read_settings(flatten(SETTINGS) | settings), 1, Clock())
    exchange._balancer = script = Script(actions)
    upstream, answers = ScriptedUpstream(), []
    exchange.start(upstream, Watches(), endpoint_list(b"s1", b"s2"))
    return exchange, script, upstream, answers


def submission(wait: float = 20000.0) -> ClientRequest:
    return ClientRequest(1, 0, 0, wait, "payload")


SEND = {Request: lambda e: [Send(e.id, b"s1")]}


@real
async def test_the_first_served_attempt_answers_and_later_ends_change_nothing() -> None:
    copies = {Request: lambda e: [Send(e.id, b"s1"), Send(e.id, b"s2")]}
    exchange, script, upstream, answers = bench(copies)
    exchange.submit(submission(), answers.append)
    one, two = upstream.sent
    exchange.attempt_ended(two, S.OK, "answer")
    exchange.attempt_ended(two, S.RESET)
    exchange.attempt_ended(one, S.OK, "late")
    assert answers == [Served("answer")]
    assert [(e.attempt, e.status, e.finished) for e in script.events[2:]] == [
        (1, S.OK, True),
        (0, S.OK, True),
    ]
    assert exchange.pending_count == 0


@real
async def test_a_silent_attempt_ends_at_the_deadline_and_the_module_says_how() -> None:
    exchange, script, upstream, answers = bench(SEND | {Outcome: lambda e: [Fail(e.id), Reject(e.id)]})
    exchange.submit(submission(30.0), answers.append)
    while not answers:
        await asyncio.sleep(0.005)
    assert answers == [Failed(timed_out=True)] and upstream.cancelled == upstream.sent
    assert (script.events[-1].status, script.events[-1].finished) == (S.TIMEOUT, False)


@real
async def test_a_time_out_of_its_own_ends_a_attempt_unwritten_ones_as_never_sent() -> None:
    exchange, script, upstream, answers = bench({Request: lambda e: [Send(e.id, b"s1", 20.0)]})
    upstream.dispatch = upstream.sent.append  # still dialling
    exchange.submit(submission(), answers.append)
    while len(script.events) < 3:
        await asyncio.sleep(0.005)
    assert (script.events[-1].status, script.events[-1].finished) == (S.NEVER_SENT, False)


@real
async def test_what_the_module_leaves_unanswered_or_fails_on_is_answered_all_the_same() -> None:
    for actions in ({}, {Request: lambda e: 1 / 0}):
        exchange, _, _, answers = bench(actions)
        exchange.submit(submission(20.0), answers.append)
        while not answers:
            await asyncio.sleep(0.005)
        assert answers == [Failed(timed_out=True)] and exchange.pending_count == 0


@real
async def test_nothing_is_sent_to_a_node_that_drains_nor_written_once_a_dial_has_crossed_the_drain() -> None:
    exchange, script, upstream, answers = bench(SEND)
    exchange.submit(submission(), answers.append)
    (attempt,) = upstream.sent
    assert exchange.may_write(attempt)
    exchange.list_received(endpoint_list(b"s1", state=Availability.DRAINING))
    assert not exchange.may_write(attempt) and set(upstream.closed) == {b"s1", b"s2"}
    exchange.submit(submission(), answers.append)
    assert len(upstream.sent) == 1
    assert (script.events[-1].status, script.events[-1].finished) == (S.NEVER_SENT, False)


@real
async def test_a_client_that_went_away_is_owed_nothing_and_its_attempts_are_withdrawn() -> None:
    exchange, script, upstream, answers = bench(SEND | {ClientDisconnected: lambda e: [Cancel(e.id, 0)]})
    exchange.client_disconnected(exchange.submit(submission(), answers.append))
    assert upstream.cancelled == upstream.sent and answers == [] and exchange.pending_count == 0
    assert (script.events[-1].status, script.events[-1].finished) == (S.CANCELLED, True)


@real
async def test_a_name_is_open_until_the_last_attempt_of_its_request_has_ended() -> None:
    exchange, _, upstream, answers = bench(SEND)
    request_id = exchange.submit(ClientRequest(1, 0, 0, 20000.0, "payload", b"r-1"), answers.append)
    assert exchange.is_pending(b"r-1") and not exchange.is_pending(b"r-2")
    exchange.client_disconnected(request_id)
    assert exchange.is_pending(b"r-1")
    exchange.attempt_ended(upstream.sent[0], S.OK, "answer")
    assert not exchange.is_pending(b"r-1")


@real
async def test_more_than_an_instance_may_hold_is_refused_unseen() -> None:
    exchange, script, _, answers = bench(SEND, **{"bounds.max_open": "1"})
    exchange.submit(submission(), answers.append)
    seen = len(script.events)
    exchange.submit(submission(), answers.append)
    assert answers == [Rejected()] and len(script.events) == seen


@real
async def test_changes_are_asked_for_also_where_the_module_expects_them_to_be_pushed() -> None:
    for mode, wanted in (("pushed", True), ("on_request", None)):  # there the module asks, here the script
        exchange = bench({}, discovery=mode)[0]
        assert exchange._discovery.on is wanted


@real
async def test_an_answer_that_cannot_be_given_keeps_nothing_from_the_module() -> None:
    exchange, script, upstream, _ = bench(SEND)
    exchange.submit(submission(), lambda answer: 1 / 0)
    exchange.attempt_ended(upstream.sent[0], S.OK, "answer")
    assert (script.events[-1].status, script.events[-1].finished) == (
        S.OK,
        True,
    ) and exchange.pending_count == 0


@real
async def test_the_modules_log_lines_name_machines_as_people_know_them() -> None:
    exchange, _, _, answers = bench({Request: [Log(f"eject {b's1'.hex()}: 3 failures")]})
    lines: list[str] = []
    sink = logger.add(lines.append, format="{message}")
    exchange.submit(submission(), answers.append)
    logger.remove(sink)
    assert lines == ["module: eject s1: 3 failures\n"]


@real
async def test_the_end_answers_all_that_is_owed_at_once_and_refuses_what_comes_later() -> None:
    """One at a node, one that the module holds, and one answered before."""
    exchange, script, upstream, answers = bench(
        {Request: lambda e: [Send(e.id, b"s1")] if e.id != 2 else [], ClientDisconnected: []}
    )
    for _ in range(3):
        exchange.submit(submission(), answers.append)
    exchange.attempt_ended(upstream.sent[1], S.OK, "body")
    exchange.fail_pending()
    assert answers == [Served("body"), Failed(timed_out=True), Failed(timed_out=True)]
    assert exchange.pending_count == 0
    exchange.submit(submission(), answers.append)
    assert answers[3:] == [Rejected()]
    exchange.fail_pending()
    exchange.attempt_ended(upstream.sent[0], S.OK, "late")
    assert len(answers) == 4  # each has one, whatever comes after
    assert [type(e) for e in script.events].count(ClientDisconnected) == 2


def dialled() -> tuple[Exchange, Script, Attempt, list, list[bool]]:
    """A attempt that is being dialled; its client leaves once the last of these holds something."""
    exchange, script, upstream, answers = bench(SEND)
    asked, left = submission(), []
    asked.is_disconnected = lambda: bool(left)
    exchange.submit(asked, answers.append)
    (attempt,) = upstream.sent
    assert exchange.may_write(attempt)
    return exchange, script, attempt, answers, left


@real
async def test_a_node_that_came_again_elsewhere_gets_nothing_at_its_old_address() -> None:
    exchange, _, attempt, _, _ = dialled()
    exchange.list_received(endpoint_list(b"s1", state=Availability.GONE, revision=2))
    assert not exchange.may_write(attempt)
    exchange.list_received(EndpointList(3, False, [Endpoint(EndpointEntry(b"s1"), "127.0.0.1", 2)]))
    assert not exchange.may_write(attempt)
    exchange.list_received(
        EndpointList(4, False, [Endpoint(EndpointEntry(b"s1"), attempt.host, attempt.port)])
    )
    assert exchange.may_write(attempt)


@real
async def test_a_dial_that_ends_after_its_client_left_is_not_written_and_nothing_is_owed() -> None:
    exchange, script, attempt, answers, left = dialled()
    left.append(True)
    assert (
        not exchange.may_write(attempt)
        and exchange.pending_count == 0
        and exchange.counts["disconnected"] == 1
    )
    exchange.attempt_ended(attempt, S.NEVER_SENT)
    assert [type(e) for e in script.events[-2:]] == [ClientDisconnected, Outcome]
    assert script.events[-1].finished and not answers


@real
async def test_a_dial_that_ends_after_the_window_of_a_repeat_is_not_written() -> None:
    exchange, script, attempt, _, _ = dialled()
    script.begin = False
    assert not exchange.may_write(attempt)

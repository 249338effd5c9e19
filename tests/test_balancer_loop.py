"""Tests the balancer loop: one event at a time, all actions before the next event, exceptions contained."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from alderspool.balancer.actions import Action, Cancel, Fail, SetTimer
from alderspool.balancer.events import (
    AttemptStatus,
    ClientDisconnected,
    Event,
    Outcome,
    Request,
    TimerFired,
)
from alderspool.routing.balancer_loop import ActionHandlers, BalancerLoop
from alderspool.routing.clock import Clock
from alderspool.routing.decision_log import DecisionLog


class ScriptedBalancer:
    def __init__(self, script: dict[type, Callable[[Event], list[Action]]]) -> None:
        self.script = script
        self.events: list[Event] = []

    def start(self, now: float) -> list[Action]:
        return [SetTimer(1, 5.0)]

    def may_begin(self, now: float, request_id: int) -> bool:
        return True

    def handle(self, now: float, event: Event) -> list[Action]:
        self.events.append(event)
        decide = self.script.get(type(event))
        return decide(event) if decide else []


def ignore(action: Action) -> None:
    pass


def start_loop(
    balancer: ScriptedBalancer, handlers: ActionHandlers, concluded_ids: frozenset[int] = frozenset()
) -> BalancerLoop:
    loop = BalancerLoop(balancer, Clock(), DecisionLog(), is_concluded=concluded_ids.__contains__)
    loop.start({SetTimer: ignore} | handlers)
    return loop


def outcome(finished: bool) -> Outcome:
    return Outcome(7, 0, b"s1", AttemptStatus.ERROR, 5.0, finished)


def test_start_executes_the_initial_actions() -> None:
    timers: list[Action] = []

    start_loop(ScriptedBalancer({}), {SetTimer: timers.append})

    assert timers == [SetTimer(1, 5.0)]


def test_event_fed_by_a_handler_waits_until_all_current_actions_are_executed() -> None:
    order: list[str] = []

    def cancel(action: Cancel) -> None:
        order.append("cancel")
        loop.feed(TimerFired(3))

    def fail(action: Fail) -> None:
        order.append("fail")

    def handle_timer(event: Event) -> list[Action]:
        order.append("timer handled")
        return []

    balancer = ScriptedBalancer({Request: lambda event: [Cancel(7, 0), Fail(7)], TimerFired: handle_timer})
    loop = start_loop(balancer, {Cancel: cancel, Fail: fail})

    loop.feed(Request(7, 1000.0))

    assert order == ["cancel", "fail", "timer handled"]


@pytest.mark.parametrize(
    ("finished", "concluded_ids", "expected"),
    [
        pytest.param(False, frozenset(), False, id="pending"),
        pytest.param(False, frozenset({7}), True, id="concluded_since"),
        pytest.param(True, frozenset(), True, id="final_response_given"),
    ],
)
def test_outcome_is_marked_finished_if_the_request_is_already_concluded(
    finished: bool, concluded_ids: frozenset[int], expected: bool
) -> None:
    balancer = ScriptedBalancer({})
    loop = start_loop(balancer, {}, concluded_ids)

    loop.feed(outcome(finished))

    assert balancer.events[0].finished is expected


def test_exception_on_one_event_does_not_stop_the_next() -> None:
    balancer = ScriptedBalancer({Request: lambda event: 1 / 0})
    loop = start_loop(balancer, {})

    loop.feed(Request(7, 1000.0))
    loop.feed(ClientDisconnected(7))

    assert [type(event) for event in balancer.events] == [Request, ClientDisconnected]


def test_exception_in_a_handler_does_not_stop_queued_events() -> None:
    def fail(action: Fail) -> None:
        loop.feed(TimerFired(3))
        raise ConnectionError

    balancer = ScriptedBalancer({Request: lambda event: [Fail(7)]})
    loop = start_loop(balancer, {Fail: fail})

    loop.feed(Request(7, 1000.0))

    assert [type(event) for event in balancer.events] == [Request, TimerFired]

"""The loop that passes events to the balancer, one at a time and in order, and executes its actions."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from alderspool.balancer.actions import Action
from alderspool.balancer.events import Event, Outcome
from alderspool.routing.clock import Clock
from alderspool.routing.decision_log import DecisionLog

ActionHandlers = Mapping[type[Action], Callable[[Any], None]]


class BalancerProtocol(Protocol):
    """The methods of `alderspool.balancer.Balancer` that the exchange uses. Times are Clock milliseconds."""

    def start(self, now: float) -> list[Action]:
        """Return the initial actions. Called once, before the first event."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process an event and return the actions to execute."""

    def may_begin(self, now: float, request_id: int) -> bool:
        """Return whether the latest attempt of the request may still be written."""


class BalancerLoop:
    """Passes events to the balancer and executes the resulting actions before the next event.

    Executing an action may cause further events. They are queued until all actions of the current event have
    been executed, so the balancer is never re-entered. An exception during one event is logged and does not
    stop the loop, so that other requests still get their responses. `is_concluded` takes a request id and
    returns whether that request needs no further response.
    """

    def __init__(
        self, balancer: BalancerProtocol, clock: Clock, log: DecisionLog, is_concluded: Callable[[int], bool]
    ) -> None:
        """Create the loop. `start` must be called before the first event."""
        self.balancer = balancer
        self._clock = clock
        self._log = log
        self._is_concluded = is_concluded
        self._handlers: ActionHandlers = {}
        self._events: deque[Event] = deque()
        self._is_feeding = False

    def start(self, handlers: ActionHandlers) -> None:
        """Start the balancer and execute its initial actions. `handlers` are used for all later ones too."""
        self._handlers = handlers
        self._execute(self.balancer.start(self._clock.now()))

    def feed(self, event: Event) -> None:
        """Process an event and all events that it causes.

        When called by an action handler, only queue the event: the call in progress processes it.
        """
        self._events.append(event)
        if self._is_feeding:
            return
        self._is_feeding = True
        try:
            while self._events:
                self._feed_one(self._events.popleft())
        finally:
            self._is_feeding = False

    def _feed_one(self, event: Event) -> None:
        if type(event) is Outcome and not event.finished:
            # The request may have been concluded while the event was queued. It must not be retried then.
            event.finished = self._is_concluded(event.id)
        try:
            self._execute(self.balancer.handle(self._clock.now(), event))
        except Exception:
            self._log.exception("balancer failed on event {}", type(event).__name__)

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            self._handlers[type(action)](action)

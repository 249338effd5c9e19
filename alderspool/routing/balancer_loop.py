"""The loop around the balancer: events in, one at a time and in order; actions out, to their handlers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from alderspool.balancer.actions import Action
from alderspool.balancer.events import Event, Outcome
from alderspool.routing.clock import Clock
from alderspool.routing.decision_log import DecisionLog

ActionHandlers = Mapping[type[Action], Callable[[Any], None]]


class DecisionMaker(Protocol):
    """What the exchange needs of `alderspool.balancer.Balancer`. Times are milliseconds on the Clock."""

    def start(self, now: float) -> list[Action]:
        """Begin, before the first event."""

    def handle(self, now: float, event: Event) -> list[Action]:
        """Take one event, and return what is to be done."""

    def may_begin(self, now: float, request_id: int) -> bool:
        """Return whether an attempt of the request may still be written."""


class BalancerLoop:
    """Feeds the balancer, and has its actions carried out before the next event is fed.

    An action may bring about further events; these are queued until the actions before them are done, so the
    balancer is never re-entered. A fault over one event is logged, and costs no other request its response.
    `is_concluded` returns whether a request, by its id, needs no further response.
    """

    def __init__(
        self, balancer: DecisionMaker, clock: Clock, log: DecisionLog, is_concluded: Callable[[int], bool]
    ) -> None:
        """Prepare the loop; `start` has to be called before the first event."""
        self.balancer = balancer
        self._clock = clock
        self._log = log
        self._is_concluded = is_concluded
        self._handlers: ActionHandlers = {}
        self._events: deque[Event] = deque()
        self._is_feeding = False

    def start(self, handlers: ActionHandlers) -> None:
        """Start the balancer; from now on its actions go to these handlers."""
        self._handlers = handlers
        self._carry_out(self.balancer.start(self._clock.now()))

    def feed(self, event: Event) -> None:
        """Feed an event, and all that follow from it; only queue it if called by an action's handler."""
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
            # The request may have been concluded while the event was queued; then it must not be retried.
            event.finished = self._is_concluded(event.id)
        try:
            self._carry_out(self.balancer.handle(self._clock.now(), event))
        except Exception:
            self._log.exception("balancer failed on event {}", type(event).__name__)

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            self._handlers[type(action)](action)

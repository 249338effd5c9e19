"""The balancer: routes each event to the policy that handles it and returns the resulting actions.

Read `rotation` first: it picks the endpoint for an ordinary request. `request_dispatch` then shows how a
request passes through all the modules.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from alderspool.balancer.actions import Action, SetTimer, Watch
from alderspool.balancer.events import (
    ClientDisconnected,
    EndpointListUpdate,
    Event,
    HealthChecked,
    Outcome,
    PeerMessage,
    Request,
    ResponseStarted,
    TimerFired,
    UpdateMode,
)
from alderspool.balancer.load_reports import FULL_REPORT_INTERVAL_MS
from alderspool.balancer.policies import Policies
from alderspool.balancer.refresh import Refresh
from alderspool.balancer.request_dispatch import RequestDispatcher
from alderspool.balancer.schedule import REFRESH_INTERVAL_MS, poll_backoff_ms
from alderspool.balancer.settings import Settings
from alderspool.balancer.subset import REMOVED_KEPT_MS
from alderspool.balancer.timers import KIND_BITS, KIND_MASK, TimerKind, timer_token


class Balancer:
    """Makes all load-balancing decisions of one proxy instance.

    Times are milliseconds of a monotonic clock that the caller provides.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.policies = Policies(settings, self.random)
        self.refresh = Refresh(settings, self.policies)
        self.requests = RequestDispatcher(settings, self.policies)
        self._failed_polls = 0
        self._handlers: dict[type, Callable[[Any], None]] = {
            Request: self.requests.accept,
            Outcome: self.requests.finish_attempt,
            TimerFired: self._on_timer,
            PeerMessage: self._on_peer_message,
            EndpointListUpdate: self._on_list_update,
            ClientDisconnected: self._on_client_disconnected,
            HealthChecked: self._on_health_checked,
            ResponseStarted: self._on_response_started,
        }

    def start(self, now: float) -> list[Action]:
        """Return the initial actions. Call it once, before the first event."""
        self.policies.latency.started_at = now
        actions: list[Action] = []
        if self.settings.list_on_request:
            actions.append(Watch())
        if self.settings.peer_messages_allowed and self.settings.instance_count > 1:
            delay_ms = REFRESH_INTERVAL_MS * self.random.random()
            actions.append(SetTimer(timer_token(TimerKind.LOAD_REPORT), delay_ms))
        return actions

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the actions to carry out, in order."""
        requests = self.requests
        requests.now = now
        requests.actions = []
        if self.refresh.is_due(now):
            self._refresh()
        self._handlers[type(event)](event)
        return requests.actions

    def may_begin(self, now: float, request_id: int) -> bool:
        """Return whether a request's latest attempt may still be sent; asked once it has a connection."""
        request = self.requests.pending.get(request_id)
        return request is not None and self.policies.retry_rules.may_begin(request, now)

    def _refresh(self) -> None:
        if self.refresh.run(self.requests.now):
            self.requests.log("quiesce: much work is slow at low load; all endpoints but one get no requests")

    def _on_list_update(self, event: EndpointListUpdate) -> None:
        now = self.requests.now
        if event.mode == UpdateMode.FAILED:
            list_max_age_ms = self.settings.list_max_age_ms
            backoff_ms = poll_backoff_ms(self._failed_polls, list_max_age_ms, self.random.random())
            self._failed_polls += 1
            self.requests.actions.append(SetTimer(timer_token(TimerKind.WATCH), backoff_ms))
            return
        self._failed_polls = 0
        self.policies.endpoint_list.apply(event, now, REMOVED_KEPT_MS)
        self.refresh.reselect(now)
        # Refresh first, or the queued requests would burst onto an endpoint that is listed as cold.
        self._refresh()
        self.requests.dispatch_queued()

    def _on_timer(self, event: TimerFired) -> None:
        kind = event.token & KIND_MASK
        request_id = event.token >> KIND_BITS
        if kind == TimerKind.HEDGE:
            self.requests.send_hedge(request_id)
        elif kind == TimerKind.KEY_TURN:
            request = self.requests.pending.get(request_id)
            if request is not None:
                self.requests.check_key_turn(request)
        elif kind == TimerKind.QUEUE:
            self.requests.check_queue()
        elif kind == TimerKind.WATCH:
            self.requests.actions.append(Watch())
        elif kind == TimerKind.LOAD_REPORT:
            self.requests.actions.extend(
                self.policies.load_reports.full_report(self.policies.subset.selected)
            )
            self.requests.actions.append(
                SetTimer(timer_token(TimerKind.LOAD_REPORT), FULL_REPORT_INTERVAL_MS)
            )

    def _on_peer_message(self, event: PeerMessage) -> None:
        if self.policies.load_reports.peers.receive(event, self.requests.now):
            self.requests.dispatch_queued()

    def _on_client_disconnected(self, event: ClientDisconnected) -> None:
        self.requests.handle_client_disconnected(event.id)

    def _on_response_started(self, event: ResponseStarted) -> None:
        self.requests.handle_response_started(event.id)

    def _on_health_checked(self, event: HealthChecked) -> None:
        """Ignore the result.

        This balancer sends no health checks: the time that attempts spend in flight tells as much at no cost.
        """

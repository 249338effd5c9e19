"""Executes the balancer's actions, with one handler for each type of action."""

from __future__ import annotations

import asyncio

from alderspool.balancer.actions import (
    Cancel,
    CheckHealth,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    Watch,
)
from alderspool.balancer.events import AttemptStatus, HealthChecked, TimerFired
from alderspool.routing.attempts import AttemptController
from alderspool.routing.balancer_loop import ActionHandlers, BalancerLoop
from alderspool.routing.clock import MS_PER_S, Clock
from alderspool.routing.decision_log import DecisionLog
from alderspool.routing.endpoint_table import EndpointTable
from alderspool.routing.final_responses import FinalResponder
from alderspool.routing.messages import Discovery, Upstream
from alderspool.routing.pending_requests import PendingRequestTable


class RequestActionHandlers:
    """Handles the actions that apply to a single pending request.

    Actions on a request that was removed from the table are ignored.
    """

    def __init__(
        self,
        clock: Clock,
        pending_requests: PendingRequestTable,
        attempts: AttemptController,
        responder: FinalResponder,
    ) -> None:
        """Create handlers for the requests in `pending_requests`."""
        self._clock = clock
        self._pending_requests = pending_requests
        self._attempts = attempts
        self._responder = responder

    @property
    def handlers(self) -> ActionHandlers:
        """The handlers, keyed by action type."""
        return {Send: self._attempts.start, Reject: self._reject, Fail: self._fail, Cancel: self._cancel}

    def _reject(self, action: Reject) -> None:
        pending = self._pending_requests.get(action.id)
        if pending is not None:
            self._responder.reject(pending, action.retry_after_ms)

    def _fail(self, action: Fail) -> None:
        pending = self._pending_requests.get(action.id)
        if pending is not None:
            self._responder.fail(pending, timed_out=self._clock.now() >= pending.deadline)

    def _cancel(self, action: Cancel) -> None:
        self._attempts.cancel(action.id, action.attempt)


class FleetActionHandlers:
    """Handles the actions that concern endpoints, discovery, timers, peers and the log."""

    def __init__(
        self,
        balancer_loop: BalancerLoop,
        endpoints: EndpointTable,
        upstream: Upstream,
        discovery: Discovery,
        log: DecisionLog,
        health_checks_allowed: bool,
    ) -> None:
        """Create handlers that act on these components.

        Unless `health_checks_allowed`, a health check is reported as never sent instead of being started.
        """
        self._balancer_loop = balancer_loop
        self._endpoints = endpoints
        self._upstream = upstream
        self._discovery = discovery
        self._log = log
        self._health_checks_allowed = health_checks_allowed
        self._loop = asyncio.get_running_loop()

    @property
    def handlers(self) -> ActionHandlers:
        """The handlers, keyed by action type."""
        return {
            SetTimer: self._set_timer,
            CheckHealth: self._check_health,
            CloseIdle: self._close_idle,
            Watch: self._watch,
            FetchList: self._fetch_list,
            SendToPeer: self._ignore_peer_message,
            Log: self._write_log,
        }

    def _set_timer(self, action: SetTimer) -> None:
        self._loop.call_later(action.delay_ms / MS_PER_S, self._balancer_loop.feed, TimerFired(action.token))

    def _check_health(self, action: CheckHealth) -> None:
        endpoint = self._endpoints.get(action.endpoint)
        if endpoint is None or not self._health_checks_allowed:
            self._balancer_loop.feed(HealthChecked(action.endpoint, AttemptStatus.NEVER_SENT, latency_ms=0.0))
        else:
            self._upstream.probe(action.endpoint, endpoint.host, endpoint.port)

    def _close_idle(self, action: CloseIdle) -> None:
        self._upstream.close_idle(action.endpoint)

    def _watch(self, action: Watch) -> None:
        self._discovery.watch(action.on)

    def _fetch_list(self, _action: FetchList) -> None:
        self._discovery.fetch()

    def _ignore_peer_message(self, _action: SendToPeer) -> None:
        """Ignore the message: the proxy's HTTP protocol has no channel between proxy instances."""

    def _write_log(self, action: Log) -> None:
        self._log.decision(action.text, self._endpoints.ids)

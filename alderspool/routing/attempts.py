"""Attempts of pending requests: started as the balancer decides, written only while allowed, ended once."""

from __future__ import annotations

import asyncio

from alderspool.balancer.actions import Send
from alderspool.balancer.events import AttemptStatus, EndpointId, Outcome
from alderspool.routing.balancer_loop import BalancerLoop
from alderspool.routing.clock import Clock
from alderspool.routing.counts import RequestCounts
from alderspool.routing.endpoint_table import EndpointTable
from alderspool.routing.final_responses import FinalResponder
from alderspool.routing.messages import Attempt, Upstream
from alderspool.routing.pending_requests import PendingRequest, PendingRequestTable


class AttemptController:
    """Owns the attempts from the balancer's decision until their outcome is reported to it."""

    def __init__(
        self,
        clock: Clock,
        table: PendingRequestTable,
        endpoints: EndpointTable,
        balancer_loop: BalancerLoop,
        responder: FinalResponder,
        counts: RequestCounts,
        upstream: Upstream,
        max_attempts: int,
    ) -> None:
        """Start no attempt; `max_attempts` is the limit for one request."""
        self._clock = clock
        self._table = table
        self._endpoints = endpoints
        self._balancer_loop = balancer_loop
        self._balancer = balancer_loop.balancer
        self._responder = responder
        self._counts = counts
        self._upstream = upstream
        self._max_attempts = max_attempts
        self._loop = asyncio.get_running_loop()

    def start(self, decision: Send) -> None:
        """Dispatch an attempt, or end it at once as never sent if it must not reach an endpoint."""
        pending = self._table.get(decision.id)
        if pending is None:
            return  # concluded, and all attempts have ended: there is nothing to report to
        attempt = self._add_attempt(pending, decision.endpoint, decision.timeout_ms)
        if attempt.number >= self._max_attempts or not self.may_write(attempt):
            self.ended(attempt, AttemptStatus.NEVER_SENT)
            return
        self._counts.attempts += 1
        if attempt.expires_at < pending.deadline:
            self._loop.call_at(self._clock.loop_time(attempt.expires_at), self._expire, attempt)
        self._upstream.dispatch(attempt)

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be written now.

        Called when the attempt starts and again just before it is written, since connecting takes time: its
        endpoint may be draining by now or be at another address, or the deduplication window of a retry may
        have ended. The client may have disconnected unnoticed as well, with the end of its connection behind
        unread bytes; then the request is concluded here.
        """
        pending = self._table.get(attempt.request_id)
        now = self._clock.now()
        if attempt.ended or pending is None or pending.is_concluded or now >= attempt.expires_at:
            return False
        if not self._endpoints.is_ready_at(attempt.endpoint, attempt.host, attempt.port):
            return False
        if not self._balancer.may_begin(now, attempt.request_id):
            return False
        if pending.request.is_disconnected():
            self._responder.disconnect(pending)
            return False
        return True

    def time_left_ms(self, attempt: Attempt) -> float:
        """Return the time that an attempt states to its endpoint.

        A retry states no more than is surely left. A first attempt states what is left if its request has
        waited no longer than is sure: with less, an endpoint would give up work that can still be in time.
        """
        expires_at = attempt.expires_at
        if attempt.number > 0:
            pending = self._table.get(attempt.request_id)
            if pending is not None:
                expires_at = min(expires_at, pending.earliest_deadline)
        return expires_at - self._clock.now()

    def ended(self, attempt: Attempt, status: AttemptStatus, payload: object = None) -> None:
        """Report the end of an attempt; its further ends are ignored.

        The first attempt that is served gives its request the final response, with this payload.
        """
        pending = self._table.get(attempt.request_id)
        if attempt.ended or pending is None:
            return
        attempt.ended = True
        pending.running_attempts -= 1
        if status == AttemptStatus.OK:
            self._responder.serve(pending, payload)
        latency_ms = self._clock.now() - attempt.started_at
        self._balancer_loop.feed(
            Outcome(
                attempt.request_id,
                attempt.number,
                attempt.endpoint,
                status,
                latency_ms,
                pending.is_concluded,
            )
        )
        self._table.remove_if_finished(pending)

    def cancel(self, request_id: int, number: int) -> None:
        """Cancel an attempt as the balancer decided.

        Does nothing if the attempt has ended: then its outcome is already queued for the balancer.
        """
        pending = self._table.get(request_id)
        if pending is None or number >= len(pending.attempts):
            return
        attempt = pending.attempts[number]
        if not attempt.ended:
            self._upstream.cancel(attempt)
            self.ended(attempt, AttemptStatus.CANCELLED)

    def expire_all(self, pending: PendingRequest) -> None:
        """End all running attempts of a request whose deadline has passed."""
        running = [attempt for attempt in pending.attempts if not attempt.ended]
        for attempt in running:
            self._expire(attempt)

    def _add_attempt(self, pending: PendingRequest, endpoint_id: EndpointId, timeout_ms: float) -> Attempt:
        """Record an attempt; a `timeout_ms` of 0 means until the request's deadline."""
        now = self._clock.now()
        expires_at = min(pending.deadline, now + timeout_ms) if timeout_ms else pending.deadline
        endpoint = self._endpoints.get(endpoint_id)
        attempt = Attempt(
            pending.id,
            len(pending.attempts),
            endpoint_id,
            endpoint.host if endpoint else "",
            endpoint.port if endpoint else 0,
            pending.request.payload,
            now,
            expires_at,
        )
        pending.attempts.append(attempt)
        pending.running_attempts += 1
        return attempt

    def _expire(self, attempt: Attempt) -> None:
        """End an attempt whose time is over. One that was not yet written has surely not run."""
        if not attempt.ended:
            self._upstream.cancel(attempt)
            self.ended(attempt, AttemptStatus.TIMEOUT if attempt.written else AttemptStatus.NEVER_SENT)

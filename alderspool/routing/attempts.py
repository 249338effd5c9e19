"""Lifecycle of attempts: start, checks before writing, timeout, cancellation and report of the outcome."""

from __future__ import annotations

import asyncio

from alderspool.balancer.actions import Send
from alderspool.balancer.events import AttemptStatus, EndpointId, Outcome
from alderspool.balancer.retry_rules import never_ran_statuses
from alderspool.balancer.settings import Settings
from alderspool.routing.balancer_loop import BalancerLoop
from alderspool.routing.clock import Clock
from alderspool.routing.counts import RequestCounts
from alderspool.routing.endpoint_table import EndpointTable
from alderspool.routing.final_responses import FinalResponder
from alderspool.routing.messages import Attempt, Upstream
from alderspool.routing.pending_requests import PendingRequest, PendingRequestTable


class AttemptController:
    """Manages each attempt from the balancer's Send action until its outcome is reported to the balancer."""

    def __init__(
        self,
        clock: Clock,
        pending_requests: PendingRequestTable,
        endpoints: EndpointTable,
        balancer_loop: BalancerLoop,
        responder: FinalResponder,
        counts: RequestCounts,
        upstream: Upstream,
        settings: Settings,
    ) -> None:
        """Create a controller without attempts."""
        self._clock = clock
        self._pending_requests = pending_requests
        self._endpoints = endpoints
        self._balancer_loop = balancer_loop
        self._balancer = balancer_loop.balancer
        self._responder = responder
        self._counts = counts
        self._upstream = upstream
        self._max_attempts = settings.max_attempts
        self._never_ran_statuses = never_ran_statuses(settings)
        self._loop = asyncio.get_running_loop()

    def start(self, action: Send) -> None:
        """Start an attempt, or finish it at once as NEVER_SENT if it must not be written."""
        pending = self._pending_requests.get(action.id)
        if pending is None:
            return  # the request is concluded and all its attempts have ended
        attempt = self._add_attempt(pending, action.endpoint, action.timeout_ms)
        if attempt.number >= self._max_attempts or not self.may_write(attempt):
            self.finish(attempt, AttemptStatus.NEVER_SENT)
            return
        self._counts.attempts += 1
        if attempt.expires_at < pending.deadline:
            self._loop.call_at(self._clock.loop_time(attempt.expires_at), self._expire, attempt)
        self._upstream.dispatch(attempt)

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be written now.

        Called when the attempt starts, and again just before it is written, because connecting takes time. In
        the meantime the endpoint may have started draining or moved to another address, or the deduplication
        window of a retry may have ended. The client may also have disconnected unnoticed, if the end of its
        connection is behind unread bytes; in that case the request is concluded here.
        """
        pending = self._pending_requests.get(attempt.request_id)
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
        # The first attempt follows at once on the request, when the client was there.
        return attempt.number == 0 or not pending.request.may_hide_disconnect()

    def time_left_ms(self, attempt: Attempt) -> float:
        """Return the remaining time to send to the endpoint with an attempt."""
        return attempt.expires_at - self._clock.now()

    def finish(self, attempt: Attempt, status: AttemptStatus, payload: object = None) -> None:
        """Mark an attempt as ended and report its outcome to the balancer.

        Does nothing if the attempt has already ended. If `status` is OK and the request has no final response
        yet, `payload` is delivered as its final response.
        """
        pending = self._pending_requests.get(attempt.request_id)
        if attempt.ended or pending is None:
            return
        attempt.ended = True
        pending.running_attempts -= 1
        if status == AttemptStatus.OK:
            self._responder.serve(pending, payload)
        if attempt.written and status not in self._never_ran_statuses:
            pending.may_have_run = True
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
        self._pending_requests.remove_if_finished(pending)

    def cancel(self, request_id: int, number: int) -> None:
        """Cancel an attempt as the balancer decided.

        Does nothing if the attempt has already ended, since its outcome was queued for the balancer then.
        """
        pending = self._pending_requests.get(request_id)
        if pending is None or number >= len(pending.attempts):
            return
        attempt = pending.attempts[number]
        if not attempt.ended:
            self._upstream.cancel(attempt)
            self.finish(attempt, AttemptStatus.CANCELLED)

    def expire_attempts(self, pending: PendingRequest) -> None:
        """Time out all running attempts of a request whose deadline has passed."""
        running = [attempt for attempt in pending.attempts if not attempt.ended]
        for attempt in running:
            self._expire(attempt)

    def _add_attempt(self, pending: PendingRequest, endpoint_id: EndpointId, timeout_ms: float) -> Attempt:
        """Add an attempt to a request. With a `timeout_ms` of 0 it may run until the request's deadline."""
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
        """Time out an attempt. One that was not written is reported as NEVER_SENT: it cannot have run."""
        if not attempt.ended:
            self._upstream.cancel(attempt)
            self.finish(attempt, AttemptStatus.TIMEOUT if attempt.written else AttemptStatus.NEVER_SENT)

"""Concludes pending requests: with exactly one final response, or with none if the client disconnected."""

from __future__ import annotations

from typing import Any

from alderspool.balancer.events import ClientDisconnected
from alderspool.routing.balancer_loop import BalancerLoop
from alderspool.routing.counts import RequestCounts
from alderspool.routing.decision_log import DecisionLog
from alderspool.routing.messages import Failed, FinalResponse, Rejected, Served
from alderspool.routing.pending_requests import PendingRequest, PendingRequestTable, PendingState


class FinalResponder:
    """Concludes pending requests and counts how they were concluded.

    Does nothing for a request that is already concluded. An exception raised by a response callback is logged
    and not propagated, so that the outcome reaches the balancer even if the client connection is broken.
    """

    def __init__(
        self,
        pending_requests: PendingRequestTable,
        balancer_loop: BalancerLoop,
        counts: RequestCounts,
        log: DecisionLog,
    ) -> None:
        """Create a responder for the requests in `pending_requests`."""
        self._pending_requests = pending_requests
        self._balancer_loop = balancer_loop
        self._counts = counts
        self._log = log

    def serve(self, pending: PendingRequest, payload: Any) -> None:
        """Deliver an endpoint's response.

        The request stays in the table, because the caller has to report the outcome to the balancer before it
        is removed.
        """
        if self._pending_requests.conclude(pending, PendingState.SERVED):
            self._counts.served += 1
            self._deliver(pending, Served(payload))

    def reject(self, pending: PendingRequest, retry_after_ms: float) -> None:
        """Reject a request as the balancer decided. A `retry_after_ms` of 0 gives the client no advice."""
        if self._pending_requests.conclude(pending, PendingState.REJECTED):
            self._counts.rejected += 1
            self._deliver(pending, Rejected(retry_after_ms))
            self._pending_requests.remove_if_finished(pending)

    def fail(self, pending: PendingRequest, timed_out: bool) -> None:
        """Fail a request as the balancer decided."""
        if self._conclude_failed(pending, timed_out):
            self._pending_requests.remove_if_finished(pending)

    def fail_without_balancer(self, pending: PendingRequest) -> None:
        """Fail a request that the balancer has not concluded in time.

        The balancer is notified as if the client had disconnected: the request needs no further response.
        """
        if self._conclude_failed(pending, timed_out=True):
            self._notify_balancer_and_remove(pending)

    def disconnect(self, pending: PendingRequest) -> None:
        """Conclude a request whose client has disconnected, without a response."""
        if self._pending_requests.conclude(pending, PendingState.CLIENT_DISCONNECTED):
            self._counts.disconnected += 1
            self._notify_balancer_and_remove(pending)

    def _notify_balancer_and_remove(self, pending: PendingRequest) -> None:
        """Notify the balancer that no response is needed, and remove the request if no attempt is running."""
        self._balancer_loop.feed(ClientDisconnected(pending.id))
        self._pending_requests.remove_if_finished(pending)

    def _conclude_failed(self, pending: PendingRequest, timed_out: bool) -> bool:
        if not self._pending_requests.conclude(pending, PendingState.FAILED):
            return False
        self._counts.failed += 1
        self._deliver(pending, Failed(timed_out))
        return True

    def _deliver(self, pending: PendingRequest, response: FinalResponse) -> None:
        try:
            pending.respond(response)
        except Exception:
            self._log.exception("a final response could not be delivered")

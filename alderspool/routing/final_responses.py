"""How pending requests are concluded: exactly one final response each, or none if the client disconnected."""

from __future__ import annotations

from typing import Any

from alderspool.balancer.events import ClientDisconnected
from alderspool.routing.balancer_loop import BalancerLoop
from alderspool.routing.counts import RequestCounts
from alderspool.routing.decision_log import DecisionLog
from alderspool.routing.messages import Failed, FinalResponse, Rejected, Served
from alderspool.routing.pending_requests import PendingRequest, PendingRequestTable, PendingState


class FinalResponder:
    """Concludes pending requests and counts the conclusions.

    A request that is already concluded is left as it is. A response callback that raises is logged: one
    client's broken connection must not keep the outcome from the balancer.
    """

    def __init__(
        self, table: PendingRequestTable, loop: BalancerLoop, counts: RequestCounts, log: DecisionLog
    ) -> None:
        """Conclude the requests of this table."""
        self._table = table
        self._loop = loop
        self._counts = counts
        self._log = log

    def serve(self, pending: PendingRequest, payload: Any) -> None:
        """Give an endpoint's response.

        The request stays in the table: its caller has to report the outcome to the balancer first.
        """
        if self._table.conclude(pending, PendingState.SERVED):
            self._counts.served += 1
            self._deliver(pending, Served(payload))

    def reject(self, pending: PendingRequest, retry_after_ms: float) -> None:
        """Reject a request as the balancer decided."""
        if self._table.conclude(pending, PendingState.REJECTED):
            self._counts.rejected += 1
            self._deliver(pending, Rejected(retry_after_ms))
            self._table.remove_if_finished(pending)

    def fail(self, pending: PendingRequest, timed_out: bool) -> None:
        """Fail a request as the balancer decided."""
        if self._conclude_failed(pending, timed_out):
            self._table.remove_if_finished(pending)

    def fail_without_balancer(self, pending: PendingRequest) -> None:
        """Fail a request that the balancer has not concluded in time.

        The balancer is notified as if the client had disconnected: it needs no further response.
        """
        if self._conclude_failed(pending, timed_out=True):
            self._release(pending)

    def disconnect(self, pending: PendingRequest) -> None:
        """Conclude a request whose client has disconnected, without a response."""
        if self._table.conclude(pending, PendingState.CLIENT_DISCONNECTED):
            self._counts.disconnected += 1
            self._release(pending)

    def _release(self, pending: PendingRequest) -> None:
        self._loop.feed(ClientDisconnected(pending.id))
        self._table.remove_if_finished(pending)

    def _conclude_failed(self, pending: PendingRequest, timed_out: bool) -> bool:
        if not self._table.conclude(pending, PendingState.FAILED):
            return False
        self._counts.failed += 1
        self._deliver(pending, Failed(timed_out))
        return True

    def _deliver(self, pending: PendingRequest, response: FinalResponse) -> None:
        try:
            pending.respond(response)
        except Exception:
            self._log.exception("a final response could not be delivered")

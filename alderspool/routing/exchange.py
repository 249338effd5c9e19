"""The exchange: the one place where the client side and the endpoint side meet, around the one balancer.

It takes requests, ends of attempts and endpoint lists from the transport, feeds them to the balancer as
events, and has the balancer's actions carried out. It decides nothing and knows no protocol. Its parts:

- `pending_requests`: the requests without a conclusion or with running attempts, and their deadlines;
- `endpoint_table`: the listed endpoints;
- `balancer_loop`: events in and actions out, one at a time;
- `action_handlers`, `attempts`, `final_responses`: what the actions do;
- `decision_log`, `counts`: what operators see of it.
"""

from __future__ import annotations

from collections.abc import Callable

from alderspool.balancer.balancer import Balancer
from alderspool.balancer.events import (
    AttemptStatus,
    EndpointId,
    EndpointListUpdate,
    HealthChecked,
    Request,
    UpdateMode,
)
from alderspool.balancer.settings import Settings
from alderspool.routing.action_handlers import FleetActions, RequestActions
from alderspool.routing.attempts import AttemptController
from alderspool.routing.balancer_loop import BalancerLoop, DecisionMaker
from alderspool.routing.clock import Clock
from alderspool.routing.counts import RequestCounts
from alderspool.routing.decision_log import DecisionLog
from alderspool.routing.endpoint_table import EndpointTable
from alderspool.routing.final_responses import FinalResponder
from alderspool.routing.messages import (
    Attempt,
    ClientRequest,
    Discovery,
    EndpointList,
    Rejected,
    ResponseCallback,
    Upstream,
)
from alderspool.routing.pending_requests import PendingRequest, PendingRequestTable


class Exchange:
    """Routes requests from clients to endpoints as its balancer decides.

    Every request that is submitted gets exactly one final response, unless its client disconnects first. Not
    thread-safe: created and called on one event loop. `counts` is for the log line at the end of the program.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Clock,
        create_balancer: Callable[[Settings, int], DecisionMaker] = Balancer,
    ) -> None:
        """Create the balancer; nothing may be submitted before `start`."""
        self.counts = RequestCounts()
        self._settings = settings
        self._clock = clock
        self._log = DecisionLog()
        self._endpoints = EndpointTable()
        self._table = PendingRequestTable(
            clock, settings.response_slack_ms, self._deadline_passed, self._response_overdue
        )
        self._balancer_loop = BalancerLoop(
            create_balancer(settings, seed), clock, self._log, self._table.is_concluded
        )
        self._responder = FinalResponder(self._table, self._balancer_loop, self.counts, self._log)
        self._upstream: Upstream
        self._attempts: AttemptController
        self._is_ended = False
        self._list_failures_in_a_row = 0

    def start(self, upstream: Upstream, discovery: Discovery, known: EndpointList) -> None:
        """Start the balancer with the endpoint list that was known last."""
        self._upstream = upstream
        self._attempts = AttemptController(
            self._clock,
            self._table,
            self._endpoints,
            self._balancer_loop,
            self._responder,
            self.counts,
            upstream,
            self._settings.max_attempts,
        )
        request_actions = RequestActions(self._clock, self._table, self._attempts, self._responder)
        fleet_actions = FleetActions(
            self._balancer_loop,
            self._endpoints,
            upstream,
            discovery,
            self._log,
            self._settings.health_checks_allowed,
        )
        self._balancer_loop.start({**request_actions.handlers, **fleet_actions.handlers})
        if not self._settings.list_on_request:
            # Where updates are pushed the balancer does not poll; on sockets, a push needs an open watch.
            discovery.watch(True)
        self._apply_list(known, UpdateMode.CACHED)

    # ---- called by the client side ---------------------------------------------------------------

    @property
    def can_serve(self) -> bool:
        """Whether at least one endpoint is ready."""
        return self._endpoints.has_ready

    @property
    def pending_count(self) -> int:
        """How many requests still await their final response."""
        return len(self._table.awaiting_response)

    def is_pending(self, client_request_id: bytes) -> bool:
        """Return whether a request with the client's own id is pending, or has running attempts.

        A second one could not be distinguished from it: endpoints take it for a duplicate, and a response to
        one would pass for a response to the other.
        """
        return self._table.has_client_request_id(client_request_id)

    def submit(self, request: ClientRequest, respond: ResponseCallback) -> int:
        """Take a request, and return its id, or 0 if it was rejected without the balancer.

        `respond` is called exactly once with the final response, perhaps before this returns. It is not
        called if the client disconnects first.
        """
        self.counts.accepted += 1
        time_left_ms = request.time_left_ms - request.waited_ms
        is_table_full = len(self._table) >= self._settings.max_pending_requests
        if self._is_ended or time_left_ms <= 0.0 or is_table_full:
            self.counts.rejected += 1
            respond(Rejected())
            return 0
        pending = self._table.add(request, respond, time_left_ms)
        self._balancer_loop.feed(
            Request(
                pending.id,
                time_left_ms,
                request.cls,
                request.tenant,
                request.key,
                request.cost_hint_ms,
                request.is_retry,
            )
        )
        return pending.id

    def fail_pending(self) -> None:
        """Fail all requests that await a response, and reject all that are submitted from now on.

        For the last moment before the program has to exit: what it leaves without a response is lost.
        """
        self._is_ended = True
        for pending in self._table.awaiting_response:
            self._responder.fail_without_balancer(pending)

    def client_disconnected(self, request_id: int) -> None:
        """Conclude a request whose client has disconnected: it needs no response any longer."""
        pending = self._table.get(request_id)
        if pending is not None:
            self._responder.disconnect(pending)

    # ---- called by the endpoint side -------------------------------------------------------------

    def may_write(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be written now; to be called just before. See `AttemptController`."""
        return self._attempts.may_write(attempt)

    def time_left_ms(self, attempt: Attempt) -> float:
        """Return the time that an attempt states to its endpoint. See `AttemptController`."""
        return self._attempts.time_left_ms(attempt)

    def attempt_ended(self, attempt: Attempt, status: AttemptStatus, payload: object = None) -> None:
        """Take the end of an attempt; the first that is served gives its request the final response."""
        self._attempts.ended(attempt, status, payload)

    def health_check_ended(self, endpoint: EndpointId, status: AttemptStatus, latency_ms: float) -> None:
        """Take the result of a health check that `Upstream.probe` has started."""
        self._balancer_loop.feed(HealthChecked(endpoint, status, latency_ms))

    # ---- called by discovery -------------------------------------------------------------------------

    def endpoint_list_received(self, endpoint_list: EndpointList) -> None:
        """Take the endpoint list, or what changed in it."""
        if self._list_failures_in_a_row:
            self._log.info("discovery responds again after {} failed calls", self._list_failures_in_a_row)
            self._list_failures_in_a_row = 0
        self._apply_list(endpoint_list, UpdateMode.FULL if endpoint_list.is_complete else UpdateMode.DELTA)

    def discovery_call_failed(self, reason: str) -> None:
        """Take the failure of a call to discovery; the endpoint list stays as it is."""
        self._list_failures_in_a_row += 1
        if self._list_failures_in_a_row == 1:  # calls are repeated: one line each would fill the log
            self._log.warning("discovery call failed: {}", reason)
        self._balancer_loop.feed(EndpointListUpdate(UpdateMode.FAILED, []))

    def _apply_list(self, update: EndpointList, mode: UpdateMode) -> None:
        for endpoint_id in self._endpoints.apply(update, mode):
            self._upstream.close_idle(endpoint_id)
        entries = [endpoint.entry for endpoint in update.endpoints]
        self._balancer_loop.feed(EndpointListUpdate(mode, entries, update.revision))

    # ---- called by the table of pending requests ---------------------------------------------------------

    def _deadline_passed(self, pending: PendingRequest) -> None:
        """End the running attempts: a silent endpoint must not leave a request without a response."""
        self._attempts.expire_all(pending)

    def _response_overdue(self, pending: PendingRequest) -> None:
        """Give the client a response although the balancer has not concluded the request."""
        self._log.error("request {} is overdue: the balancer has not concluded it", pending.id)
        self._responder.fail_without_balancer(pending)

"""The client of discovery: keeps the endpoint list up to date by one watch that is opened again when it ends.

`discovery_watch` has the watch's states and transitions, `discovery_timeouts` and `discovery_backoff` the
times, `discovery_connection` the connection, `discovery_agent_poll` the polling of an unresponsive agent.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import Protocol

from alderspool.balancer.settings import Settings
from alderspool.protocol.endpoint_list import ListRequest, read_list
from alderspool.protocol.http_client import HttpResponse
from alderspool.routing.messages import EndpointList
from alderspool.transport.discovery_agent_poll import AGENT_POLL_INTERVAL_S, AgentPoller
from alderspool.transport.discovery_backoff import JitteredBackoff
from alderspool.transport.discovery_connection import Address, DiscoveryConnection
from alderspool.transport.discovery_timeouts import DiscoveryTimeouts
from alderspool.transport.discovery_watch import (
    TRANSITIONS,
    NextCall,
    RevisionWentBackError,
    Transition,
    WatchEvent,
    WatchState,
    classify_failure,
)

MIN_WAIT_MS = 1  # the shortest wait that can be stated: discovery responds at once
# Discovery keeps a watch open if the next call comes within 0.2 s. After a response that came early and has
# no update, the next call is delayed by this: a discovery that never waits must not be overloaded with calls.
EARLY_RESPONSE_DELAY_S = 0.1
MAX_REASON_LENGTH = 200  # characters of an error in the log


class EndpointListObserver(Protocol):
    """Receives what discovery sends; the exchange in the program."""

    def endpoint_list_received(self, endpoint_list: EndpointList, /) -> None:
        """Take over a complete list or an update."""

    def discovery_call_failed(self, reason: str, /) -> None:
        """Note that a call failed: the list known so far stays valid."""


class DiscoveryClient:
    """Watches the endpoint list from one event loop.

    It owns its connections and the task that watches. While the watch is on, that task does not end by
    itself: whatever a response holds, and whatever error occurs, the next call is made in time. Errors are
    passed to the exchange as text and never raised.
    """

    def __init__(
        self,
        address: Address,
        exchange: EndpointListObserver,
        settings: Settings,
        revision: int,
        seed: int = 0,
    ) -> None:
        """Start from the configured list, which has this revision; `seed` is that of the backoff's jitter."""
        self._address = address
        self._exchange = exchange
        self._settings = settings
        self._timeouts = DiscoveryTimeouts.from_settings(settings)
        self._backoff = JitteredBackoff(
            self._timeouts.initial_backoff_s, self._timeouts.max_backoff_s, Random(seed)
        )
        self._uses_local_agent = not settings.list_on_request
        # What a local agent holds counts as notified from our first moment, so only what it has sent to us
        # counts as known. A discovery that is polled continues from the configured list.
        self._state = WatchState.FULL_LIST_NEEDED if self._uses_local_agent else WatchState.NOT_WATCHING
        self._revision = revision
        self._has_list = asyncio.Event()
        self._watch_task: asyncio.Task[None] | None = None

    async def wait_for_list(self, timeout_s: float) -> bool:
        """Wait until a list has been received, and return whether one was within the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._has_list.wait()
        except TimeoutError:
            return False
        return True

    def watch(self, on: bool) -> None:
        """Start the watch, or stop it; no effect where it is so already."""
        if not on:
            self._stop()
        elif self._watch_task is None:
            self._watch_task = asyncio.get_running_loop().create_task(self._run_watch(self._address))

    def fetch(self) -> None:
        """Request the complete list now, and watch from its revision on."""
        self._transition(WatchEvent.FULL_LIST_REQUESTED)
        self._stop()
        self.watch(True)

    def move_to(self, address: Address) -> None:
        """Continue at another address; no effect where it is the present one.

        Its revisions need not continue those of the old discovery. Until it has sent its complete list no
        changes are requested by revision, and nothing more is accepted from the old one.
        """
        if address != self._address:
            self._address = address
            self.fetch()

    def _stop(self) -> None:
        if self._watch_task is not None:
            # The task is waiting, and ends there: no response to a call that is out is accepted any more.
            self._watch_task.cancel()
            self._watch_task = None

    async def _run_watch(self, address: Address) -> None:
        connection = DiscoveryConnection(address, self._timeouts.connect_s)
        failures = 0
        try:
            while True:
                try:
                    await self._update_list(connection)
                    failures = 0
                    continue
                except Exception as error:  # of any kind: nobody would notice a watch that ended here
                    connection.close()
                    transition = self._transition(classify_failure(error))
                    if transition.is_failure:
                        failures += 1
                        self._exchange.discovery_call_failed(_reason(error))
                if transition.next_call is NextCall.AFTER_BACKOFF:
                    await asyncio.sleep(self._retry_delay_s(failures))
        finally:
            connection.close()

    def _transition(self, event: WatchEvent) -> Transition:
        transition = TRANSITIONS[self._state, event]
        self._state = transition.next_state
        return transition

    def _retry_delay_s(self, failures: int) -> float:
        if self._uses_local_agent:
            return AGENT_POLL_INTERVAL_S
        return self._backoff.delay_s(failures)

    async def _update_list(self, connection: DiscoveryConnection) -> None:
        """Make the call that the state demands, and pass on the list in its response."""
        state = self._state
        known_revision = self._revision
        clock = asyncio.get_running_loop().time
        called_at = clock()
        response = await self._call(connection)
        endpoint_list = read_list(response, self._settings)
        revision = endpoint_list.revision
        if state is not WatchState.FULL_LIST_NEEDED and revision < known_revision:
            # Another discovery than the one we knew, or one that has lost its data: its revisions cannot be
            # compared with ours.
            raise RevisionWentBackError(f"revision {revision} after {known_revision}")
        self._exchange.endpoint_list_received(endpoint_list)
        self._revision = revision
        self._transition(WatchEvent.LIST_RECEIVED)
        self._has_list.set()
        if state is WatchState.WATCHING and revision == known_revision:
            is_early = clock() - called_at < min(EARLY_RESPONSE_DELAY_S, self._timeouts.watch_wait_s)
            if is_early:
                await asyncio.sleep(EARLY_RESPONSE_DELAY_S)

    async def _call(self, connection: DiscoveryConnection) -> HttpResponse:
        timeouts = self._timeouts
        if self._state is WatchState.WATCHING:
            wait_ms = max(int(1000.0 * timeouts.watch_wait_s), MIN_WAIT_MS)
            async with asyncio.timeout(timeouts.watch_wait_s + timeouts.watch_grace_s):
                return await connection.call(ListRequest(self._revision, wait_ms))
        if self._state is WatchState.NOT_WATCHING and self._uses_local_agent:
            return await AgentPoller(self._poll_agent, self._report_unresponsive_agent).first_response()
        since_revision = self._revision if self._state is WatchState.NOT_WATCHING else None
        async with asyncio.timeout(timeouts.call_s):
            return await connection.call(ListRequest(since_revision, MIN_WAIT_MS))

    async def _poll_agent(self) -> HttpResponse:
        connection = DiscoveryConnection(self._address, self._timeouts.connect_s)
        try:
            return await connection.call(ListRequest(self._revision, MIN_WAIT_MS))
        finally:
            connection.close()

    def _report_unresponsive_agent(self) -> None:
        self._exchange.discovery_call_failed("the local agent does not respond")


def _reason(error: Exception) -> str:
    return str(error)[:MAX_REASON_LENGTH] or type(error).__name__

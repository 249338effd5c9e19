"""Graceful shutdown: its steps in order, and the time that each of them may take.

After SIGTERM the proxy

1. accepts connections for a while longer, and ends each connection with its next response;
2. stops accepting, after it has taken what waits in the accept queue;
3. finishes: waits for the pending requests, and closes idle connections;
4. fails whatever request is pending by then, so that SIGKILL leaves none without a response;
5. flushes: rejects incomplete requests, and waits until the responses are sent and the connections closed;
6. aborts the connections that are still open.

Steps 3 and 5 end early once there is nothing to wait for. Here are the order and the time only: how a
connection ends is in `transport/listener`, how a request fails in `routing/exchange`, which signal starts
the shutdown in `program/app`.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from alderspool.balancer.settings import Settings

# Clients may still open connections for this long after SIGTERM was sent.
ACCEPT_DURATION_S = 0.7
# SIGKILL comes no sooner than ACCEPT_DURATION_S plus the longest deadline of any request class after
# SIGTERM. A longer deadline counts as this.
LONGEST_DEADLINE_CAP_S = 3.0
# Pending requests are failed this long before SIGKILL may come: on a shared core timers fire late, and
# SIGTERM was sent some time before its handler ran here. Where the longest deadline is short, the margin is
# no more than this share of it.
SIGKILL_MARGIN_S = 0.25
SIGKILL_MARGIN_MAX_SHARE = 0.25
# The last responses may take this long to be sent; clients that have not read theirs by then are cut off.
FLUSH_TIMEOUT_S = 3.0
CHECK_INTERVAL_S = 0.02

MILLISECONDS_PER_SECOND = 1000.0


class PendingRequests(Protocol):
    """The requests without a final response, as a shutdown sees them; `Exchange` is one."""

    @property
    def pending_count(self) -> int:
        """Requests whose final response is still to come."""

    def fail_pending(self) -> None:
        """Fail every pending request at once, and reject all that come later."""


class ClientConnections(Protocol):
    """The downstream side, as a shutdown sees it; `Listener` is one."""

    @property
    def open_count(self) -> int:
        """Connections that are not closed yet."""

    def start_draining(self) -> None:
        """End each connection with its next response; still accept new ones."""

    def stop_accepting(self) -> None:
        """Accept what waits in the accept queue, then close the listening socket."""

    def close_idle(self) -> None:
        """Close the connections without a request."""

    def reject_incomplete(self) -> None:
        """Reject requests that have not been received completely."""

    def abort_all(self) -> None:
        """Cut off all connections that are still open."""


@dataclass(frozen=True, slots=True)
class ShutdownBudget:
    """How long the steps of a shutdown that wait may take at most, in seconds."""

    accept_s: float
    finish_s: float
    flush_s: float

    @classmethod
    def from_settings(cls, settings: Settings) -> ShutdownBudget:
        """Return the budget that fails the pending requests before SIGKILL may come."""
        longest_class_deadline_ms = max(request_class.deadline_ms for request_class in settings.classes)
        longest_deadline_s = min(longest_class_deadline_ms / MILLISECONDS_PER_SECOND, LONGEST_DEADLINE_CAP_S)
        margin_s = min(SIGKILL_MARGIN_S, SIGKILL_MARGIN_MAX_SHARE * longest_deadline_s)
        return cls(
            accept_s=ACCEPT_DURATION_S,
            finish_s=longest_deadline_s - margin_s,
            flush_s=FLUSH_TIMEOUT_S,
        )

    @property
    def fail_pending_after_s(self) -> float:
        """Time from the start of the shutdown until pending requests are failed."""
        return self.accept_s + self.finish_s

    @property
    def abort_after_s(self) -> float:
        """Time from the start of the shutdown until open connections are aborted."""
        return self.fail_pending_after_s + self.flush_s


async def shut_down(
    requests: PendingRequests, connections: ClientConnections, budget: ShutdownBudget
) -> None:
    """Run all steps of the shutdown; on return each request has had its response and no connection is open.

    The times of the budget count from this call.
    """
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    fail_pending_at_s = started_at_s + budget.fail_pending_after_s
    abort_at_s = started_at_s + budget.abort_after_s

    connections.start_draining()
    await asyncio.sleep(budget.accept_s)
    connections.stop_accepting()
    while (requests.pending_count or connections.open_count) and loop.time() < fail_pending_at_s:
        await asyncio.sleep(CHECK_INTERVAL_S)
        connections.close_idle()
    requests.fail_pending()
    while connections.open_count and loop.time() < abort_at_s:
        connections.reject_incomplete()
        await asyncio.sleep(CHECK_INTERVAL_S)
    connections.abort_all()

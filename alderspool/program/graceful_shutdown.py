"""Graceful shutdown: the order of its steps and the time that each of them may take.

After SIGTERM the proxy

1. drains: still accepts connections for a while, but closes each connection after its next response;
2. stops accepting, after accepting the connections in the accept queue;
3. finishes: waits for the pending requests, and closes idle connections;
4. fails the requests that are still pending, so that each has a response before SIGKILL may arrive;
5. flushes: rejects incomplete requests, and waits until all responses are sent and all connections closed;
6. aborts the connections that are still open.

Steps 3 and 5 end early once there is nothing left to wait for. This module only determines order and timing:
`transport/listener` closes connections, `routing/exchange` fails requests, and `program/app` starts the
shutdown on a signal.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from alderspool.balancer.settings import Settings

# Clients may still open connections for this long after SIGTERM was sent.
ACCEPT_DURATION_S = 0.7
# The earliest SIGKILL follows SIGTERM after ACCEPT_DURATION_S plus the longest deadline of any request class,
# or plus this if that deadline is longer.
LONGEST_DEADLINE_CAP_S = 3.0
# Pending requests are failed this long before the earliest SIGKILL: timers fire late on a shared core, and
# SIGTERM was sent some time before its handler ran in this process.
SIGKILL_MARGIN_S = 0.25
# If the longest deadline is short, the margin is at most this share of it.
SIGKILL_MARGIN_MAX_SHARE = 0.25
# Time limit for sending the last responses. After it, connections of clients that have not read theirs are
# aborted.
FLUSH_TIMEOUT_S = 3.0
CHECK_INTERVAL_S = 0.02

MILLISECONDS_PER_SECOND = 1000.0


class PendingRequests(Protocol):
    """The part of `Exchange` that the shutdown uses."""

    @property
    def pending_count(self) -> int:
        """Number of requests without a final response."""

    def fail_pending(self) -> None:
        """Fail all pending requests immediately, and reject all later ones."""


class ClientConnections(Protocol):
    """The part of `Listener` that the shutdown uses."""

    @property
    def open_count(self) -> int:
        """Number of connections that are not closed yet."""

    def start_draining(self) -> None:
        """Close each connection after its next response; new connections are still accepted."""

    def stop_accepting(self) -> None:
        """Accept the connections in the accept queue, then close the listening socket."""

    def close_idle(self) -> None:
        """Close the connections that have no request."""

    def reject_incomplete(self) -> None:
        """Reject the requests that have not been received completely."""

    def abort_all(self) -> None:
        """Abort all connections that are still open."""


@dataclass(frozen=True, slots=True)
class ShutdownBudget:
    """The longest durations of the shutdown steps that wait, in seconds."""

    accept_s: float
    finish_s: float
    flush_s: float

    @classmethod
    def from_settings(cls, settings: Settings) -> ShutdownBudget:
        """Return a budget with which pending requests are failed before SIGKILL may arrive."""
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
        """Longest time from the start of the shutdown until pending requests are failed."""
        return self.accept_s + self.finish_s

    @property
    def abort_after_s(self) -> float:
        """Longest time from the start of the shutdown until open connections are aborted."""
        return self.fail_pending_after_s + self.flush_s


async def shut_down(
    requests: PendingRequests, connections: ClientConnections, budget: ShutdownBudget
) -> None:
    """Run all steps of the shutdown; the durations of `budget` count from this call.

    On return every request has been given its final response, and no connection is open.
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

"""Fair turns: divides the time for processing client input among the connections.

Without it, one iteration of the event loop parses and processes all that any number of clients have sent, and
everything else waits meanwhile: other clients, responses of endpoints, timers of deadlines.

The order is that of start-time fair queueing: each piece of work gets a start tag, which is the finish tag of
the connection's previous piece, or the virtual time if that is later; the lowest start tag goes first, and
of equal ones that of a connection which has been idle. So a connection that has used little time lately goes
ahead of those that have used much.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from heapq import heappop, heappush
from typing import NamedTuple

# Time for client input in each iteration of the event loop. One piece of work may exceed it.
TIME_PER_ITERATION_S = 0.002

Work = Callable[[], None]


class TurnTaker:
    """One connection, as the queue sees it."""

    __slots__ = ("finish_tag",)

    def __init__(self) -> None:
        self.finish_tag = 0.0  # in seconds of virtual time


class QueuedWork(NamedTuple):
    """A heap entry, ordered by its first three fields. The sequence numbers are unique."""

    start_tag: float
    is_backlogged: bool  # the connection's previous piece of work determines the start tag
    sequence: int
    taker: TurnTaker
    work: Work
    done: asyncio.Future[None]


class ProcessingTurns:
    """Runs pieces of work, at most TIME_PER_ITERATION_S of them in one iteration of the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, clock: Callable[[], float]) -> None:
        """Create an empty queue; `clock` returns the time in seconds by which work is measured."""
        self._loop = loop
        self._clock = clock
        self._queue: list[QueuedWork] = []
        self._sequence = 0
        self._virtual_time = 0.0  # start tag of the work that ran last
        self._spent_s = 0.0  # since the last iteration that began a new share
        self._is_next_iteration_scheduled = False

    async def run(self, taker: TurnTaker, work: Work) -> bool:
        """Run a piece of work when its turn comes; return whether it had to wait.

        Raises what `work` raises. If the calling task is cancelled while it waits, the work is not run.
        """
        if self._queue or self._spent_s >= TIME_PER_ITERATION_S:
            done = self._loop.create_future()
            self._sequence += 1
            is_backlogged = taker.finish_tag >= self._virtual_time
            start_tag = max(self._virtual_time, taker.finish_tag)
            queued = QueuedWork(start_tag, is_backlogged, self._sequence, taker, work, done)
            heappush(self._queue, queued)
            await done
            return True
        self._run_now(taker, work, max(self._virtual_time, taker.finish_tag))
        return False

    def _run_now(self, taker: TurnTaker, work: Work, start_tag: float) -> None:
        started_at_s = self._clock()
        self._virtual_time = start_tag
        try:
            work()
        finally:
            elapsed_s = self._clock() - started_at_s
            self._spent_s += elapsed_s
            taker.finish_tag = start_tag + elapsed_s
            if self._spent_s >= TIME_PER_ITERATION_S:
                self._schedule_next_iteration()

    def _schedule_next_iteration(self) -> None:
        if not self._is_next_iteration_scheduled:
            self._is_next_iteration_scheduled = True
            self._loop.call_soon(self._begin_iteration)

    def _begin_iteration(self) -> None:
        self._is_next_iteration_scheduled = False
        self._spent_s = 0.0
        while self._queue and self._spent_s < TIME_PER_ITERATION_S:
            self._run_queued(heappop(self._queue))

    def _run_queued(self, queued: QueuedWork) -> None:
        if queued.done.done():  # cancelled
            return
        try:
            self._run_now(queued.taker, queued.work, queued.start_tag)
        except Exception as error:
            queued.done.set_exception(error)
        else:
            queued.done.set_result(None)

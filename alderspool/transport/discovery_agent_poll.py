"""Polling of a local discovery agent that has stopped responding.

An agent on the same host responds immediately, or not at all while discovery is down. When discovery is back,
the protocol treats the proxy as notified of the agent's updates immediately, so the recovery must be noticed
quickly. Polls of a local agent are cheap: an unresponsive agent is polled again after a short interval while
earlier polls are still outstanding, so that an agent that is merely slow can respond to one of those.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from alderspool.protocol.http_client import HttpResponse

AGENT_POLL_INTERVAL_S = 0.15
MAX_OUTSTANDING_POLLS = 4


class AgentPoller:
    """Sends polls at an interval until any one of them gets a response. For a single use.

    `send_poll` makes one poll on its own connection. `on_no_response` is called whenever an interval ends
    with exactly one poll outstanding.
    """

    def __init__(
        self, send_poll: Callable[[], Coroutine[Any, Any, HttpResponse]], on_no_response: Callable[[], None]
    ) -> None:
        self._send_poll = send_poll
        self._on_no_response = on_no_response
        self._outstanding: list[asyncio.Task[HttpResponse]] = []  # oldest first

    async def first_response(self) -> HttpResponse:
        """Return the first response. On return or cancellation, all outstanding polls are cancelled."""
        try:
            while True:
                self._start_poll()
                response = await self._await_response()
                if response is not None:
                    return response
        finally:
            for poll in self._outstanding:
                _discard(poll)

    def _start_poll(self) -> None:
        self._outstanding.append(asyncio.get_running_loop().create_task(self._send_poll()))
        if len(self._outstanding) > MAX_OUTSTANDING_POLLS:
            # The oldest poll is kept: it is the first to be answered by an agent that is slow.
            _discard(self._outstanding.pop(1))

    async def _await_response(self) -> HttpResponse | None:
        """Return a response that arrives within the interval, or None when the next poll is due."""
        finished, _ = await asyncio.wait(
            self._outstanding, timeout=AGENT_POLL_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
        )
        for poll in finished:
            if poll.exception() is None:
                return poll.result()
            self._outstanding.remove(poll)
        if finished:
            # The agent refused or reset the connection, which takes no time: avoid polling in a busy loop.
            await asyncio.sleep(AGENT_POLL_INTERVAL_S)
        elif len(self._outstanding) == 1:
            self._on_no_response()
        return None


def _discard(poll: asyncio.Task[HttpResponse]) -> None:
    """Cancel a poll. If it has failed already, retrieve its exception, or asyncio would log it."""
    if not poll.cancel() and not poll.cancelled():
        poll.exception()

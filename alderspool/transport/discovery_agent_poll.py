"""Polling of a local discovery agent that has stopped responding.

An agent on the same host responds at once, or does not respond because discovery is down. An update that the
agent holds when discovery is back counts as notified at once. A poll costs nothing, so an agent that does not
respond is polled again after a short interval while earlier polls are still outstanding: a merely slow agent
responds to one of those.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from alderspool.protocol.http_client import HttpResponse

AGENT_POLL_INTERVAL_S = 0.15
MAX_OUTSTANDING_POLLS = 4


class AgentPoller:
    """Polls until one poll, whichever it is, has a response.

    `send_poll` makes one poll on a connection of its own. `on_no_response` is called whenever the interval
    has passed with only one poll outstanding. Used once, then discarded.
    """

    def __init__(
        self, send_poll: Callable[[], Coroutine[Any, Any, HttpResponse]], on_no_response: Callable[[], None]
    ) -> None:
        self._send_poll = send_poll
        self._on_no_response = on_no_response
        self._outstanding: list[asyncio.Task[HttpResponse]] = []  # the oldest first

    async def first_response(self) -> HttpResponse:
        """Return the first response. When this ends, also by cancellation, all other polls are cancelled."""
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
            _discard(self._outstanding.pop(0))

    async def _await_response(self) -> HttpResponse | None:
        """Return a response that comes within the interval, or None when the next poll is due."""
        finished, _ = await asyncio.wait(
            self._outstanding, timeout=AGENT_POLL_INTERVAL_S, return_when=asyncio.FIRST_COMPLETED
        )
        for poll in finished:
            if poll.exception() is None:
                return poll.result()
            self._outstanding.remove(poll)
        if finished:
            # The agent rejected or reset the connection, which takes no time: do not poll in a busy loop.
            await asyncio.sleep(AGENT_POLL_INTERVAL_S)
        elif len(self._outstanding) == 1:
            self._on_no_response()
        return None


def _discard(poll: asyncio.Task[HttpResponse]) -> None:
    """Cancel a poll; retrieve its error if it has failed, or asyncio would log that nobody did."""
    if not poll.cancel() and not poll.cancelled():
        poll.exception()

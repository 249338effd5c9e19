"""Calls to discovery: one watch that goes on as long as it is answered, and is opened anew when it is not."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

from alderspool.balancer.settings import Settings
from alderspool.protocol import endpoint_list
from alderspool.protocol.endpoint_list import EndpointListError
from alderspool.protocol.http_client import HttpResponse
from alderspool.routing.exchange import Exchange
from alderspool.transport.streams import connect, read_response

TOLD_S = 6.0  # the protocol page: whatever discovery has to tell counts as told so long after
AT_ONCE_MS = 1
# A watch goes on if the next call comes within 0.2 s. One that is answered before its time with nothing new
# is asked again after this: a discovery that does not wait must not be stormed.
EMPTY_S = 0.1
# An agent on our machine answers at once, or it is silent because discovery is down. What it has when that
# is back counts as told at once. Asking costs nothing, so one that does not answer is asked again after this,
# while so many earlier calls stand: one of them is answered by an agent that is merely slow.
AGENT_AGAIN_S, AGENT_CALLS = 0.15, 4
Place = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Term:
    """How the time is spent within which a change counts as told, heard or not. In seconds.

    A watch may fall silent right after it was asked, and discovery may refuse the first call after that, at
    the latest after 3 s: wait, lateness, a whole call and the wait after its failure are 0.73 of the term.
    The rest is for a second call, whose turn may take a second and a half, and for a core shared with others.
    """

    wait: float  # of a watch, while nothing is new
    late: float  # an answer that is later than this after its wait: the watch has fallen silent
    call: float  # for a call that does not wait, its dial included: longer than discovery holds one
    dial: float  # a discovery that is cut off must not hold a call for all that time
    again: float  # the first wait after a failed call; doubled with each further one
    again_most: float

    @classmethod
    def of(cls, settings: Settings) -> Term:
        whole = min(TOLD_S, (settings.list_max_age_ms or inf) / 1000.0)
        shares = (0.1, 0.05, 0.53, 0.15, 0.05, 0.2)
        return cls(*(share * whole for share in shares))


class WatchState(Enum):
    WHOLE = "whole"  # nothing of this discovery's list is held: all of it is asked for
    ANEW = "anew"  # no watch is open: what is newer than our version is asked for, at once
    WATCH = "watch"  # the last answer was followed at once: the watch goes on


class DiscoveryConnection:
    """One connection to discovery, kept from call to call; calls go one at a time."""

    def __init__(self, place: Place, dial_s: float) -> None:
        self._place, self._dial_s = place, dial_s
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._wire = endpoint_list.discovery_codec()

    async def call(self, since: int | None = None, wait_ms: int = 0) -> HttpResponse:
        """The answer to one call, on the connection that stands or on a new one. Whatever fails here is the
        caller's to mend: a call that took a second dial by itself would outlast the time it was given."""
        if self._writer is None:
            self._wire = endpoint_list.discovery_codec()
            async with asyncio.timeout(self._dial_s):
                self._reader, self._writer = await connect(*self._place)
        self._writer.write(endpoint_list.compose_call(self._wire, self._place[0], since, wait_ms))
        reply = await read_response(self._reader, self._wire)
        if not self._wire.reusable:
            self.drop()
        return reply

    def drop(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


class DiscoveryClient:
    """The watch on the endpoint list. Once it is on it never ends by itself: whatever an answer holds, and
    whatever fails, it is asked again in time."""

    def __init__(
        self, place: Place, exchange: Exchange, settings: Settings, revision: int, seed: int = 0
    ) -> None:
        self._place, self._exchange, self._settings = place, exchange, settings
        self._term, self._agent = Term.of(settings), not settings.list_on_request
        # What an agent holds counts as told from our first moment, so of it no more is taken for known than
        # it has said to us. A discovery that is asked goes on from the list that we were given.
        self._asking = WatchState.WHOLE if self._agent else WatchState.ANEW
        self._revision = revision
        self._random = Random(seed)
        self._heard = asyncio.Event()
        self._watching: asyncio.Task[None] | None = None

    async def wait_for_list(self, patience_s: float) -> bool:
        """Waits until a list has come, but no longer than this."""
        try:
            async with asyncio.timeout(patience_s):
                await self._heard.wait()
        except TimeoutError:
            return False
        return True

    def watch(self, on: bool) -> None:
        if not on:
            self._stop()
        elif self._watching is None:
            self._watching = asyncio.get_running_loop().create_task(self._watch(self._place))

    def fetch(self) -> None:
        """The whole list is asked for, and the watch goes on from there."""
        self._asking = WatchState.WHOLE
        self._stop()
        self.watch(True)

    def move_to(self, place: Place) -> None:
        """Goes on at another address. Its versions need not continue those of the old one, so nothing
        is asked for by version, nor taken from the old one, until it has given its whole list."""
        if place != self._place:
            self._place = place
            self.fetch()

    def _stop(self) -> None:
        if self._watching is not None:
            self._watching.cancel()  # what it has asked is never taken: it awaits, and ends there
            self._watching = None

    async def _watch(self, place: Place) -> None:
        line, failures = DiscoveryConnection(place, self._term.dial), 0
        try:
            while True:
                try:
                    await self._ask(line)
                    failures = 0
                    continue
                except Exception as fault:  # of any kind: an asking that ended here would never be missed
                    line.drop()
                    if self._asking is WatchState.WATCH:
                        self._asking = WatchState.ANEW
                        if isinstance(fault, TimeoutError):
                            continue  # fallen silent: what it missed is asked for before it counts as told
                    else:
                        failures += 1
                        self._exchange.list_call_failed(str(fault)[:200] or type(fault).__name__)
                await asyncio.sleep(self._pause_s(failures))
        finally:
            line.drop()

    def _pause_s(self, failures: int) -> float:
        """Between a failure and the next call. All proxies may fail together, so it is drawn, between half of
        the wait and all of it: else they would come in waves. `failures`: of calls that opened no watch."""
        if self._agent:
            return AGENT_AGAIN_S
        most = min(self._term.again * 2.0 ** max(min(failures, 8) - 1, 0), self._term.again_most)
        return most * (0.5 + 0.5 * self._random.random())

    async def _ask(self, line: DiscoveryConnection) -> None:
        """One call as our state demands, and what it tells."""
        term, asking, before = self._term, self._asking, self._revision
        wait_ms = max(int(1000.0 * term.wait), 1) if asking is WatchState.WATCH else AT_ONCE_MS
        clock = asyncio.get_running_loop().time
        asked = clock()
        if self._agent and asking is WatchState.ANEW:
            reply = await self._agent_says(before)
        else:
            async with asyncio.timeout(term.wait + term.late if asking is WatchState.WATCH else term.call):
                reply = await line.call(*(() if asking is WatchState.WHOLE else (before, wait_ms)))
        told = endpoint_list.read_list(reply, self._settings)
        if asking is not WatchState.WHOLE and told.revision < before:
            # Not the one that we knew, or it has lost its memory: its versions tell us nothing by now.
            self._asking = WatchState.WHOLE
            raise EndpointListError(f"version {told.revision} after {before}")
        self._exchange.list_received(told)
        self._revision, self._asking = told.revision, WatchState.WATCH
        self._heard.set()
        if (
            asking is WatchState.WATCH
            and told.revision == before
            and clock() - asked < min(EMPTY_S, term.wait)
        ):
            await asyncio.sleep(EMPTY_S)

    async def _agent_says(self, since: int) -> HttpResponse:
        """The first answer of an agent that has fallen silent, whichever of our calls it is to."""
        calls: list[asyncio.Task[HttpResponse]] = []  # the oldest first
        try:
            while True:
                calls.append(asyncio.get_running_loop().create_task(self._call_once(since)))
                if len(calls) > AGENT_CALLS:
                    calls.pop(0).cancel()
                done, _ = await asyncio.wait(
                    calls, timeout=AGENT_AGAIN_S, return_when=asyncio.FIRST_COMPLETED
                )
                for call in done:
                    if call.exception() is None:
                        return call.result()
                    calls.remove(call)
                if done:
                    await asyncio.sleep(AGENT_AGAIN_S)  # refused or reset: at once, so it must not be stormed
                elif len(calls) == 1:
                    self._exchange.list_call_failed("the agent is silent")
        finally:
            for call in calls:
                if not call.cancel() and not call.cancelled():
                    call.exception()  # looked at, so that it is not taken for one that nobody saw

    async def _call_once(self, since: int) -> HttpResponse:
        line = DiscoveryConnection(self._place, self._term.dial)
        try:
            return await line.call(since, AT_ONCE_MS)
        finally:
            line.drop()

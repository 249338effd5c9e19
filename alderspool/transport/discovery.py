"""Calls to discovery: a watch that goes on as long as it is answered, and single fetches."""

from __future__ import annotations

import asyncio
from math import inf
from random import Random

from alderspool.protocol import machine_list
from alderspool.protocol.http_client import BrokenReplyError, Reply
from alderspool.protocol.machine_list import MachineListError
from alderspool.routing.exchange import Exchange
from alderspool.routing.messages import MachineList
from alderspool.transport.streams import connect, read_reply
from lynxlift.interface import Settings

# A watch waits this long at most. What discovery has to tell counts as told 2 s after the wait ends, or
# 6 s after it fell silent where that is later, so a silent call must be given up before that, and what was
# missed asked for at once, by a call that does not wait. An agent on our own machine costs nothing to ask:
# its calls end so soon that the earlier of the two is kept.
LONGEST_WAIT_MS, AGENT_WAIT_MS, LATE_S = 10_000.0, 3_500.0, 1.0
AT_ONCE_MS = 1
DIAL_S = 1.0  # a discovery that is cut off must not hold a call for the whole wait
CALL_S = 2.5  # for a call that does not wait: discovery itself gives up after 2 s
EMPTY_S = 0.1  # a watch goes on if the next call comes within 0.2 s
# After a move the new discovery is asked for the whole list until it gives one. What it has to tell counts
# as told within 4 s, yet all who were moved ask it together, and one that is down must not be stormed: the
# wait is drawn between half of it and all, and doubled each time up to the second.
MOVED_AGAIN_S, MOVED_AGAIN_MAX_S = 0.4, 3.2
FAULTS = (OSError, TimeoutError, BrokenReplyError, MachineListError)
Place = tuple[str, int]


def _text(fault: Exception) -> str:
    return str(fault)[:200] or type(fault).__name__


class DiscoveryConnection:
    """One connection to discovery, kept from call to call; calls go one at a time."""

    def __init__(self, place: Place) -> None:
        self._place = place
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._wire = machine_list.list_wire()

    async def call(self, since: int | None = None, wait_ms: int = 0) -> Reply:
        """The answer to one call; on a kept connection that ended meanwhile, once more on a new one."""
        while True:
            kept = self._writer is not None
            try:
                if not kept:
                    self._wire = machine_list.list_wire()
                    async with asyncio.timeout(DIAL_S):
                        self._reader, self._writer = await connect(*self._place)
                call = machine_list.compose_call(self._wire, self._place[0], since, wait_ms)
                self._writer.write(call)
                reply = await read_reply(self._reader, self._wire)
                if not self._wire.reusable:
                    self.drop()
                return reply
            except (OSError, BrokenReplyError):
                self.drop()
                if not kept:
                    raise

    def drop(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None


class DiscoveryClient:
    """The watch on the machine list, and fetches of the whole of it."""

    def __init__(
        self, place: Place, exchange: Exchange, settings: Settings, revision: int, seed: int = 0
    ) -> None:
        self._place, self._exchange, self._settings = place, exchange, settings
        # None: nothing of this discovery's list is held yet. What an agent holds counts as told from our
        # first moment, so of it no more is taken for known than it has said to us.
        self._revision: int | None = revision if settings.watch_needed else None
        self._wait_ms = int(min(settings.ask_within_ms or inf, LONGEST_WAIT_MS))
        if not settings.watch_needed:
            self._wait_ms = int(min(self._wait_ms, AGENT_WAIT_MS))
        self._random = Random(seed)
        self._heard = asyncio.Event()
        self._watching: asyncio.Task[None] | None = None
        self._fetching: asyncio.Task[None] | None = None

    async def heard(self, patience_s: float) -> bool:
        """Waits until a list has come, but no longer than this."""
        try:
            async with asyncio.timeout(patience_s):
                await self._heard.wait()
        except TimeoutError:
            return False
        return True

    def watch(self, on: bool) -> None:
        running = self._watching is not None and not self._watching.done()
        if on and not running:
            self._watching = asyncio.get_running_loop().create_task(self._watch())
        elif not on and running:
            self._watching.cancel()

    def fetch(self) -> None:
        if self._fetching is None or self._fetching.done():  # one at a time: calls load discovery
            self._fetching = asyncio.get_running_loop().create_task(self._fetch())

    def move(self, place: Place) -> None:
        """Goes on at another address. Its versions need not continue those of the old one, so nothing
        is asked for by version, nor taken from the old one, until it has given its whole list."""
        if place == self._place:
            return
        self._place, self._revision = place, None
        for task in (self._watching, self._fetching):
            if task is not None:
                task.cancel()
        self._watching = None
        self.watch(True)

    async def _watch(self) -> None:
        """The next call follows the last answer at once; a failed one ends the watch, and the
        module says when to ask again."""
        loop, line = asyncio.get_running_loop(), DiscoveryConnection(self._place)
        try:
            if self._revision is None:
                self._take(await self._first_list(line))
            while True:
                asked = loop.time()
                told = await self._news(line)
                self._take(told)
                if not told.machines and loop.time() - asked < EMPTY_S:
                    await asyncio.sleep(EMPTY_S)  # a discovery that does not wait must not be stormed
        except FAULTS as fault:
            self._watching = None  # before the module is told: it may ask again at once
            self._exchange.list_failed(_text(fault))
        finally:
            line.drop()

    async def _news(self, line: DiscoveryConnection) -> MachineList:
        """What is newer than what we have. A watch that has fallen silent is broken: what it missed is asked
        for on a new connection, at once, before it counts as told."""
        try:
            async with asyncio.timeout(self._wait_ms / 1000.0 + LATE_S):
                reply = await line.call(self._revision, self._wait_ms)
        except TimeoutError:
            line.drop()
            async with asyncio.timeout(CALL_S):
                reply = await line.call(self._revision, AT_ONCE_MS)
        return machine_list.read_list(reply, self._settings)

    async def _first_list(self, line: DiscoveryConnection) -> MachineList:
        """The whole list of a discovery that is new to us. The module's own wait after a failure would
        outlast the time in which it counts as told."""
        wait = MOVED_AGAIN_S
        while True:
            try:
                async with asyncio.timeout(CALL_S):
                    return machine_list.read_list(await line.call(), self._settings)
            except FAULTS as fault:
                line.drop()
                self._exchange.list_failed(_text(fault))
            await asyncio.sleep(wait * (0.5 + 0.5 * self._random.random()))
            wait = min(2.0 * wait, MOVED_AGAIN_MAX_S)

    def _take(self, told: MachineList) -> None:
        self._revision = told.revision
        self._exchange.list_told(told)
        self._heard.set()

    async def _fetch(self) -> None:
        line = DiscoveryConnection(self._place)
        try:
            async with asyncio.timeout(CALL_S):
                reply = await line.call()
            told = machine_list.read_list(reply, self._settings)
        except FAULTS as fault:
            self._exchange.list_failed(_text(fault))
        else:
            if self._revision is None or told.revision >= self._revision:
                self._exchange.list_told(told)  # else the watch has told of later changes already
        finally:
            line.drop()

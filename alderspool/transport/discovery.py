"""Calls to discovery: a watch that goes on as long as it is answered, and single fetches."""

from __future__ import annotations

import asyncio

from alderspool.protocol import machine_list
from alderspool.protocol.http_client import BrokenReplyError, Reply
from alderspool.protocol.machine_list import MachineListError
from alderspool.routing.exchange import Exchange
from alderspool.transport.streams import READ_SIZE, read_reply
from lynxlift.interface import Settings

# A watch waits this long at most. What discovery has to tell counts as told 2 s after the wait ends,
# so a call must be given up before that, and asked again.
LONGEST_WAIT_MS, LATE_S = 10_000.0, 1.5
DIAL_S = 1.0  # a discovery that is cut off must not hold a call for the whole wait
FETCH_S = 5.0
EMPTY_S = 0.1  # a watch goes on if the next call comes within 0.2 s
FAULTS = (OSError, TimeoutError, BrokenReplyError, MachineListError)


def _text(fault: Exception) -> str:
    return str(fault)[:200] or type(fault).__name__


class DiscoveryClient:
    """One kept connection for the watch, one call at a time."""

    def __init__(self, host: str, port: int, exchange: Exchange, settings: Settings, revision: int) -> None:
        self._place, self._exchange, self._settings = (host, port), exchange, settings
        self._revision = revision
        self._wait_ms = int(min(settings.ask_within_ms, LONGEST_WAIT_MS))
        self._watching: asyncio.Task[None] | None = None
        self._fetching: asyncio.Task[None] | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._wire = machine_list.list_wire()

    def watch(self, on: bool) -> None:
        running = self._watching is not None and not self._watching.done()
        if on and not running:
            self._watching = asyncio.get_running_loop().create_task(self._watch())
        elif not on and running:
            self._watching.cancel()

    def fetch(self) -> None:
        if self._fetching is None or self._fetching.done():  # one at a time: calls load discovery
            self._fetching = asyncio.get_running_loop().create_task(self._fetch())

    async def _watch(self) -> None:
        """The next call follows the last answer at once; a failed one ends the watch, and the
        module says when to ask again."""
        loop, limit = asyncio.get_running_loop(), self._wait_ms / 1000.0 + LATE_S
        try:
            while True:
                asked = loop.time()
                async with asyncio.timeout(limit):
                    reply = await self._call()
                told = machine_list.read_list(reply, self._settings)
                self._revision = told.revision
                self._exchange.list_told(told)
                if not told.machines and loop.time() - asked < EMPTY_S:
                    await asyncio.sleep(EMPTY_S)  # a discovery that does not wait must not be stormed
        except FAULTS as fault:
            self._watching = None  # before the module is told: it may ask again at once
            self._exchange.list_failed(_text(fault))
        finally:
            self._drop()

    async def _call(self) -> Reply:
        """One watch call; on a kept connection that ended meanwhile, once more on a new one."""
        while True:
            kept = self._writer is not None
            if not kept:
                self._wire = machine_list.list_wire()
                self._reader, self._writer = await self._dial()
            try:
                call = machine_list.compose_call(self._wire, self._place[0], self._revision, self._wait_ms)
                self._writer.write(call)
                reply = await read_reply(self._reader, self._wire)
                if not self._wire.reusable:
                    self._drop()
                return reply
            except (OSError, BrokenReplyError):
                self._drop()
                if not kept:
                    raise

    async def _dial(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        async with asyncio.timeout(DIAL_S):
            return await asyncio.open_connection(*self._place, limit=READ_SIZE)

    def _drop(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _fetch(self) -> None:
        try:
            async with asyncio.timeout(FETCH_S):
                reader, writer = await self._dial()
                try:
                    wire = machine_list.list_wire()
                    writer.write(machine_list.compose_call(wire, self._place[0]))
                    reply = await read_reply(reader, wire)
                finally:
                    writer.transport.abort()
            told = machine_list.read_list(reply, self._settings)
        except FAULTS as fault:
            self._exchange.list_failed(_text(fault))
        else:
            if told.revision >= self._revision:  # else the watch has told of later changes already
                self._exchange.list_told(told)

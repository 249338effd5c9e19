"""The submitters' connections: one request at a time on each, and always somebody reading."""

from __future__ import annotations

import asyncio

from loguru import logger

from alderspool.protocol.submitters import (
    CONTINUE,
    ENDED,
    NEED_DATA,
    PAUSED,
    RawRequest,
    Reader,
    ReadyQuery,
    Rejection,
    SubmitterWire,
    as_http,
    error_body,
    rejection_http,
)
from alderspool.routing.exchange import Exchange
from alderspool.routing.messages import FinalAnswer
from alderspool.transport.budget import DescriptorBudget
from alderspool.transport.streams import READ_SIZE

BACKLOG = 1024
IDLE_S = 75.0  # a submitter's connection without a request is closed after this long
PARTIAL_S = 10.0  # and one with half a request after this long: a slow sender must not hold a socket
LINGER_S, LINGER_BYTES = 1.0, 1 << 20
SWEEP_S = 1.0


class SubmitterLink:
    """One submitter's connection."""

    def __init__(self, listener: Listener, writer: asyncio.StreamWriter) -> None:
        self._listener, self.writer = listener, writer
        self.wire = SubmitterWire()
        self.request_id = 0  # in the exchange; 0: none
        self.busy = False  # a request of it is out
        self.answered = asyncio.Event()
        self.since = listener.loop.time()  # of the last answer, or of the first byte of half a request
        self.over = False  # nothing more is read

    def answer(self, final: FinalAnswer) -> None:
        self.busy, self.request_id = False, 0
        self.send(*as_http(final))

    def send(
        self, status: int, body: bytes, headers: list[tuple[bytes, bytes]], linger: bool = False
    ) -> None:
        close = self._listener.draining or self._listener.crowded
        self.since = self._listener.loop.time()
        if self.writer.transport.is_closing():
            return
        out, last = self.wire.compose(status, body, headers, close)
        self.writer.write(out)
        if last:
            self.over = True
            if linger:
                self.writer.write_eof()
            else:
                self.writer.close()
        self.answered.set()

    def close_if_idle(self) -> None:
        """Called by way of call_soon: a request that has just been read is found by its reader first,
        and a connection that holds an unanswered request is never ended."""
        if self.idle:
            self.over = True
            self.writer.close()

    @property
    def idle(self) -> bool:
        return not self.busy and not self.over and self.wire.idle


class Listener:
    def __init__(self, exchange: Exchange, reader: Reader, budget: DescriptorBudget) -> None:
        self._exchange, self._reader, self._budget = exchange, reader, budget
        self.loop = asyncio.get_running_loop()
        self._links: dict[SubmitterLink, None] = {}
        self._server: asyncio.Server | None = None
        self.draining = self._warned = False
        budget.on_tight(self._drop_longest_idle)

    async def bind(self, host: str, port: int) -> None:
        self._server = await asyncio.start_server(
            self._attend, host, port, backlog=BACKLOG, limit=READ_SIZE, start_serving=False
        )

    async def accept(self) -> None:
        await self._server.start_serving()
        self._sweep()

    @property
    def crowded(self) -> bool:
        return self._budget.tight

    # ---- the end -------------------------------------------------------------------------------

    def drain(self) -> None:
        """From now on each answer ends its connection; new ones are still taken."""
        self.draining = True

    def stop_accepting(self) -> None:
        """Closes the door, and what is idle behind it. What holds a request stays until its answer."""
        if self._server is not None:
            self._server.close()
        for link in self._links:
            self.loop.call_soon(link.close_if_idle)

    @property
    def held(self) -> int:
        return len(self._links)

    # ---- one connection ------------------------------------------------------------------------

    async def _attend(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self._budget.make_room():
            # Out of descriptors: with one more, accepting itself would fail for everybody.
            if not self._warned:  # once: in a flood, one line each would fill the log
                self._warned = True
                logger.warning("descriptor budget spent: submitters' connections are closed unread")
            writer.transport.abort()
            return
        self._budget.take()
        link = SubmitterLink(self, writer)
        self._links[link] = None
        try:
            await self._converse(link, reader)
        except OSError:  # reset by the submitter: it went away
            pass
        finally:
            self._links.pop(link, None)
            if link.busy:
                link.busy = False
                self._exchange.withdraw(link.request_id)
            writer.close()
            self._budget.give_back()

    async def _converse(self, link: SubmitterLink, reader: asyncio.StreamReader) -> None:
        wire = link.wire
        while not link.over:
            step = wire.next()
            if step is NEED_DATA:
                # Read also while its request is out: that is how we notice that it went away.
                was_idle = link.idle
                data = await reader.read(READ_SIZE)
                if not data:
                    return
                if was_idle:
                    link.since = self.loop.time()
                wire.receive(data)
            elif step is PAUSED:  # it sent its next request before the answer: that has to wait
                link.answered.clear()
                await link.answered.wait()
            elif step is CONTINUE:
                link.writer.write(wire.go_on())
            elif step is ENDED:
                return
            elif isinstance(step, Rejection):
                link.send(*rejection_http(step), linger=True)
                await self._linger(link, reader)
                return
            else:
                self._take(link, step)
                await link.writer.drain()  # who does not read its answers must not fill the memory

    def _take(self, link: SubmitterLink, raw: RawRequest) -> None:
        request = self._reader.read(raw)
        if isinstance(request, Rejection):
            link.send(*rejection_http(request))
        elif isinstance(request, ReadyQuery):
            ready = self._exchange.can_serve and not self.draining
            link.send(200 if ready else 503, b"ready\n" if ready else error_body("not ready"), [])
        else:
            link.busy = True
            request_id = self._exchange.submit(request, link.answer)
            link.request_id = request_id if link.busy else 0

    async def _linger(self, link: SubmitterLink, reader: asyncio.StreamReader) -> None:
        """Closing over unread bytes resets the connection, and the answer would be lost with it."""
        left = LINGER_BYTES
        try:
            async with asyncio.timeout(LINGER_S):
                while left > 0 and (data := await reader.read(READ_SIZE)):
                    left -= len(data)
        except TimeoutError:
            pass

    # ---- keeping the number of sockets down ------------------------------------------------------

    def _drop_longest_idle(self) -> bool:
        """A connection may be closed between requests: its submitter asks again on a new one."""
        idle = [link for link in self._links if link.idle]
        if not idle:
            return False
        self.loop.call_soon(min(idle, key=lambda link: link.since).close_if_idle)
        return True

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_S, self._sweep)
        now = self.loop.time()
        for link in list(self._links):
            limit = IDLE_S if link.wire.idle else PARTIAL_S
            if not link.busy and now - link.since > limit:
                if link.idle and not link.writer.transport.get_write_buffer_size():
                    self.loop.call_soon(link.close_if_idle)
                else:
                    link.over = True
                    link.writer.transport.abort()  # half a request, or an answer that is never read

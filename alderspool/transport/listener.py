"""The clients' connections: one request at a time on each, and always somebody reading."""

from __future__ import annotations

import asyncio
import functools
import socket
from collections.abc import Coroutine
from typing import Any

from loguru import logger

from alderspool.protocol.downstream import (
    CONTINUE,
    ENDED,
    NEED_DATA,
    PAUSED,
    HttpServerCodec,
    InvalidRequest,
    RawRequest,
    ReadinessQuery,
    RequestReader,
    as_http,
    error_body,
    rejection_http,
)
from alderspool.routing.exchange import Exchange
from alderspool.routing.messages import FinalResponse
from alderspool.transport.arrival import AcceptQueueAge, TimedSelector, last_data_age_ms
from alderspool.transport.connection_rejection import ConnectionRejector
from alderspool.transport.descriptor_budget import KEPT_SHARE, DescriptorBudget
from alderspool.transport.eviction import EvictionClass, EvictionOrder
from alderspool.transport.streams import (
    READ_SIZE,
    CountingReader,
    bound_reads,
    has_ended,
    has_input,
    is_quiet,
)

BACKLOG = 1024
# What the system buffers of a connection, and we after it: hundreds that send at full speed must not
# fill the memory before one request of each was looked at.
INPUT_LIMIT = 16 * 1024
# A client without a whole request is told so, or closed, after this long, whatever it has sent of one:
# counted from its connecting, its last answer, or the first byte of a further request.
PATIENCE_S = 2.1
# Who has just connected did so in order to ask: in the ending its connection is kept this long for that.
NEWCOMER_S = 0.3
# Who leaves is read away for so long, and so much of it, or until its client ends the connection too.
LINGER_S, LINGER_BYTES = 0.5, 1 << 18
LOOK_S = 0.05  # whether a client that we do not read from is still there is looked at this often
SWEEP_S = 0.2
ACCEPT_AGAIN_S = 0.01
SHORTEST_QUEUE_WAIT_MS = 5.0  # a shorter wait in the accept queue is not looked into


class ClientConnection:
    """One client's connection. It takes requests, one at a time, until it leaves: then our sending has
    ended, and what still comes is read away and never taken."""

    def __init__(self, listener: Listener, reader: CountingReader, writer: asyncio.StreamWriter) -> None:
        self._listener, self.reader, self.writer = listener, reader, writer
        self.wire = HttpServerCodec()
        self.request_id = 0  # in the exchange; 0: none
        self.busy = False  # a request of it is out
        self.asked = False  # it has sent a request that was taken
        self.served = False  # it has had an answer, so it is no mere connection
        self.answered = asyncio.Event()
        self.since = listener.loop.time()  # see PATIENCE_S
        self.over = False  # it leaves: see leave
        self.left = LINGER_BYTES  # to be read away at most
        self.spared = False  # see break_off
        # What it sends first may have arrived as early as this; None: it was read as it came.
        self.earliest_arrival_s: float | None = None

    def answer(self, final: FinalResponse) -> None:
        self.busy, self.request_id = False, 0
        self.send(*as_http(final))

    def send(self, status: int, body: bytes, headers: list[tuple[bytes, bytes]], last: bool = False) -> None:
        """`last`: what follows on this connection is not read."""
        listener = self._listener
        # What has come of a further request is taken too: the connection must not end over it.
        close = last or (listener.draining or listener.crowded) and not self.more
        self.since, self.served, self.spared = listener.loop.time(), True, False
        if self.writer.transport.is_closing():
            return
        out, ended = self.wire.compose(status, body, headers, close)
        self.writer.write(out)
        if ended:
            self.leave()
        listener.update_eviction(self)
        self.answered.set()

    def leave(self) -> None:
        """Ends our sending. Closing over bytes that nobody has read resets the connection, and an answer on
        its way goes with it; bytes may come between any look and the close. So we never close first where
        one may be on its way: what comes is read away until the client ends the connection too."""
        if not self.over:
            self.over, self.since = True, self._listener.loop.time()
            self._listener.forget_asked(self)
            self._listener.update_eviction(self)
            try:
                self.writer.write_eof()
            except OSError:
                pass  # it has gone
            self.answered.set()

    def sweep(self, now: float) -> None:
        """Who leaves and does not go, or does not read its last answer, is let go."""
        unread = self.writer.transport.get_write_buffer_size()
        if now - self.since > PATIENCE_S:
            self.writer.transport.abort()
        elif now - self.since > LINGER_S and not unread:
            self.writer.close()

    def is_disconnected(self) -> bool:
        """Whether its client has left, or ended its sending, which is the same: seen also where we do not
        read because an earlier request of it is out, or its end lies behind what is unread."""
        return has_ended(self.writer)

    @property
    def more(self) -> bool:
        """Whether something of a request has come that is not taken yet."""
        return self.wire.more or not is_quiet(self.reader, self.writer)

    @property
    def eviction_class(self) -> EvictionClass | None:
        """None: it may not be evicted, for a request of it is out."""
        if self.busy:
            return None
        if self.over:
            return EvictionClass.LEAVING
        if self.served:
            return EvictionClass.SERVED_IDLE if self.wire.idle else EvictionClass.SERVED_PARTIAL
        return EvictionClass.UNSERVED_IDLE if self.wire.idle else EvictionClass.UNSERVED_PARTIAL

    @property
    def idle(self) -> bool:
        return not self.busy and not self.over and self.wire.idle

    def close_if_idle(self) -> bool:
        """Never ends a connection that holds a request, not even one that nobody has read yet."""
        if not self.idle or not is_quiet(self.reader, self.writer):
            return False
        self.leave()
        return True

    def break_off(self) -> bool:
        """Half a request, or an answer that is never read. Whether it was done: one that is whole is about
        to be taken, and after a pause of ours the rest may have come unseen, so that is let pass, once."""
        if self.wire.waiting:
            return False
        if not self.spared and not self.over and not is_quiet(self.reader, self.writer):
            self.spared = True
            return False
        rejection = None if self.over else self.wire.too_slow()
        if rejection is not None:
            self.send(*rejection_http(rejection), last=True)
        self.leave()
        return True


class Listener:
    """`selector`: the event loop's, for the bound of the wait in the accept queue."""

    def __init__(
        self,
        exchange: Exchange,
        reader: RequestReader,
        budget: DescriptorBudget,
        selector: TimedSelector | None = None,
    ) -> None:
        self._exchange, self._reader, self._budget = exchange, reader, budget
        self.loop = asyncio.get_running_loop()
        self._links: dict[ClientConnection, None] = {}  # the oldest first
        self._eviction_order: EvictionOrder[ClientConnection] = EvictionOrder()
        self._accept_queue_age = AcceptQueueAge(selector, BACKLOG + 1) if selector else None
        self._system_tells_age = False  # see arrival.last_data_age_ms
        self._socket: socket.socket | None = None
        self._welcomes: set[asyncio.Task[None]] = set()  # accepted, their links not yet made
        self._connection_rejector = ConnectionRejector(self.loop)
        self._asked, self._kept = 0, budget.portion(KEPT_SHARE)  # links that have asked; how many are kept
        self.draining = self._door_open = self._warned = False
        budget.set_evictor(self._drop_one)

    def bind(self, host: str, port: int) -> None:
        self._socket = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, INPUT_LIMIT)
        self._socket.setblocking(False)
        self._socket.bind((host, port))

    def start_accepting(self) -> None:
        self._socket.listen(BACKLOG)
        self._system_tells_age = last_data_age_ms(self._socket) is not None
        self._open_door()
        self._sweep()

    @property
    def crowded(self) -> bool:
        """Where many ask once and stay, their idle connections would keep new clients out for as long
        as our patience lasts. Whoever has not asked yet does not count: a flood changes nothing here."""
        return self._asked > self._kept

    # ---- the end -------------------------------------------------------------------------------

    def start_draining(self) -> None:
        """From now on each answer ends its connection; new ones are still taken."""
        self.draining = True

    def stop_accepting(self) -> None:
        """Closes the door. Whoever stands behind it already, also in the system's queue, is let in: the
        system would reset them with the socket, and with them what they have asked."""
        self.loop.remove_reader(self._socket)
        while self._accept_one():
            pass
        self._door_open = False
        self._socket.close()
        self.close_idle()

    def close_idle(self) -> None:
        """Ends what holds no request. What holds one stays until its answer, and so does for a moment who
        has just come in; later there is nothing left that a client could send on."""
        newest = self.loop.time() - NEWCOMER_S
        for link in list(self._links):
            if link.served or link.since < newest:
                link.close_if_idle()

    def reject_incomplete(self) -> None:
        """The last moment: who has sent only part of a request is told that it came too late."""
        for link in list(self._links):
            if not link.busy and not link.over and not link.close_if_idle():
                link.break_off()

    def forget_asked(self, link: ClientConnection) -> None:
        self._asked -= link.asked
        link.asked = False

    def abort_all(self) -> None:
        """Lets go of whoever has not read its answer by now."""
        for link in list(self._links):
            link.writer.transport.abort()
        self._connection_rejector.abort_all()

    @property
    def open_count(self) -> int:
        """Connections that are still to be read or have bytes to leave."""
        return len(self._links) + len(self._welcomes) + len(self._connection_rejector)

    # ---- one connection ------------------------------------------------------------------------

    def _open_door(self) -> None:
        self._door_open = True
        self.loop.add_reader(self._socket, self._accept_one)

    def _accept_one(self) -> bool:
        """One at a time, each counted at once: a server that takes all that is waiting in one go would
        be over the limit before the first of them is counted, and keep the loop from the rest."""
        try:
            sock, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False  # gone again
        except OSError as fault:  # the system is out of something: later then
            self._warn(f"accepting failed: {fault}")
            if self._door_open:
                self.loop.remove_reader(self._socket)
                if self._accept_queue_age is not None:
                    self._accept_queue_age.accepting_paused()
                self.loop.call_later(ACCEPT_AGAIN_S, self._accept_again)
            return False
        earliest_arrival_s = self._earliest_arrival_s(sock)
        if not self._budget.try_make_room():
            self._warn("descriptor budget spent: submitters are refused")
            self._connection_rejector.refuse(sock)
            return True
        self._budget.acquire()
        task = self.loop.create_task(self._welcome(sock, earliest_arrival_s))
        self._welcomes.add(task)
        task.add_done_callback(self._welcomes.discard)
        return True

    def _earliest_arrival_s(self, sock: socket.socket) -> float | None:
        """Of what a connection that is just accepted has sent already. None: nothing, or it did not wait."""
        if self._accept_queue_age is None:
            return None
        now_s = self.loop.time()
        longest_wait_ms = self._accept_queue_age.accepted(now_s)
        if longest_wait_ms < SHORTEST_QUEUE_WAIT_MS or not has_input(sock):
            return None
        return now_s - longest_wait_ms / 1000.0

    def _accept_again(self) -> None:
        if self._door_open:
            self.loop.add_reader(self._socket, self._accept_one)

    async def _welcome(self, sock: socket.socket, earliest_arrival_s: float | None) -> None:
        sock.setblocking(False)
        reader = CountingReader(limit=INPUT_LIMIT, loop=self.loop)
        attend = functools.partial(self._attend, earliest_arrival_s)
        protocol = asyncio.StreamReaderProtocol(reader, attend, loop=self.loop)
        try:
            await self.loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            sock.close()
            self._budget.release()

    def _warn(self, text: str) -> None:
        if not self._warned:  # once: in a flood, one line each would fill the log
            self._warned = True
            logger.warning(text)

    def _attend(
        self, earliest_arrival_s: float | None, reader: CountingReader, writer: asyncio.StreamWriter
    ) -> Coroutine[Any, Any, None]:
        """Called as the connection is made: from then on its link is known, and no ending passes it over."""
        bound_reads(writer)
        link = ClientConnection(self, reader, writer)
        link.earliest_arrival_s = earliest_arrival_s
        self._links[link] = None
        self.update_eviction(link)
        return self._serve(link)

    async def _serve(self, link: ClientConnection) -> None:
        try:
            await self._converse(link, link.reader)
        except OSError:  # reset by the client: it went away
            pass
        except Exception as fault:  # whatever it sent, it must not cost more than its own connection
            self._warn(f"a submitter's connection failed: {fault!r}")
        finally:
            self.forget_asked(link)
            if link.busy:
                link.busy = False
                self._exchange.client_disconnected(link.request_id)
            link.over = True
            link.writer.close()
            self._eviction_order.remove(link)
            try:
                await link.writer.wait_closed()  # bytes of its answer may be on their way still
            except OSError:
                pass
            finally:
                self._links.pop(link, None)
                self._budget.release()

    async def _converse(self, link: ClientConnection, reader: CountingReader) -> None:
        wire = link.wire
        while True:
            step = NEED_DATA if link.over else wire.next()
            if step is NEED_DATA:
                # Read also while its request is out: that is how we notice that it went away.
                was_idle = link.idle
                data = await reader.read(READ_SIZE)
                if not data:
                    return
                if link.over:  # perhaps since we began to read: never taken, for we answer no more
                    link.left -= len(data)
                    if link.left < 0:
                        return
                    continue
                if was_idle and link.served:
                    link.since = self.loop.time()
                wire.receive(data, *self._arrival_of_what_was_read(link))
                self.update_eviction(link)
            elif step is PAUSED:  # it sent its next request before the answer: that has to wait
                link.answered.clear()
                while not link.answered.is_set():
                    try:
                        async with asyncio.timeout(LOOK_S):
                            await link.answered.wait()
                    except TimeoutError:
                        if link.is_disconnected():
                            return
            elif step is CONTINUE:
                link.writer.write(wire.go_on())
            elif step is ENDED:
                return
            else:
                rejection = step if isinstance(step, InvalidRequest) else self._take(link, step)
                if rejection is not None:
                    link.send(*rejection_http(rejection), last=True)
                    continue
                await link.writer.drain()  # who does not read its answers must not fill the memory

    def _arrival_of_what_was_read(self, link: ClientConnection) -> tuple[float, float]:
        """When the bytes just read arrived, as far as that is sure, and when they may have arrived at the
        earliest. Bytes behind them may be there already: then they arrived before what the system tells."""
        now_s = self.loop.time()
        earliest_s, link.earliest_arrival_s = link.earliest_arrival_s, None
        if self._system_tells_age:
            age_ms = last_data_age_ms(link.writer.get_extra_info("socket"))
            if age_ms is not None:
                arrived_s = now_s - age_ms / 1000.0
                return arrived_s, arrived_s
        return now_s, now_s if earliest_s is None else earliest_s

    def _take(self, link: ClientConnection, raw: RawRequest) -> InvalidRequest | None:
        """Bad input ends its connection: who repeats it at once has to pay for a new one."""
        request = self._reader.read(raw)
        if isinstance(request, InvalidRequest):
            return request
        if isinstance(request, ReadinessQuery):
            ready = self._exchange.can_serve and not self.draining
            link.send(200 if ready else 503, b"ready\n" if ready else error_body("not ready"), [])
        elif self._exchange.is_pending(request.client_request_id):
            return InvalidRequest(400, "X-Request-Id: that of a request which is still open")
        else:
            self._asked += not link.asked
            link.asked = link.busy = True
            self.update_eviction(link)
            request.is_disconnected = link.is_disconnected
            now_s = self.loop.time()
            request.waited_ms = (now_s - raw.received_at_s) * 1000.0
            request.longest_wait_ms = (now_s - raw.earliest_arrival_s) * 1000.0
            request_id = self._exchange.submit(request, link.answer)
            link.request_id = request_id if link.busy else 0
        return None

    # ---- keeping the number of sockets down ------------------------------------------------------

    def update_eviction(self, link: ClientConnection) -> None:
        """Has to be called after each change of what a connection is doing."""
        eviction_class = link.eviction_class
        if eviction_class is None or link.writer.transport.is_closing():
            self._eviction_order.remove(link)
        else:
            self._eviction_order.place(link, eviction_class)

    def _drop_one(self) -> bool:
        """Evicts one connection that holds no request, in the order of EvictionClass. The client of an idle
        one asks again on a new connection. Its descriptor is needed now, so it is cut; the response that it
        had has long arrived."""
        evicted = self._first_evictable()
        if evicted is None:
            return False
        self._eviction_order.remove(evicted)
        evicted.writer.close()
        return True

    def _first_evictable(self) -> ClientConnection | None:
        for link in self._eviction_order.candidates():
            if link.writer.transport.is_closing():  # makes no further room: it is being closed already
                continue
            if link.over or link.close_if_idle() or (not link.wire.idle and link.break_off()):
                return link
        return None

    def _sweep(self) -> None:
        self.loop.call_later(SWEEP_S, self._sweep)
        now = self.loop.time()
        oldest = now - PATIENCE_S
        for link in list(self._links):
            if link.over:
                link.sweep(now)
            elif link.since < oldest and not link.busy and not link.close_if_idle():
                if not link.idle:
                    link.break_off()

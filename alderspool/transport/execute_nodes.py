"""Connections to execute nodes: one claim each at a time, reused while they are surely fresh."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Coroutine
from typing import Any

from alderspool.protocol import claims
from alderspool.protocol.http_client import BrokenReplyError, ClientWire
from alderspool.protocol.second_answers import SecondAnswers, fingerprint
from alderspool.routing.exchange import Exchange
from alderspool.routing.messages import Claim
from alderspool.transport.budget import DescriptorBudget
from alderspool.transport.streams import READ_SIZE, CountingReader, connect, is_quiet, read_reply
from lynxlift.interface import ServerId, Settings, Status

# A connection idle for this share of the node's limit is closed by us: the node may close it at any
# time up to the limit, and a claim written into that moment would be lost without proof.
IDLE_SHARE = 0.6
SWEEP_S = 0.5
PROBE_S = 1.0
SOONEST_S = 0.00015  # no node answers so soon: the way there and back alone takes longer
Place = tuple[str, int]


class ExecuteNodeConnection:
    """One connection to an execute node, with the claim that it carries."""

    __slots__ = ("claim", "idle_since", "last", "node", "place", "reader", "wire", "writer")

    def __init__(
        self, node: ServerId, place: Place, reader: CountingReader, writer: asyncio.StreamWriter
    ) -> None:
        self.node, self.place, self.reader, self.writer = node, place, reader, writer
        self.wire: ClientWire = claims.claim_wire()
        self.claim: Claim | None = None
        self.idle_since = 0.0
        self.last: int | None = None  # the fingerprint of its last answer


class ExecuteNodePool:
    def __init__(self, exchange: Exchange, settings: Settings, budget: DescriptorBudget) -> None:
        self._exchange, self._budget = exchange, budget
        self._dial_s = settings.dial_timeout_ms / 1000.0
        self._idle_s = settings.conn_idle_ms * IDLE_SHARE / 1000.0
        self._loop = asyncio.get_running_loop()
        self._now = self._loop.time
        self._second = SecondAnswers()
        self._idle: dict[ServerId, deque[ExecuteNodeConnection]] = {}  # the longest idle first
        self._tasks: set[asyncio.Task[None]] = set()
        budget.on_tight(self._drop_longest_idle)
        self._loop.call_later(SWEEP_S, self._sweep)

    # ---- what the exchange asks for ------------------------------------------------------------

    def dispatch(self, claim: Claim) -> None:
        conn = self._take_idle(claim)
        if conn is not None:
            begun = self._now()
            self._write(conn, claim)
            if not is_quiet(conn.reader, conn.writer) and self._now() - begun < SOONEST_S:
                # Sooner than any answer: it came in while we wrote. The claim is out, and may run. Had we
                # been kept from the processor meanwhile, it would most likely be the answer.
                conn.claim = claim.carrier = None
                conn.writer.transport.abort()
                self._exchange.claim_ended(claim, Status.RESET)
        else:
            claim.carrier = self._spawn(self._dial(claim))

    def withdraw(self, claim: Claim) -> None:
        carrier, claim.carrier = claim.carrier, None
        if isinstance(carrier, ExecuteNodeConnection):
            carrier.claim = None
            carrier.writer.transport.abort()
        elif carrier is not None:
            carrier.cancel()

    def close_idle(self, node: ServerId) -> None:
        for conn in self._idle.pop(node, ()):
            conn.writer.transport.abort()

    def probe(self, node: ServerId, host: str, port: int) -> None:
        self._spawn(self._probe(node, host, port))

    # ---- connections ---------------------------------------------------------------------------

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(work)
        self._tasks.add(task)  # the loop itself keeps only weak references
        task.add_done_callback(self._tasks.discard)
        return task

    def _take_idle(self, claim: Claim) -> ExecuteNodeConnection | None:
        """The freshest idle connection to where the node is now, but for those that rest."""
        line = self._idle.get(claim.node)
        resting: list[ExecuteNodeConnection] = []
        found = None
        while line and found is None:
            conn = line.pop()
            idle = self._now() - conn.idle_since
            # What came in after the last answer would pass for the answer to this claim.
            if not is_quiet(conn.reader, conn.writer) or idle >= self._idle_s:
                conn.writer.transport.abort()
            elif conn.place != (claim.host, claim.port):
                conn.writer.transport.abort()
            elif not self._second.may_follow(conn.last, idle):
                resting.append(conn)
            else:
                found = conn
        if line is not None:
            line.extend(reversed(resting))
        return found

    async def _dial(self, claim: Claim) -> None:
        tight = self._budget.tight
        if not self._budget.make_room():
            self._exchange.claim_ended(claim, Status.CONNECT_FAILED)  # no socket to dial with
            return
        if (
            tight
        ):  # what was let go is closed as the loop comes round: else a burst of dials is over the limit
            await asyncio.sleep(0)
        self._budget.take()
        try:
            try:
                async with asyncio.timeout(self._dial_s):
                    reader, writer = await connect(claim.host, claim.port)
            except (OSError, TimeoutError):
                self._exchange.claim_ended(claim, Status.CONNECT_FAILED)
                return
            claim.carrier = None  # what is withdrawn from here on is not cancelled: this task closes it
            conn = ExecuteNodeConnection(claim.node, (claim.host, claim.port), reader, writer)
            try:
                if self._exchange.may_write(claim):
                    self._write(conn, claim)
                else:  # over, or its node began to drain while we dialled
                    self._exchange.claim_ended(claim, Status.NEVER_SENT)
                    return
                await self._read(conn)
            finally:
                writer.transport.abort()
        finally:
            self._budget.give_back()

    def _write(self, conn: ExecuteNodeConnection, claim: Claim) -> None:
        data = claims.compose_claim(conn.wire, claim.payload, self._exchange.time_left_ms(claim))
        claim.carrier, conn.claim = conn, claim
        claim.written = True  # from here on it may run, whatever becomes of the connection
        conn.writer.write(data)

    async def _read(self, conn: ExecuteNodeConnection) -> None:
        """Reads until the connection ends; also while it idles, so that its end is noticed at once."""
        while True:
            try:
                data = await conn.reader.read(READ_SIZE)
            except OSError:
                data = None
            claim = conn.claim
            if claim is None:  # it ended while idle, was withdrawn, or the node says what nobody asked
                self._forget(conn)
                return
            try:
                reply = conn.wire.receive(data)
            except BrokenReplyError:
                self._end(conn, claim, Status.RESET)
                return
            if reply is None:
                continue
            before, conn.last = conn.last, fingerprint(reply)
            if self._second.is_second(before, conn.last, self._now() - conn.idle_since):
                self._end(conn, claim, Status.RESET)  # its own answer may be on the way; nobody can tell
                return
            status, answer = claims.read_outcome(reply)
            reusable = conn.wire.reusable and bool(data)
            self._end(conn, claim, status, answer, keep=reusable)
            if not reusable:
                return

    def _end(
        self,
        conn: ExecuteNodeConnection,
        claim: Claim,
        status: Status,
        answer: claims.ExecuteNodeAnswer | None = None,
        keep: bool = False,
    ) -> None:
        conn.claim = claim.carrier = None
        if keep:
            conn.idle_since = self._now()
            self._idle.setdefault(conn.node, deque()).append(conn)
        self._exchange.claim_ended(claim, status, answer)

    def _forget(self, conn: ExecuteNodeConnection) -> None:
        line = self._idle.get(conn.node)
        if line and conn in line:
            line.remove(conn)

    def _sweep(self) -> None:
        """Closes what has idled long, before the node does."""
        self._loop.call_later(SWEEP_S, self._sweep)
        oldest = self._now() - self._idle_s
        for node, line in list(self._idle.items()):
            while line and line[0].idle_since <= oldest:
                line.popleft().writer.transport.abort()
            if not line:
                del self._idle[node]

    def _drop_longest_idle(self) -> bool:
        """Gives a descriptor back, where one is to spare."""
        lines = [line for line in self._idle.values() if line]
        if not lines:
            return False
        min(lines, key=lambda line: line[0].idle_since).popleft().writer.transport.abort()
        return True

    async def _probe(self, node: ServerId, host: str, port: int) -> None:
        started, status = self._loop.time(), Status.CONNECT_FAILED
        self._budget.take()
        try:
            async with asyncio.timeout(PROBE_S):
                reader, writer = await connect(host, port)
                try:
                    status, wire = Status.TIMEOUT, claims.claim_wire()
                    writer.write(claims.compose_probe(wire, host))
                    status = claims.read_probe(await read_reply(reader, wire))
                finally:
                    writer.transport.abort()
        except TimeoutError:
            pass
        except (OSError, BrokenReplyError):
            status = Status.RESET if status == Status.TIMEOUT else status
        finally:
            self._budget.give_back()
            self._exchange.probe_ended(node, status, (self._loop.time() - started) * 1000.0)

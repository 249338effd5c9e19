"""Random histories of requests, cuts, replies and the ending: every request taken has exactly one conclusion.

The listener, the exchange and the decisions are the real ones, clients are real connections; in the nodes'
place stands a list of attempts that the history ends as it likes.
"""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from rig import LIMIT_S, SETTINGS, read_message, request

from alderspool.balancer.events import AttemptStatus, Availability, EndpointEntry
from alderspool.balancer.settings_reader import read_settings
from alderspool.program.config import flatten
from alderspool.protocol.downstream import RequestReader
from alderspool.protocol.upstream import UpstreamResponse
from alderspool.routing.clock import Clock
from alderspool.routing.exchange import Exchange
from alderspool.routing.messages import Attempt, Endpoint, EndpointList
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.listener import Listener

STEPS = 60
ENDS = (
    AttemptStatus.OK,
    AttemptStatus.OK,
    AttemptStatus.OK,
    AttemptStatus.ERROR,
    AttemptStatus.REJECTED,
    AttemptStatus.RESET,
    AttemptStatus.CONNECT_FAILED,
)


class ScriptedUpstream:
    """Attempts that are out."""

    def __init__(self) -> None:
        self.out: list[Attempt] = []

    def dispatch(self, claim: Attempt) -> None:
        claim.written = True
        self.out.append(claim)

    def cancel(self, claim: Attempt) -> None:
        self.out.remove(claim)

    def close_idle(self, node: bytes) -> None:
        pass

    def watch(self, on: bool) -> None:
        pass


class ClientModel:
    """One connection, and the names of what was sent whole on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.sent: list[str] = []
        self.rest, self.name = b"", ""  # of a request sent in part
        self.told: list[tuple[int, str]] = []
        self.cut = self.closed = False

    @property
    def free(self) -> bool:
        """Whether it may send: its connection stands, and at most one request of it is out."""
        return not self.cut and not self.closed and len(self.sent) - len(self.told) < 2

    async def listen(self) -> None:
        try:
            while True:
                line, headers, body = await read_message(self.reader)
                self.told.append((int(line.split()[1]), body.decode()))
                self.closed = self.closed or headers.get("connection") == "close"
        except (asyncio.IncompleteReadError, OSError):
            self.closed = True
            self.writer.close()  # as who sees the end of its connection does


class History:
    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        settings = read_settings(flatten(SETTINGS | {"bounds": self.bounds()}))
        self.nodes = ScriptedUpstream()
        self.exchange = Exchange(settings, seed, Clock())
        self.listener = Listener(self.exchange, RequestReader(settings), DescriptorBudget(1024))
        self.exchange.start(self.nodes, self.nodes, self.list_of("ready", "ready", "ready"))
        self.submitters: list[ClientModel] = []
        self.tasks: list[asyncio.Task] = []
        self.revision, self.door_open = 1, True

    def bounds(self) -> dict[str, object]:
        self.copies = self.random.random() < 0.5
        return {"cancel": True, "may_duplicate": self.copies, "max_attempts": self.random.randint(1, 5)}

    def list_of(self, *states: str) -> EndpointList:
        known = {"ready": Availability.READY, "draining": Availability.DRAINING}
        entries = [EndpointEntry(b"s%d" % n, availability=known[s]) for n, s in enumerate(states)]
        return EndpointList(1, True, [Endpoint(e, "127.0.0.1", 9) for e in entries])

    async def settle(self) -> None:
        for _ in range(6):
            await asyncio.sleep(0)

    async def play(self) -> None:
        self.listener.bind("127.0.0.1", 0)
        self.listener.start_accepting()
        self.port = self.listener._socket.getsockname()[1]
        moments = sorted(self.random.sample(range(10, STEPS), 3))
        acts = dict(
            zip(
                moments,
                (self.listener.start_draining, self.close_door, self.exchange.fail_pending),
                strict=True,
            )
        )
        for step in range(STEPS):
            if step in acts:
                acts[step]()
            act = self.random.choice(
                (self.connect, self.send, self.send, self.part, self.end_claim, self.cut)
            )
            await act() if self.random.random() < 0.9 else self.news()
            if self.random.random() < 0.7:
                await self.settle()
        while self.listener.open_count:
            self.listener.reject_incomplete()
            await asyncio.sleep(0.001)
        await asyncio.gather(*self.tasks)

    def close_door(self) -> None:
        self.door_open = False
        self.listener.stop_accepting()

    async def connect(self) -> None:
        if self.door_open:
            submitter = ClientModel(*await asyncio.open_connection("127.0.0.1", self.port))
            self.submitters.append(submitter)
            self.tasks.append(asyncio.create_task(submitter.listen()))

    async def pick(self) -> ClientModel | None:
        await self.settle()  # whoever has been told that its connection ends knows it, and sends no more
        free = [s for s in self.submitters if s.free]
        return self.random.choice(free) if free else None

    async def send(self) -> None:
        if (submitter := await self.pick()) is not None:
            if not submitter.rest:
                self.compose(submitter)
            submitter.writer.write(submitter.rest)
            submitter.sent.append(submitter.name)
            submitter.rest = b""

    async def part(self) -> None:
        if (submitter := await self.pick()) is not None and not submitter.rest:
            self.compose(submitter)
            at = self.random.randint(1, len(submitter.rest) - 1)
            submitter.writer.write(submitter.rest[:at])
            submitter.rest = submitter.rest[at:]

    def compose(self, submitter: ClientModel) -> None:
        submitter.name = f"r{self.random.getrandbits(40)}"
        wait = self.random.choice((20, 20000, 20000))
        cls = self.random.choice(("look", "pay", "put"))
        submitter.rest = request(cls, wait, X_Request_Id=submitter.name)

    async def cut(self) -> None:
        if self.submitters and self.random.random() < 0.3:
            submitter = self.random.choice(self.submitters)
            submitter.cut = True
            submitter.writer.close()

    async def end_claim(self) -> None:
        if self.nodes.out:
            claim = self.nodes.out.pop(self.random.randrange(len(self.nodes.out)))
            status = self.random.choice(ENDS)
            name = dict(claim.payload.headers)[b"x-request-id"]
            self.exchange.attempt_ended(
                claim, status, UpstreamResponse(name) if status == AttemptStatus.OK else None
            )

    def news(self) -> None:
        self.exchange.list_received(
            self.list_of(*(self.random.choice(("ready", "draining")) for _ in range(3)))
        )


@pytest.mark.parametrize("first", range(0, 400, 100))
def test_every_request_has_exactly_one_conclusion_whatever_the_order(first: int) -> None:
    async def play(seed: int) -> History:
        history = History(seed)
        await asyncio.wait_for(history.play(), LIMIT_S)
        return history

    whole = 0
    for seed in range(first, first + 100):
        history = asyncio.run(play(seed))
        for submitter in history.submitters:
            if submitter.cut:
                continue
            answers = submitter.told
            if submitter.rest and answers and answers[-1][0] == 408:  # half a request, told that it is late
                answers = answers[:-1]
            assert len(answers) == len(submitter.sent), seed
            for (status, body), name in zip(answers, submitter.sent, strict=True):
                assert status in (200, 502, 503, 504), seed
                assert status != 200 or body == name, seed  # its own answer, in its turn
            whole += len(answers)
        counts = history.exchange.counts
        ends = sum(counts[how] for how in ("served", "rejected", "failed", "disconnected"))
        assert counts["accepted"] == ends and history.exchange.pending_count == 0, seed
        assert not history.copies or not history.nodes.out, seed  # called off where copies are made at all
    assert whole > 500  # the histories are no empty ones

"""The socket parts that the whole program cannot be brought to on demand."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import time

import pytest
from rig import LIMIT_S, OK, SETTINGS, Party, Rig, read_message, real, request

from alderspool.balancer.events import AttemptStatus
from alderspool.balancer.settings_reader import read_settings
from alderspool.program.config import flatten
from alderspool.protocol.duplicate_responses import SURE
from alderspool.protocol.upstream import ForwardedRequest, UpstreamResponse
from alderspool.routing.messages import Attempt
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.streams import connect, is_quiet
from alderspool.transport.upstream_pool import UpstreamPool


@real
async def test_idle_clients_make_room_before_descriptors_run_out() -> None:
    """The rig allows 256 sockets; more clients than that come, and each is served."""
    async with Rig(Party("s1")) as rig:
        kept = []
        for _ in range(300):
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            kept.append(writer)
            writer.write(request())
            assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
        for writer in kept:
            writer.close()


@real
async def test_who_finds_no_descriptor_is_refused_in_words_also_in_the_ending() -> None:
    """The rig allows 256 sockets, 124 of them for clients; each holds a request that no node answers."""
    async with Rig(Party("s1", None)) as rig:
        asked = []
        for _ in range(220):
            asked.append(await asyncio.open_connection("127.0.0.1", rig.port))
            asked[-1][1].write(request("pay", 60000))
        told = [asyncio.create_task(read_message(reader)) for reader, _ in asked]
        while sum(t.done() for t in told) < 220 - 124:
            await asyncio.sleep(0.005)
        refused = [t.result()[0] for t in told if t.done()]
        assert all(b" 503 " in line for line in refused)
        rig.proxy.send_signal(signal.SIGTERM)
        while True:  # until the door is closed: answered or not let in, never dropped
            try:
                answer = await rig.raw(request("pay", 60000))
            except ConnectionRefusedError:
                break
            assert answer[0] in (503, 504)  # one may find the place of whoever asked if it is ready
        await asyncio.gather(*told)
        assert all(t.result()[0].split()[1] in (b"503", b"504") for t in told)
        assert await rig.proxy.wait() == 0
        for _, writer in asked:
            writer.close()


@real
async def test_a_second_request_sent_early_is_answered_second() -> None:
    async with Rig(Party("s1", OK)) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        writer.write(request() + request("pay", body=b"b"))
        for _ in range(2):
            assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
        writer.close()
        assert [got[0].split()[0] for got in rig.endpoints[0].got] == [b"GET", b"POST"]


@real
async def test_a_planned_restart_loses_no_request_of_busy_clients() -> None:
    """A connection may end between requests, but only once its last answer has announced it."""

    async def submit(rig: Rig, served: list[str]) -> None:
        for _ in range(4):  # the first connection, and some that are opened while the proxy drains
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            last = ""
            while last != "close":
                writer.write(request("pay"))
                line, headers, _ = await read_message(reader)
                assert b" 200 " in line
                last = headers.get("connection", "")
                served.append(last)
            writer.close()

    async with Rig(Party("s1"), Party("s2")) as rig:
        served: list[str] = []
        submitters = [asyncio.create_task(submit(rig, served)) for _ in range(3)]
        while len(served) < 30:
            await asyncio.sleep(0.005)
        rig.proxy.send_signal(signal.SIGTERM)
        await asyncio.gather(*submitters)
        assert served.count("close") == 12
        assert await rig.proxy.wait() == 0


@real
async def test_a_reload_moves_to_the_new_discovery_from_its_whole_list_and_loses_nothing() -> None:
    release = asyncio.Event()

    async def late(party: Party) -> bytes:
        await release.wait()
        return OK

    async with Rig(Party("s1", late), Party("s2")) as rig:
        old, new = rig.endpoints
        moved = Party("discovery-2", lambda party: None if len(party.got) > 1 else whole)
        doc = json.dumps({"index": 0, "snapshot": True, "endpoints": [new.entry()]}).encode()
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(doc), doc)
        await moved.start()
        await rig.asked(1)
        while not old.got:
            taken = asyncio.create_task(rig.ask(wait=20000))
            while not (old.got or taken.done()):
                await asyncio.sleep(0.005)
        for bad in ("{", json.dumps(rig.config | {"discovery": "nowhere"})):
            rig.reload(bad)
            assert await rig.ready() and len(rig.calls) == 1  # the old one holds
        started = time.monotonic()
        rig.reload(json.dumps(rig.config | {"discovery": f"127.0.0.1:{moved.port}"}))
        while len(moved.got) < 2:
            await asyncio.sleep(0.005)
        assert time.monotonic() - started < 4.0
        assert [got[0].split()[1][:22] for got in moved.got] == [b"/v1/endpoints", b"/v1/endpoints?since=0&"]
        assert [(await rig.ask())[0] for _ in range(6)] == [200] * 6
        assert len(old.got) == 1  # no longer listed
        release.set()
        assert (await taken)[0] == 200
        rig.proxy.send_signal(signal.SIGTERM)
        assert await rig.proxy.wait() == 0
        moved.server.close()


@real
@pytest.mark.parametrize(
    "sent", [b"", b"POST /pay/1", request("pay", body=b"abc")[:-1], request() + b"GET /"]
)
async def test_a_client_without_a_whole_request_is_let_go_soon_though_it_trickles(sent: bytes) -> None:
    async with Rig(Party("s1")) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        started = time.monotonic()
        writer.write(sent)
        done = asyncio.create_task(reader.read(-1))
        while not done.done():
            if sent and not sent.endswith(b"b"):
                writer.write(b"x")
            await asyncio.sleep(0.1)
        assert 1.0 < time.monotonic() - started < LIMIT_S / 4  # 3 s are wanted, a slow machine is let pass
        assert not sent or b"HTTP/1.1 408" in done.result()


@real
async def test_a_flood_of_silent_connections_leaves_the_usual_clients_theirs() -> None:
    async with Rig(Party("s1")) as rig:  # it may hold 256 sockets
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        silent = []
        for _ in range(12):
            writer.write(request())
            assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
            silent += [await asyncio.open_connection("127.0.0.1", rig.port) for _ in range(50)]
        for _, other in silent:
            other.close()


@real
async def test_those_who_ask_once_and_stay_do_not_keep_others_out() -> None:
    async with Rig(Party("s1")) as rig:  # it may hold 256 sockets
        kept, ended = [], 0
        for _ in range(80):
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            kept.append(writer)
            writer.write(request())
            _, headers, body = await read_message(reader)
            assert body == b"done"
            ended += headers.get("connection") == "close"
        assert ended > 20
        for writer in kept:
            writer.close()


@real
async def test_a_bad_request_ends_its_connection_and_what_follows_on_it_is_not_read() -> None:
    async with Rig(Party("s1")) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        writer.write(request("look").replace(b"/look/", b"/lock/") + request())
        assert (await reader.read(-1)).count(b"HTTP/1.1") == 1
        assert rig.endpoints[0].got == []
        writer.close()


@real
async def test_what_came_in_after_the_last_answer_shows_before_a_connection_is_used_again() -> None:
    with socket.create_server(("127.0.0.1", 0)) as server:
        reader, writer = await connect(*server.getsockname())
        endpoint, _ = server.accept()
        assert is_quiet(reader, writer)
        endpoint.send(OK)
        assert not is_quiet(reader, writer)  # in the system's buffer, the loop has not looked yet
        while not reader.unread:
            await asyncio.sleep(0.005)
        assert not is_quiet(reader, writer)  # in ours
        assert await reader.read(1000) == OK and is_quiet(reader, writer)
        endpoint.close()
        assert not is_quiet(reader, writer)
        writer.close()


@real
async def test_ended_connections_do_not_stay_in_memory() -> None:
    """Cycles that asyncio and the parser leave behind: they must be gone soon, not after minutes."""

    def memory_kb(rig: Rig) -> int:
        lines = open(f"/proc/{rig.proxy.pid}/status").read().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))

    async with Rig(Party("s1")) as rig:
        held = []
        for _ in range(4):
            for _ in range(300):
                assert (await rig.ask())[0] == 200
            held.append(memory_kb(rig))
        assert held[-1] - held[0] < 1200  # 900 more connections; about 2 KB each where they stay


class Ledger:
    """In the exchange's place: what became of each attempt."""

    def __init__(self) -> None:
        self.ends: asyncio.Queue = asyncio.Queue()

    def may_write(self, attempt: Attempt) -> bool:
        return True

    def time_left_ms(self, attempt: Attempt) -> float:
        return 1000.0

    def attempt_ended(self, attempt: Attempt, status: int, answer: UpstreamResponse | None = None) -> None:
        self.ends.put_nowait((attempt.number, status, answer and answer.body))


class OneEndpoint:
    """A pool with a clock that stands still, and a node that says what it is told to."""

    def __init__(self) -> None:
        self.ledger, self.now, self.count = Ledger(), 5.0, 0
        settings = read_settings(flatten(SETTINGS | {"bounds": {"dial_timeout_ms": 5000.0}}))
        self.pool = UpstreamPool(self.ledger, settings, DescriptorBudget(64))
        self.pool._now = lambda: self.now
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(LIMIT_S)

    def attempt(self) -> int:
        """Dispatches one; its number."""
        self.count += 1
        request = ForwardedRequest(b"GET", b"/look", [], b"")
        self.pool.dispatch(
            Attempt(self.count, self.count, b"s1", *self.server.getsockname(), request, 0.0, 1e9)
        )
        return self.count

    async def accept(self) -> socket.socket:
        return (await asyncio.get_running_loop().run_in_executor(None, self.server.accept))[0]

    async def end(self) -> tuple[int, AttemptStatus, bytes | None]:
        return await self.ledger.ends.get()


def answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@real
@pytest.mark.parametrize(("paused", "status"), [(0.0, AttemptStatus.RESET), (0.001, AttemptStatus.OK)])
async def test_a_pause_of_ours_as_a_attempt_is_written_does_not_make_its_answer_a_stray(
    paused: float, status: AttemptStatus
) -> None:
    """What is there as soon as a attempt is written was sent for another one, unless time went by."""
    endpoint = OneEndpoint()
    endpoint.attempt()
    line = await endpoint.accept()
    line.sendall(answer(b"1"))
    assert await endpoint.end() == (1, AttemptStatus.OK, b"1")

    def write_and_meet_an_answer(conn: object, attempt: Attempt, write=endpoint.pool._write) -> None:
        write(conn, attempt)
        line.sendall(answer(b"2"))  # on the loopback it is there when this returns
        endpoint.now += paused

    endpoint.now += 1.0  # rested
    endpoint.pool._write = write_and_meet_an_answer
    endpoint.attempt()
    assert (await endpoint.end())[:2] == (2, status)


@real
async def test_a_second_answer_some_milliseconds_late_does_not_pass_for_that_of_the_next_attempt() -> None:
    """The next attempt follows at once. Until it is known that answers differ, the connection rests and the
    attempt goes out on another one; from then on the last answer over again is known for what it is."""
    endpoint = OneEndpoint()
    endpoint.attempt()
    line = await endpoint.accept()
    line.sendall(answer(b"1"))
    assert await endpoint.end() == (1, AttemptStatus.OK, b"1")
    endpoint.attempt()
    other = await endpoint.accept()
    line.sendall(answer(b"1"))  # the second copy, met by nobody
    other.sendall(answer(b"2"))
    assert await endpoint.end() == (2, AttemptStatus.OK, b"2")
    while endpoint.count < 2 + SURE:
        endpoint.now += 1.0
        body = b"%d" % endpoint.attempt()
        other.sendall(answer(body))
        assert await endpoint.end() == (endpoint.count, AttemptStatus.OK, body)
    endpoint.now += 0.001
    endpoint.attempt()
    other.sendall(answer(body))  # the last one's, again
    assert await endpoint.end() == (endpoint.count, AttemptStatus.RESET, None)
    endpoint.attempt()
    (await endpoint.accept()).sendall(answer(b"own"))
    assert await endpoint.end() == (endpoint.count, AttemptStatus.OK, b"own")

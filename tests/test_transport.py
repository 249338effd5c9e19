"""End-to-end tests over sockets: client connections, descriptor limits, reload and graceful shutdown."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from pathlib import Path

import pytest
from rig import OK, TEST_TIMEOUT_S, Rig, ScriptedServer, async_test, read_message, request

# How many of the 256 sockets that the rig allows the proxy are for client connections.
CLIENT_CONNECTION_LIMIT = 124


@async_test
async def test_idle_clients_are_closed_before_descriptors_run_out() -> None:
    """More clients connect than the proxy may have sockets, and stay connected; each is served."""
    async with Rig(ScriptedServer("s1")) as rig:
        open_writers = []
        for _ in range(300):
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            open_writers.append(writer)
            writer.write(request())
            assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
        for writer in open_writers:
            writer.close()


@async_test
async def test_clients_over_the_descriptor_limit_get_503_also_during_shutdown() -> None:
    """220 clients each send a request to an endpoint that never responds; those over the limit get a 503."""
    async with Rig(ScriptedServer("s1", None)) as rig:
        clients = []
        for _ in range(220):
            clients.append(await asyncio.open_connection("127.0.0.1", rig.port))
            clients[-1][1].write(request("pay", 60000))
        responses = [asyncio.create_task(read_message(reader)) for reader, _ in clients]
        while sum(task.done() for task in responses) < 220 - CLIENT_CONNECTION_LIMIT:
            await asyncio.sleep(0.005)
        rejected = [task.result()[0] for task in responses if task.done()]
        assert all(b" 503 " in line for line in rejected)
        rig.proxy.send_signal(signal.SIGTERM)
        # Until the listening socket is closed, each connection gets a response; none is reset.
        while True:
            try:
                status, _, _ = await rig.send_raw(request("pay", 60000))
            except ConnectionRefusedError:
                break
            # 504: accepted on the descriptor that the connection of the rig's readiness check had used.
            assert status in (503, 504)
        await asyncio.gather(*responses)
        assert all(task.result()[0].split()[1] in (b"503", b"504") for task in responses)
        assert await rig.proxy.wait() == 0
        for _, writer in clients:
            writer.close()


@async_test
async def test_pipelined_requests_are_served_in_order() -> None:
    async with Rig(ScriptedServer("s1", OK)) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        writer.write(request() + request("pay", body=b"b"))
        for _ in range(2):
            assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
        writer.close()
        assert [line.split()[0] for line, _, _ in rig.endpoints[0].received_requests] == [b"GET", b"POST"]


@async_test
async def test_graceful_shutdown_loses_no_request_of_busy_clients() -> None:
    """Connections may be closed between requests, but only after a response with `Connection: close`."""

    async def send_requests(rig: Rig, connection_headers: list[str]) -> None:
        for _ in range(4):  # the first connection is opened before the proxy drains, the others meanwhile
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            connection_header = ""
            while connection_header != "close":
                writer.write(request("pay"))
                line, headers, _ = await read_message(reader)
                assert b" 200 " in line
                connection_header = headers.get("connection", "")
                connection_headers.append(connection_header)
            writer.close()

    async with Rig(ScriptedServer("s1"), ScriptedServer("s2")) as rig:
        connection_headers: list[str] = []
        clients = [asyncio.create_task(send_requests(rig, connection_headers)) for _ in range(3)]
        while len(connection_headers) < 30:
            await asyncio.sleep(0.005)
        rig.proxy.send_signal(signal.SIGTERM)
        await asyncio.gather(*clients)
        assert connection_headers.count("close") == 12
        assert await rig.proxy.wait() == 0


@async_test
async def test_reload_switches_to_the_complete_list_of_the_new_discovery_and_loses_no_request() -> None:
    release = asyncio.Event()

    async def respond_when_released(endpoint: ScriptedServer) -> bytes:
        await release.wait()
        return OK

    def respond_with_list_once(server: ScriptedServer) -> bytes | None:
        return None if len(server.received_requests) > 1 else complete_list

    async with Rig(ScriptedServer("s1", respond_when_released), ScriptedServer("s2")) as rig:
        old, new = rig.endpoints
        new_discovery = ScriptedServer("discovery-2", respond_with_list_once)
        list_body = json.dumps({"index": 0, "snapshot": True, "endpoints": [new.entry()]}).encode()
        complete_list = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(list_body), list_body)
        await new_discovery.start()
        await rig.wait_for_calls(1)
        while not old.received_requests:  # until the old endpoint has received a request
            pending = asyncio.create_task(rig.get_response(deadline_ms=20000))
            while not (old.received_requests or pending.done()):
                await asyncio.sleep(0.005)
        for invalid_config in ("{", json.dumps(rig.config | {"discovery": "nowhere"})):
            rig.reload(invalid_config)
            assert await rig.is_ready()  # still responds, with the old configuration
            assert len(rig.discovery_call_times_s) == 1
        started = time.monotonic()
        rig.reload(json.dumps(rig.config | {"discovery": f"127.0.0.1:{new_discovery.port}"}))
        while len(new_discovery.received_requests) < 2:
            await asyncio.sleep(0.005)
        assert time.monotonic() - started < 4.0
        targets = [line.split()[1][:22] for line, _, _ in new_discovery.received_requests]
        assert targets == [b"/v1/endpoints", b"/v1/endpoints?since=0&"]
        assert [(await rig.get_response())[0] for _ in range(6)] == [200] * 6
        assert len(old.received_requests) == 1  # it is not in the new list
        release.set()
        assert (await pending)[0] == 200
        rig.proxy.send_signal(signal.SIGTERM)
        assert await rig.proxy.wait() == 0
        new_discovery.server.close()


@async_test
@pytest.mark.parametrize(
    "sent",
    [b"", b"POST /pay/1", request("pay", body=b"abc")[:-1], request() + b"GET /"],
    ids=["nothing", "part-of-a-head", "part-of-a-body", "part-of-a-second-head"],
)
async def test_client_without_a_complete_request_times_out_even_if_it_keeps_sending(sent: bytes) -> None:
    async with Rig(ScriptedServer("s1")) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        started = time.monotonic()
        writer.write(sent)
        received = asyncio.create_task(reader.read(-1))
        while not received.done():
            if sent and not sent.endswith(b"b"):  # a further byte would complete the partial body
                writer.write(b"x")
            await asyncio.sleep(0.1)
        # It should take no more than 3 s; a slow machine needs longer.
        assert 1.0 < time.monotonic() - started < TEST_TIMEOUT_S / 4
        assert not sent or b"HTTP/1.1 408" in received.result()


@async_test
async def test_flood_of_silent_connections_does_not_close_those_of_active_clients() -> None:
    async with Rig(ScriptedServer("s1")) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        silent = []
        for _ in range(12):
            writer.write(request())
            assert (await reader.readuntil(b"done")).startswith(b"HTTP/1.1 200")
            silent += [await asyncio.open_connection("127.0.0.1", rig.port) for _ in range(50)]
        for _, silent_writer in silent:
            silent_writer.close()


@async_test
async def test_clients_that_stay_idle_after_one_request_do_not_lock_out_others() -> None:
    async with Rig(ScriptedServer("s1")) as rig:
        open_writers = []
        announced_closes = 0
        for _ in range(80):
            reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
            open_writers.append(writer)
            writer.write(request())
            _, headers, body = await read_message(reader)
            assert body == b"done"
            if headers.get("connection") == "close":
                announced_closes += 1
        assert announced_closes > 20
        for writer in open_writers:
            writer.close()


@async_test
async def test_invalid_request_ends_its_connection_and_further_input_is_not_processed() -> None:
    async with Rig(ScriptedServer("s1")) as rig:
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        writer.write(request("look").replace(b"/look/", b"/lock/") + request())
        assert (await reader.read(-1)).count(b"HTTP/1.1") == 1
        assert rig.endpoints[0].received_requests == []
        writer.close()


@async_test
async def test_memory_of_closed_connections_is_freed_promptly() -> None:
    """Guards against reference cycles of asyncio and the parser that are collected only after minutes."""

    def resident_kb(rig: Rig) -> int:
        lines = Path(f"/proc/{rig.proxy.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS"))

    async with Rig(ScriptedServer("s1")) as rig:
        samples_kb = []
        for _ in range(4):
            for _ in range(300):
                assert (await rig.get_response())[0] == 200
            samples_kb.append(resident_kb(rig))
        # Between these samples are 900 connections, which take about 2 KB each until freed.
        assert samples_kb[-1] - samples_kb[0] < 1200

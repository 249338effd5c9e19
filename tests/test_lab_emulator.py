"""The emulator on real sockets: what each fault does to whoever asks, and the fleet with a real proxy."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import time

import numpy as np
import pytest
from rig import NOT_RUN, read_message, real

from alderspool.lab.emulator.discovery import DiscoveryServer
from alderspool.lab.emulator.endpoint import EndpointServer, Load
from alderspool.lab.emulator.fleet import Fault, Fleet, FleetPlan
from alderspool.lab.errors import LabError
from alderspool.lab.models.discovery import Delays, Discovery, Entry
from alderspool.lab.models.endpoint import EndpointProfile, Rack

assert b"X-Not-Run: 1" in NOT_RUN  # the proof that the proxy goes by


def server(rack: Rack | None = None, work: float = 20.0, **profile: object) -> EndpointServer:
    profile = EndpointProfile(**profile)
    return EndpointServer("s-1", profile, {"look": Load(work, 0.01)}, np.random.default_rng(1), rack)


async def connect(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", port)


def get(id: str = "r1", target: str = "/look/1", *more: str) -> bytes:
    lines = [f"GET {target} HTTP/1.1", "Host: x", *([f"X-Request-Id: {id}"] if id else []), *more]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def ask(port: int, request: bytes) -> tuple[int, dict, bytes]:
    reader, writer = await connect(port)
    writer.write(request)
    line, headers, body = await read_message(reader)
    writer.close()
    return int(line.split()[1]), headers, body


@real
async def test_a_node_answers_each_request_with_its_own_id_after_its_work() -> None:
    node = server(work=50.0)
    await node.open()
    reader, writer = await connect(node.port)
    for id in ("a", "b"):  # one after the other on one connection
        began = time.monotonic()
        writer.write(get(id))
        line, _, body = await read_message(reader)
        assert b"200" in line and json.loads(body) == {"id": id, "node": "s-1"}
        assert time.monotonic() - began > 0.04
    assert [(s.request, s.ran) for s in node.records] == [("a", True), ("b", True)]
    assert (await ask(node.port, get("")))[0] == 404
    assert (await ask(node.port, get("c", "/nothing/1")))[0] == 400
    assert (await ask(node.port, get("", "/health")))[0] == 200
    node.kill()


@real
async def test_a_full_or_draining_node_proves_that_nothing_ran() -> None:
    node = server(work=5000.0, cores=1, slots=1, queue=0)
    await node.open()
    _, writer = await connect(node.port)
    writer.write(get("held"))
    while not node.model.held:
        await asyncio.sleep(0.001)
    status, headers, _ = await ask(node.port, get("second"))
    assert (status, headers["x-not-run"]) == (503, "1")
    writer.close()
    node.model.draining = True
    status, headers, _ = await ask(node.port, get("third"))
    assert (status, headers["x-not-run"]) == (503, "1")
    assert [s.verdict for s in node.records] == ["taken", "full", "draining"]
    assert not any(s.ran for s in node.records)
    node.kill()


@real
async def test_a_closed_connection_calls_its_attempt_off() -> None:
    node = server(work=60_000.0, stops_running=True)
    await node.open()
    _, writer = await connect(node.port)
    writer.write(get())
    while not node.model.held:
        await asyncio.sleep(0.001)
    writer.close()
    while node.model.held:
        await asyncio.sleep(0.001)
    assert not node.records[0].ran
    node.kill()


@real
async def test_a_silent_node_takes_and_says_nothing() -> None:
    node = server(work=1.0)
    await node.open()
    node.model.silent = True
    reader, writer = await connect(node.port)
    writer.write(get())
    while not node.records:
        await asyncio.sleep(0.001)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(1), 0.2)
    assert node.records[0].verdict == "silent"
    writer.close()
    node.kill()


@real
async def test_a_crash_resets_what_is_open_and_a_restart_is_cold_at_the_same_port() -> None:
    node = server(work=60_000.0, slow_start_ms=60_000.0)
    await node.open()
    port = node.port
    reader, writer = await connect(port)
    writer.write(get())
    while not node.model.held:
        await asyncio.sleep(0.001)
    node.crash()
    with pytest.raises(ConnectionResetError):
        await reader.read(1)
    with pytest.raises(ConnectionRefusedError):
        await connect(port)
    await node.restart()
    assert node.port == port and node.model.held == 0 and node.since_ms > 0
    assert node.model.warmth(node.model.started) == 0.4
    writer.close()
    node.kill()


@real
async def test_a_slow_node_takes_three_times_as_long() -> None:
    node = server(work=60.0)
    await node.open()
    node.model.slower = 3.0
    began = time.monotonic()
    await ask(node.port, get())
    assert time.monotonic() - began > 0.15
    node.kill()


@real
async def test_a_repeat_within_the_rack_is_answered_without_running() -> None:
    rack = Rack()
    nodes = [server(rack, work=1.0), server(rack, work=1.0)]
    for node in nodes:
        await node.open()
        assert (await ask(node.port, get("r", "/look/1", "Idempotency-Key: k")))[0] == 200
    assert [(s.verdict, s.ran) for n in nodes for s in n.records] == [("taken", True), ("repeat", False)]
    for node in nodes:
        node.kill()


@real
async def test_discovery_tells_the_list_and_a_watch_waits_for_what_changed() -> None:
    discovery = DiscoveryServer(Discovery(Delays(ready=0.0, draining=0.0)))
    await discovery.open()
    discovery.report(Entry("a", "127.0.0.1:1"))
    status, _, body = await ask(discovery.port, get("", "/v1/endpoints"))
    whole = json.loads(body)
    assert status == 200 and whole["snapshot"] and [e["name"] for e in whole["endpoints"]] == ["a"]
    target = f"/v1/endpoints?since={whole['index']}&timeout_ms=60000"
    watch = asyncio.create_task(ask(discovery.port, get("", target)))
    await asyncio.sleep(0.1)
    assert not watch.done()
    discovery.report(Entry("a", "127.0.0.1:1", status="draining"))
    changed = json.loads((await watch)[2])
    assert not changed["snapshot"] and [e["status"] for e in changed["endpoints"]] == ["draining"]
    _, _, body = await ask(discovery.port, get("", f"/v1/endpoints?since={changed['index']}&timeout_ms=50"))
    assert json.loads(body)["endpoints"] == []
    discovery.model.up = False
    assert (await ask(discovery.port, get("", "/v1/endpoints")))[0] == 503
    assert (await ask(discovery.port, get("", "/v1/endpoints?since=x")))[0] == 400
    discovery.kill()


def request(cls: str, id: str) -> bytes:
    method = "GET" if cls == "status-check" else "POST"
    fields = f"X-Class: {cls}\r\nX-Tenant: large\r\nX-Deadline-Ms: 1000\r\nX-Request-Id: {id}\r\n"
    fields += "Idempotency-Key: k\r\n" if cls == "batch-submit" else ""
    fields += "Content-Length: 0\r\n" if method == "POST" else ""
    return f"{method} /{cls}/1 HTTP/1.1\r\nHost: x\r\n{fields}\r\n".encode()


@real
async def test_a_fleet_serves_through_a_real_proxy_and_keeps_drains() -> None:
    plan = FleetPlan(nodes=3, faults=(Fault(0.0, "drain", 0, 0.6),))
    async with Fleet(plan) as fleet:
        fleet.discovery.model.delays = Delays(ready=0.0, draining=0.0)
        port = int(fleet.urls[0].rpartition(":")[2])
        for cls in ("status-check", "otp-send", "batch-submit"):
            status, _, body = await ask(port, request(cls, f"1{cls}"))
            assert status == 200 and json.loads(body)["id"] == f"1{cls}"
        faults = asyncio.create_task(fleet.play())
        await asyncio.sleep(0.35)  # told at once; the rule gives 250 ms
        count = len(fleet.nodes[0].records)
        for i in range(12):
            assert (await ask(port, request("status-check", f"2{i}")))[0] == 200
        assert len(fleet.nodes[0].records) == count
        await faults
        assert fleet.nodes[0].model.up and not fleet.nodes[0].model.draining
        assert await fleet.stop_proxy(0) == 0


@real
async def test_unknown_faults_are_refused_before_anything_happens() -> None:
    fleet = Fleet(FleetPlan(nodes=2, faults=(Fault(0.0, "flood", 0, 1.0),)))
    with pytest.raises(LabError, match="kinds are crash"):
        await fleet.play()
    fleet.plan.faults = (Fault(0.0, "crash", 2, 1.0),)
    with pytest.raises(LabError, match="nodes 0 to 1"):
        await fleet.play()


def test_the_demo_runs_with_its_faults_and_ends_with_a_summary() -> None:
    command = [sys.executable, "-m", "alderspool", "lab", "demo", "--seconds", "4", "--json"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode in (0, 3), done.stderr
    summary = json.loads(done.stdout)
    assert summary["answered"] == summary["planned"] > 600
    assert summary["outcomes"]["served"] > 0.9 * summary["planned"]
    for text in ("s-01: silence", "s-01: silence over", "s-02: crash", "s-02: crash over"):
        assert text in done.stderr.splitlines()
    assert "Traceback" not in done.stderr


def test_ctrl_c_ends_the_demo_at_once_and_leaves_no_process() -> None:
    command = [sys.executable, "-m", "alderspool", "lab", "demo", "--seconds", "600"]
    demo = subprocess.Popen(command, stderr=subprocess.PIPE, text=True, start_new_session=True)
    while "execute nodes" not in (line := demo.stderr.readline()):
        assert line
    while len(before := processes(str(demo.pid))) < 3:  # itself, the proxy, a worker
        time.sleep(0.01)
    demo.send_signal(signal.SIGINT)
    assert demo.wait(timeout=20) == 1
    until = time.monotonic() + 20
    while left := before & processes():
        assert time.monotonic() < until, left
        time.sleep(0.01)


def processes(of: str | None = None) -> set[tuple[str, str]]:
    """Pid and command line of what runs: all, or that process and its children."""
    done = subprocess.run(["ps", "-eo", "pid,ppid,stat,args"], capture_output=True, text=True)
    rows = [line.split(None, 3) for line in done.stdout.splitlines()[1:]]
    return {(pid, args) for pid, ppid, stat, args in rows if of in (None, pid, ppid) and stat[0] != "Z"}

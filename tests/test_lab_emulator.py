"""Tests of the emulator on real sockets: what clients see of each fault, and a fleet with a real proxy."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
import time

import numpy as np
import pytest
from rig import NOT_RUN, async_test, read_message

from alderspool.lab.emulator.discovery import EmulatedDiscovery
from alderspool.lab.emulator.endpoint import EmulatedEndpoint, EndpointIdentity, WorkDistribution
from alderspool.lab.emulator.faults import Fault, FaultKind
from alderspool.lab.emulator.fleet import Fleet, FleetPlan
from alderspool.lab.errors import InputError
from alderspool.lab.models.deduplication import DeduplicationScope
from alderspool.lab.models.discovery import DiscoveryModel, EndpointRecord, EndpointStatus, UpdateDelays
from alderspool.lab.models.endpoint import OfferResult
from alderspool.lab.models.endpoint_profile import EndpointProfile

assert b"X-Not-Run: 1" in NOT_RUN  # the header that tells the proxy that an attempt did not run


def make_endpoint(
    deduplication: DeduplicationScope | None = None, work: float = 20.0, **profile: object
) -> EmulatedEndpoint:
    return EmulatedEndpoint(
        EndpointIdentity("s-1"),
        EndpointProfile(**profile),
        {"look": WorkDistribution(work, 0.01)},
        np.random.default_rng(1),
        deduplication,
    )


async def connect(port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    return await asyncio.open_connection("127.0.0.1", port)


def get(request_id: str = "r1", target: str = "/look/1", *more: str) -> bytes:
    lines = [
        f"GET {target} HTTP/1.1",
        "Host: x",
        *([f"X-Request-Id: {request_id}"] if request_id else []),
        *more,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def send(port: int, request: bytes) -> tuple[int, dict, bytes]:
    reader, writer = await connect(port)
    writer.write(request)
    line, headers, body = await read_message(reader)
    writer.close()
    return int(line.split()[1]), headers, body


@async_test
async def test_endpoint_responds_with_the_request_id_after_its_work() -> None:
    endpoint = make_endpoint(work=50.0)
    await endpoint.open()
    reader, writer = await connect(endpoint.port)
    for request_id in ("a", "b"):  # in turn on one connection
        started_at = time.monotonic()
        writer.write(get(request_id))
        line, _, body = await read_message(reader)
        assert b"200" in line and json.loads(body) == {"id": request_id, "node": "s-1"}
        assert time.monotonic() - started_at > 0.04
    assert [(record.request_id, record.is_completed) for record in endpoint.records] == [
        ("a", True),
        ("b", True),
    ]
    assert (await send(endpoint.port, get("")))[0] == 404
    assert (await send(endpoint.port, get("c", "/nothing/1")))[0] == 400
    assert (await send(endpoint.port, get("", "/health")))[0] == 200
    endpoint.kill()


@async_test
async def test_full_or_draining_endpoint_responds_with_the_not_run_header() -> None:
    endpoint = make_endpoint(work=5000.0, cores=1, max_running=1, max_queued=0)
    await endpoint.open()
    _, writer = await connect(endpoint.port)
    writer.write(get("first"))
    while not endpoint.model.attempt_count:
        await asyncio.sleep(0.001)
    status, headers, _ = await send(endpoint.port, get("second"))
    assert (status, headers["x-not-run"]) == (503, "1")
    writer.close()
    endpoint.model.is_draining = True
    status, headers, _ = await send(endpoint.port, get("third"))
    assert (status, headers["x-not-run"]) == (503, "1")
    assert [record.offer_result for record in endpoint.records] == [
        OfferResult.ACCEPTED,
        OfferResult.REJECTED_FULL,
        OfferResult.REJECTED_DRAINING,
    ]
    assert not any(record.is_completed for record in endpoint.records)
    endpoint.kill()


@async_test
async def test_closed_connection_cancels_its_attempt() -> None:
    endpoint = make_endpoint(work=60_000.0, can_cancel_running=True)
    await endpoint.open()
    _, writer = await connect(endpoint.port)
    writer.write(get())
    while not endpoint.model.attempt_count:
        await asyncio.sleep(0.001)
    writer.close()
    while endpoint.model.attempt_count:
        await asyncio.sleep(0.001)
    assert not endpoint.records[0].is_completed
    endpoint.kill()


@async_test
async def test_silent_endpoint_accepts_requests_and_never_responds() -> None:
    endpoint = make_endpoint(work=1.0)
    await endpoint.open()
    endpoint.model.is_silent = True
    reader, writer = await connect(endpoint.port)
    writer.write(get())
    while not endpoint.records:
        await asyncio.sleep(0.001)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.read(1), 0.2)
    assert endpoint.records[0].offer_result is OfferResult.SILENT
    writer.close()
    endpoint.kill()


@async_test
async def test_crash_resets_connections_and_restart_begins_slow_start_on_the_same_port() -> None:
    endpoint = make_endpoint(work=60_000.0, slow_start_ms=60_000.0)
    await endpoint.open()
    port = endpoint.port
    reader, writer = await connect(port)
    writer.write(get())
    while not endpoint.model.attempt_count:
        await asyncio.sleep(0.001)
    endpoint.crash()
    with pytest.raises(ConnectionResetError):
        await reader.read(1)
    with pytest.raises(ConnectionRefusedError):
        await connect(port)
    await endpoint.restart()
    assert endpoint.port == port and endpoint.model.attempt_count == 0 and endpoint.since_ms > 0
    assert endpoint.model.warm_up_factor(endpoint.model.started_at_ms) == 0.4
    writer.close()
    endpoint.kill()


@async_test
async def test_slow_endpoint_takes_three_times_as_long() -> None:
    endpoint = make_endpoint(work=60.0)
    await endpoint.open()
    endpoint.model.slowdown = 3.0
    started_at = time.monotonic()
    await send(endpoint.port, get())
    assert time.monotonic() - started_at > 0.15
    endpoint.kill()


@async_test
async def test_duplicate_within_the_scope_gets_a_response_without_running() -> None:
    scope = DeduplicationScope()
    endpoints = [make_endpoint(scope, work=1.0), make_endpoint(scope, work=1.0)]
    for endpoint in endpoints:
        await endpoint.open()
        assert (await send(endpoint.port, get("r", "/look/1", "Idempotency-Key: k")))[0] == 200
    assert [
        (record.offer_result, record.is_completed) for endpoint in endpoints for record in endpoint.records
    ] == [(OfferResult.ACCEPTED, True), (OfferResult.DUPLICATE, False)]
    for endpoint in endpoints:
        endpoint.kill()


@async_test
async def test_discovery_sends_the_list_and_a_watch_waits_for_changes() -> None:
    discovery = EmulatedDiscovery(DiscoveryModel(UpdateDelays(ready_ms=0.0, draining_ms=0.0)))
    await discovery.open()
    discovery.report(EndpointRecord("a", "127.0.0.1:1"))
    status, _, body = await send(discovery.port, get("", "/v1/endpoints"))
    complete_list = json.loads(body)
    assert (
        status == 200
        and complete_list["snapshot"]
        and [e["name"] for e in complete_list["endpoints"]] == ["a"]
    )
    target = f"/v1/endpoints?since={complete_list['index']}&timeout_ms=60000"
    watch = asyncio.create_task(send(discovery.port, get("", target)))
    await asyncio.sleep(0.1)
    assert not watch.done()
    discovery.report(EndpointRecord("a", "127.0.0.1:1", status=EndpointStatus.DRAINING))
    changed = json.loads((await watch)[2])
    assert not changed["snapshot"] and [e["status"] for e in changed["endpoints"]] == ["draining"]
    _, _, body = await send(discovery.port, get("", f"/v1/endpoints?since={changed['index']}&timeout_ms=50"))
    assert json.loads(body)["endpoints"] == []
    discovery.model.is_up = False
    assert (await send(discovery.port, get("", "/v1/endpoints")))[0] == 503
    assert (await send(discovery.port, get("", "/v1/endpoints?since=x")))[0] == 400
    discovery.kill()


def client_request(cls: str, request_id: str) -> bytes:
    method = "GET" if cls == "status-check" else "POST"
    fields = f"X-Class: {cls}\r\nX-Tenant: large\r\nX-Deadline-Ms: 1000\r\nX-Request-Id: {request_id}\r\n"
    fields += "Idempotency-Key: k\r\n" if cls == "batch-submit" else ""
    fields += "Content-Length: 0\r\n" if method == "POST" else ""
    return f"{method} /{cls}/1 HTTP/1.1\r\nHost: x\r\n{fields}\r\n".encode()


@async_test
async def test_fleet_serves_through_a_real_proxy_and_respects_draining() -> None:
    plan = FleetPlan(endpoints=3, faults=(Fault(0.0, FaultKind.DRAIN, 0, 0.6),))
    async with Fleet(plan) as fleet:
        fleet.discovery.model.delays = UpdateDelays(ready_ms=0.0, draining_ms=0.0)
        port = int(fleet.proxies[0].url.rpartition(":")[2])
        for cls in ("status-check", "otp-send", "batch-submit"):
            status, _, body = await send(port, client_request(cls, f"1{cls}"))
            assert status == 200 and json.loads(body)["id"] == f"1{cls}"
        faults = asyncio.create_task(fleet.inject_faults())
        # The draining status is listed immediately, and drain_grace_ms allows the proxy 250 ms to react.
        await asyncio.sleep(0.35)
        count = len(fleet.endpoints[0].records)
        for i in range(12):
            assert (await send(port, client_request("status-check", f"2{i}")))[0] == 200
        assert len(fleet.endpoints[0].records) == count
        await faults
        assert fleet.endpoints[0].model.is_up and not fleet.endpoints[0].model.is_draining
        assert await fleet.proxies[0].stop() == 0


@async_test
async def test_rejects_unknown_faults_before_any_fault_begins() -> None:
    fleet = Fleet(FleetPlan(endpoints=2, faults=(Fault(0.0, "flood", 0, 1.0),)))
    with pytest.raises(InputError, match="kinds are crash"):
        await fleet.inject_faults()
    fleet.plan.faults = (Fault(0.0, FaultKind.CRASH, 2, 1.0),)
    with pytest.raises(InputError, match="endpoints 0 to 1"):
        await fleet.inject_faults()


def test_demo_injects_its_faults_and_prints_a_summary() -> None:
    command = [sys.executable, "-m", "alderspool", "lab", "demo", "--seconds", "4", "--json"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
    assert result.returncode in (0, 3), result.stderr
    summary = json.loads(result.stdout)
    assert summary["answered"] == summary["planned"] > 600
    assert summary["outcomes"]["served"] > 0.9 * summary["planned"]
    for text in ("s-01: silence", "s-01: silence over", "s-02: crash", "s-02: crash over"):
        assert text in result.stderr.splitlines()
    assert "Traceback" not in result.stderr


def test_interrupt_ends_the_demo_and_leaves_no_process() -> None:
    command = [sys.executable, "-m", "alderspool", "lab", "demo", "--seconds", "600"]
    demo = subprocess.Popen(command, stderr=subprocess.PIPE, text=True, start_new_session=True)
    while "6 endpoints" not in (line := demo.stderr.readline()):
        assert line
    while len(demo_processes := processes(str(demo.pid))) < 3:  # the demo itself, the proxy and a load worker
        time.sleep(0.01)
    demo.send_signal(signal.SIGINT)
    assert demo.wait(timeout=20) == 1
    timeout_at = time.monotonic() + 20
    while still_running := demo_processes & processes():
        assert time.monotonic() < timeout_at, still_running
        time.sleep(0.01)


def processes(parent: str | None = None) -> set[tuple[str, str]]:
    """Return PID and command line of all processes, or of one process and its children, without zombies."""
    result = subprocess.run(["ps", "-eo", "pid,ppid,stat,args"], capture_output=True, text=True, check=False)
    rows = [line.split(None, 3) for line in result.stdout.splitlines()[1:]]
    return {(pid, args) for pid, ppid, stat, args in rows if parent in (None, pid, ppid) and stat[0] != "Z"}

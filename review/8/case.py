"""Clients send much at once and go; the first of their requests takes its endpoint 0.4 s.

Breaks: an attempt for a client begins more than 0.1 s after the client has closed its connection.
"""

import asyncio
import random
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
from rig import HOST, Attempt, Case, Client, Discovery, Endpoint, EndpointConnection, Proxy
from rig import encode_request, now, open_loop, run_case, settings

LEAVERS = 20
BODY = b"m" * 60_000  # a body holds 64 KiB at most
FURTHER_REQUESTS = 3
LATEST_S = 0.1
LONG_S = 0.4


class MixedEndpoint(Endpoint):
    """Serves most requests in 25 to 75 ms, and long ones in 0.4 s."""

    def on_attempt(self, connection: EndpointConnection, attempt: Attempt) -> None:
        if not attempt.request_id.startswith("long"):
            super().on_attempt(connection, attempt)
            return
        asyncio.get_running_loop().call_later(LONG_S, self.serve, connection, attempt)


async def send_and_go(case: Case, proxy: Proxy, number: int, closed_at: dict[str, float]) -> None:
    """Send several requests without waiting for an answer, and close the connection."""
    loop = asyncio.get_running_loop()
    ids = [f"long-{number:02d}-{random.getrandbits(32):08x}"]
    data = encode_request(ids[0], "check", "GET", 1000)
    for further in range(FURTHER_REQUESTS):
        ids.append(f"next-{number:02d}-{further}-{random.getrandbits(32):08x}")
        data += encode_request(ids[-1], "batch", "POST", 2000, f"key-{ids[-1]}", BODY)
    with socket.socket() as client:
        client.setblocking(False)
        await loop.sock_connect(client, (HOST, proxy.port))
        async with asyncio.timeout(1.0):
            await loop.sock_sendall(client, data)
    for request_id in ids:
        closed_at[request_id] = now()
        case.record.add(f"{request_id} sent, and its connection closed")


async def play(case: Case) -> None:
    endpoints = [MixedEndpoint(f"s-{number}", group=1 + number % 2, service_s=0.05) for number in range(4)]
    for endpoint in endpoints:
        await endpoint.open()
    discovery = Discovery()
    discovery.set(*[endpoint.entry() for endpoint in endpoints])
    await discovery.open()
    proxy = case.proxy("n0")
    proxy.write_config(discovery.address, discovery.document(), settings())
    await proxy.start()
    client = Client(proxy.port, "c")
    closed_at: dict[str, float] = {}

    async def send() -> None:
        await client.send("check", "GET", 1000)

    traffic = asyncio.get_running_loop().create_task(open_loop(40.0, 20.0, send))
    await asyncio.sleep(4.0)
    for number in range(LEAVERS):
        if case.has_trouble:
            await send_and_go(case, proxy, number, closed_at)
        else:
            await client.send("check", "GET", 1000)
            await client.send("batch", "POST", 2000, f"key-{number}", BODY)
        await asyncio.sleep(0.6)
    await traffic
    case.record_traffic([client], endpoints)
    for endpoint in endpoints:
        for attempt in endpoint.attempts:
            late_s = attempt.first_byte_at - closed_at.get(attempt.request_id, attempt.first_byte_at)
            if late_s > LATEST_S:
                case.broken(f"{attempt.request_id} sent to {endpoint.name} {late_s:.2f} s after its client had gone")


run_case(__file__, play)

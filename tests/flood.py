"""Clients that send as fast as they can, in a process of their own, so that they delay nobody but the proxy.

Run as `python flood.py KIND PORT SECONDS`. It stops by itself.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import socket
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

from rig import request

BODY_BYTES = 64 * 1024
CHUNKED_CLIENTS = 300
IDLE_CLIENTS = 300
BATCH_BYTES = 64 * 1024
READY = b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"


def chunked_request() -> bytes:
    """Return a valid request with the largest body, in chunks of one byte."""
    head = request("pay", Content_Length=None, Transfer_Encoding="chunked")
    return head + b"1\r\nm\r\n" * BODY_BYTES + b"0\r\n\r\n"


async def send_and_leave(port: int, data: bytes, seconds: float) -> None:
    """Connect, send all of the data, or what can be sent in this time, and close the connection."""
    loop = asyncio.get_running_loop()
    with socket.socket() as client:
        client.setblocking(False)
        try:
            async with asyncio.timeout(seconds):
                await loop.sock_connect(client, ("127.0.0.1", port))
                await loop.sock_sendall(client, data)
        except (OSError, TimeoutError):
            pass


async def flood_with_chunks(port: int, seconds: float) -> None:
    """Have many clients send a body in chunks of one byte each, at the same time."""
    requests = [chunked_request() for _ in range(CHUNKED_CLIENTS)]
    await asyncio.gather(*(send_and_leave(port, data, seconds) for data in requests))


async def send_at_full_speed(port: int, batches: Iterator[bytes], seconds: float) -> None:
    """Send batches on one connection, as fast as they are read, and read the responses.

    Connects again whenever the proxy closes the connection.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while True:
                with contextlib.suppress(OSError):
                    await send_until_closed(port, batches)


async def send_until_closed(port: int, batches: Iterator[bytes]) -> None:
    """Send batches on one connection until the proxy closes it, and read the responses."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    reading = asyncio.create_task(reader.read(-1))
    try:
        while not reading.done():
            writer.write(next(batches))
            await writer.drain()
    finally:
        writer.transport.abort()
        reading.cancel()
        await asyncio.gather(reading, return_exceptions=True)


async def reconnect_forever(port: int) -> None:
    """Connect, send nothing, and connect again as soon as the connection ends."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await reader.read()
            writer.close()


async def stay_idle(port: int, seconds: float) -> None:
    """Have many clients connect and send nothing."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(*(reconnect_forever(port) for _ in range(IDLE_CLIENTS)))


def batches_of(create: Callable[[int], bytes]) -> Iterator[bytes]:
    """Yield batches of requests; each request is created with another number."""
    numbers = itertools.count()
    while True:
        batch = b""
        while len(batch) < BATCH_BYTES:
            batch += create(next(numbers))
        yield batch


def new_name(number: int) -> str:
    """Return a name that has not been used before."""
    return f"{os.getpid()}-{number}"


REQUESTS_BY_KIND: dict[str, Callable[[int], bytes]] = {
    "readiness": lambda _: READY,
    "empty-lines": lambda _: b"\r\n",
    "no-time-left": lambda number: request("pay", deadline_ms=1, X_Request_Id=new_name(number)),
    "many-fields": lambda _: READY[:-2] + b"a:\r\n" * 1000 + b"\r\n",
    "new-ids": lambda number: request(X_Request_Id=new_name(number)),
    "new-keys": lambda number: request("put", Idempotency_Key=new_name(number)).replace(
        b"/7f3a", f"/{new_name(number)}".encode()
    ),
    "new-tenants": lambda number: request(X_Tenant=new_name(number)),
    "new-classes": lambda number: request(X_Class=new_name(number)),
    "new-paths": lambda number: READY.replace(b"ready", new_name(number).encode()),
    "garbage": lambda number: f"{new_name(number)}\r\n\r\n".encode(),
}


def main() -> None:
    kind, port, seconds = sys.argv[1], int(sys.argv[2]), float(sys.argv[3])
    if kind == "chunks":
        asyncio.run(flood_with_chunks(port, seconds))
    elif kind == "idle":
        asyncio.run(stay_idle(port, seconds))
    else:
        asyncio.run(send_at_full_speed(port, batches_of(REQUESTS_BY_KIND[kind]), seconds))


async def start_flood(kind: str, port: int, seconds: float) -> asyncio.subprocess.Process:
    """Start a flood of this kind against a proxy, in a process of its own."""
    return await asyncio.create_subprocess_exec(
        sys.executable, str(Path(__file__)), kind, str(port), str(seconds)
    )


if __name__ == "__main__":
    main()

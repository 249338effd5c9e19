"""Connections accepted under descriptor pressure, where each new connection evicts an open one.

    .venv/bin/python -m benchmarks.accept_rate [--connections 3000]

The listener runs in a process of its own with an exchange that can serve nothing. Each client connects, sends
GET /ready, reads the response and stays connected, or sends nothing (`--silent`). The CPU per connection is
the figure to compare: other load on the system changes the rate more.
"""

from __future__ import annotations

import asyncio
import multiprocessing as mp
import socket
import time
from collections import deque
from multiprocessing.connection import Connection
from types import SimpleNamespace
from typing import cast

import click

from alderspool.balancer.settings import RequestClass, Settings
from alderspool.protocol.downstream import RequestReader
from alderspool.routing.exchange import Exchange
from alderspool.transport.descriptor_budget import DescriptorBudget
from alderspool.transport.listener import Listener

CONNECTION_LIMITS = (70, 280, 600, 2400)
REQUEST = b"GET /ready HTTP/1.1\r\nHost: benchmark\r\n\r\n"
RESPONSE_BYTES = 1024
STOP = "stop"
STEP_S = 0.01


def serve(connection_limit: int, pipe: Connection) -> None:
    """Run the listener until the other end of the pipe sends anything, then send the CPU seconds used."""
    asyncio.run(_serve(connection_limit, pipe))


async def _serve(connection_limit: int, pipe: Connection) -> None:
    settings = Settings(classes=[RequestClass("look", latency_objective_ms=400.0, deadline_ms=1000.0)])
    exchange = cast(Exchange, SimpleNamespace(can_serve=False))
    listener = Listener(exchange, RequestReader(settings), DescriptorBudget(connection_limit))
    listener.bind("127.0.0.1", 0)
    listener.start_accepting()
    pipe.send(("127.0.0.1", listener.port))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_reader(pipe.fileno(), stop.set)
    started = time.process_time()
    await stop.wait()
    pipe.send(time.process_time() - started)
    listener.abort_all()
    while listener.open_count:
        await asyncio.sleep(STEP_S)


def connect_clients(address: tuple[str, int], count: int, connection_limit: int, silent: bool) -> float:
    """Connect so many clients; return the seconds taken. Evicted ones are closed here after a while."""
    clients: deque[socket.socket] = deque()
    started = time.perf_counter()
    for _ in range(count):
        client = socket.create_connection(address)
        clients.append(client)
        if not silent:
            client.sendall(REQUEST)
            client.recv(RESPONSE_BYTES)
        if len(clients) > connection_limit + 64:
            clients.popleft().close()
    elapsed_s = time.perf_counter() - started
    for client in clients:
        client.close()
    return elapsed_s


@click.command()
@click.option("--connections", default=3000, show_default=True)
@click.option("--silent", is_flag=True, help="The clients send nothing.")
def main(connections: int, silent: bool) -> None:
    """Measure for each limit of open connections."""
    click.echo("open at most   accepted a second   CPU us per connection")
    for connection_limit in CONNECTION_LIMITS:
        ours, theirs = mp.Pipe()
        server = mp.Process(target=serve, args=(connection_limit, theirs), daemon=True)
        server.start()
        address = ours.recv()
        elapsed_s = connect_clients(address, connections, connection_limit, silent)
        ours.send(STOP)
        cpu_s = ours.recv()
        server.join()
        rate = connections / elapsed_s
        click.echo(f"{connection_limit:12}{rate:20.0f}{1e6 * cpu_s / connections:24.0f}")


if __name__ == "__main__":
    main()

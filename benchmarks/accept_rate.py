"""Connections accepted under descriptor pressure, where each new connection evicts an open one.

    .venv/bin/python -m benchmarks.accept_rate [--connections 3000]

The listener runs in a process of its own with an exchange that can serve nothing. Each client connects, sends
GET /ready, reads the response and stays connected, or sends nothing (`--silent`). The CPU per connection is
the figure to compare: other load on the system changes the rate more.
"""

from __future__ import annotations

import asyncio
import multiprocessing
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
CLOSE_POLL_INTERVAL_S = 0.01
OPEN_BEYOND_LIMIT = 64  # clients over the limit that stay open here before the oldest is closed
MICROSECONDS_PER_S = 1e6


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
    started_at_s = time.process_time()
    await stop.wait()
    pipe.send(time.process_time() - started_at_s)
    listener.abort_all()
    while listener.open_count:
        await asyncio.sleep(CLOSE_POLL_INTERVAL_S)


def connect_clients(address: tuple[str, int], count: int, connection_limit: int, silent: bool) -> float:
    """Connect so many clients; return the seconds taken. Evicted ones are closed here after a while."""
    clients: deque[socket.socket] = deque()
    started_at_s = time.perf_counter()
    for _ in range(count):
        client = socket.create_connection(address)
        clients.append(client)
        if not silent:
            client.sendall(REQUEST)
            client.recv(RESPONSE_BYTES)
        if len(clients) > connection_limit + OPEN_BEYOND_LIMIT:
            clients.popleft().close()
    elapsed_s = time.perf_counter() - started_at_s
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
        parent_end, child_end = multiprocessing.Pipe()
        server = multiprocessing.Process(target=serve, args=(connection_limit, child_end), daemon=True)
        server.start()
        # While the parent has the child's end open too, `recv` never sees the end of file of a dead child.
        child_end.close()
        try:
            address = parent_end.recv()
            elapsed_s = connect_clients(address, connections, connection_limit, silent)
            parent_end.send(STOP)
            cpu_s = parent_end.recv()
        except EOFError as error:
            raise click.ClickException(f"limit {connection_limit}: the listener's process died") from error
        server.join()
        rate = connections / elapsed_s
        cpu_us = MICROSECONDS_PER_S * cpu_s / connections
        click.echo(f"{connection_limit:12}{rate:20.0f}{cpu_us:24.0f}")


if __name__ == "__main__":
    main()

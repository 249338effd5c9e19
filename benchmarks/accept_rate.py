"""Measures how fast connections are accepted at the connection limit, where each new one evicts an open one.

    .venv/bin/python -m benchmarks.accept_rate [--connections 3000]

The listener runs in a separate process with a stub exchange that is not able to serve requests. Each client
connects, sends GET /ready, reads the response and stays connected; with `--silent` it sends nothing. Compare
the CPU time per connection between runs: other load on the system affects the rate more.
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
MEMORY_MB = 192.0
REQUEST = b"GET /ready HTTP/1.1\r\nHost: benchmark\r\n\r\n"
RESPONSE_BYTES = 1024
STOP = "stop"
CLOSE_POLL_INTERVAL_S = 0.01
MAX_SOCKETS_OVER_LIMIT = 64  # client sockets kept open in excess of the connection limit
MICROSECONDS_PER_S = 1e6


def serve(connection_limit: int, pipe: Connection) -> None:
    """Run the listener until a message arrives on the pipe, then send the CPU time used, in s."""
    asyncio.run(_serve(connection_limit, pipe))


async def _serve(connection_limit: int, pipe: Connection) -> None:
    settings = Settings(classes=[RequestClass("look", latency_objective_ms=400.0, deadline_ms=1000.0)])
    exchange = cast(Exchange, SimpleNamespace(can_serve=False))
    listener = Listener(exchange, RequestReader(settings), DescriptorBudget(connection_limit), MEMORY_MB)
    listener.bind("127.0.0.1", 0)
    listener.start_accepting()
    pipe.send(("127.0.0.1", listener.port))
    stop = asyncio.Event()
    asyncio.get_running_loop().add_reader(pipe.fileno(), stop.set)
    cpu_before_s = time.process_time()
    await stop.wait()
    pipe.send(time.process_time() - cpu_before_s)
    listener.abort_all()
    while listener.open_count:
        await asyncio.sleep(CLOSE_POLL_INTERVAL_S)


def connect_clients(address: tuple[str, int], count: int, connection_limit: int, silent: bool) -> float:
    """Connect `count` clients one after the other and return the time taken in s.

    Sockets of evicted clients stay open for a while: the oldest socket is closed whenever more than
    `connection_limit` + MAX_SOCKETS_OVER_LIMIT are open.
    """
    clients: deque[socket.socket] = deque()
    started_at_s = time.perf_counter()
    for _ in range(count):
        client = socket.create_connection(address)
        clients.append(client)
        if not silent:
            client.sendall(REQUEST)
            client.recv(RESPONSE_BYTES)
        if len(clients) > connection_limit + MAX_SOCKETS_OVER_LIMIT:
            clients.popleft().close()
    elapsed_s = time.perf_counter() - started_at_s
    for client in clients:
        client.close()
    return elapsed_s


@click.command()
@click.option("--connections", default=3000, show_default=True)
@click.option("--silent", is_flag=True, help="The clients send nothing.")
def main(connections: int, silent: bool) -> None:
    """Print the accept rate and the CPU time per connection for each limit of open connections."""
    click.echo("  open limit      accepted per s   CPU us per connection")
    for connection_limit in CONNECTION_LIMITS:
        parent_pipe, child_pipe = multiprocessing.Pipe()
        server = multiprocessing.Process(target=serve, args=(connection_limit, child_pipe), daemon=True)
        server.start()
        # With the parent's copy of this end open, `recv` would not raise EOFError if the child died.
        child_pipe.close()
        try:
            address = parent_pipe.recv()
            elapsed_s = connect_clients(address, connections, connection_limit, silent)
            parent_pipe.send(STOP)
            cpu_s = parent_pipe.recv()
        except EOFError as error:
            raise click.ClickException(f"limit {connection_limit}: the listener process died") from error
        server.join()
        rate = connections / elapsed_s
        cpu_us = MICROSECONDS_PER_S * cpu_s / connections
        click.echo(f"{connection_limit:12}{rate:20.0f}{cpu_us:24.0f}")


if __name__ == "__main__":
    main()

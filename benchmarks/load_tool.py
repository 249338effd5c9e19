"""Measures the load generator against a trivial server: at which rates its runs are valid, and its CPU time.

    .venv/bin/python -m benchmarks.load_tool [--seconds 4]

The server runs in separate processes and responds immediately; its CPU time is not included.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import socket

import click

from alderspool.lab.load import workers
from alderspool.lab.load.plan import generate_plan
from alderspool.lab.load.results import Summary
from alderspool.lab.load.traffic import Traffic

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SERVER_PROCESSES = 3
ACCEPT_QUEUE_LENGTH = 1024
WORKER_COUNTS = (1, 2, 4)
RATES_PER_WORKER = (1000.0, 2000.0, 3000.0, 4000.0, 5000.0)
MICROSECONDS_PER_S = 1e6


class FixedResponseServer(asyncio.Protocol):
    """Sends one response for each chunk received.

    The load generator has at most one request pending per connection and sends it in a single write.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, on which responses are sent."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Send the response to the request in this chunk."""
        self._transport.write(RESPONSE)


def serve(listener: socket.socket) -> None:
    """Serve until the process is terminated. This is the main function of a server process."""
    asyncio.run(_serve(listener))


async def _serve(listener: socket.socket) -> None:
    server = await asyncio.get_running_loop().create_server(FixedResponseServer, sock=listener)
    await server.serve_forever()


def run_load(url: str, worker_count: int, rate_per_worker: float, seconds: float) -> Summary:
    """Send load at the total rate of all workers and return the summary of the run."""
    traffic = Traffic(rate=worker_count * rate_per_worker, seconds=seconds)
    return workers.run(url, generate_plan(traffic), worker_count).summary()


def format_row(worker_count: int, summary: Summary) -> str:
    """Return the table row of one run."""
    cpu_us = summary["cpu_us_per_request"]
    lateness_ms = summary["lateness_ms"]["p99"]
    valid = "yes" if summary["valid"] else "no"
    return (
        f"{worker_count:7}{summary['per_second']:17.0f}{cpu_us:14.0f}{MICROSECONDS_PER_S / cpu_us:20.0f}"
        f"{lateness_ms:18.2f}   {valid}"
    )


@click.command()
@click.option("--seconds", default=4.0, show_default=True)
def main(seconds: float) -> None:
    """Print a row for each number of workers and each rate, up to the first rate with an invalid run."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=ACCEPT_QUEUE_LENGTH)
    servers = [
        multiprocessing.Process(target=serve, args=(listener,), daemon=True) for _ in range(SERVER_PROCESSES)
    ]
    for server in servers:
        server.start()
    url = f"http://127.0.0.1:{listener.getsockname()[1]}"
    try:
        click.echo("workers       requests/s   CPU us each  requests/s per CPU   lateness p99 ms   valid")
        for worker_count in WORKER_COUNTS:
            for rate_per_worker in RATES_PER_WORKER:
                summary = run_load(url, worker_count, rate_per_worker, seconds)
                click.echo(format_row(worker_count, summary))
                if not summary["valid"]:
                    break
    finally:
        for server in servers:
            server.terminate()


if __name__ == "__main__":
    main()

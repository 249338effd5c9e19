"""Several processes play one plan together: they start at one moment, and their results are added up."""

from __future__ import annotations

import asyncio
import gc
import multiprocessing
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing.connection import Connection, wait
from multiprocessing.context import SpawnProcess
from urllib.parse import urlsplit

from alderspool.lab.errors import InputError, RunError
from alderspool.lab.load.plan import Plan
from alderspool.lab.load.results import EncodedResult, Result
from alderspool.lab.load.sender import Sender

START_DELAY_S = 0.1  # from the readiness of the last worker to the start of the run
STOP_CHECK_INTERVAL_S = 0.2
EXIT_TIMEOUT_S = 5.0
DEFAULT_HTTP_PORT = 80


@dataclass(frozen=True)
class WorkerReady:
    """A worker waits for its start."""


@dataclass(frozen=True)
class StartAt:
    """The run starts at this moment of time.monotonic."""

    moment_s: float


@dataclass(frozen=True)
class SentSoFar:
    """A worker's number of requests sent so far."""

    count: int


@dataclass(frozen=True)
class HostPort:
    """Where the requests go."""

    host: str
    port: int


@dataclass(frozen=True)
class _Worker:
    """A worker's process, and the parent's end of the pipe to it."""

    process: SpawnProcess
    pipe: Connection[StartAt, WorkerReady | SentSoFar | EncodedResult]

    def receive(self) -> WorkerReady | SentSoFar | EncodedResult:
        """Return the worker's next message. Raises RunError if it has died."""
        try:
            return self.pipe.recv()
        except EOFError as error:
            self.process.join(EXIT_TIMEOUT_S)
            exit_status = self.process.exitcode
            raise RunError(
                f"a worker died with status {exit_status}; its part of the plan is missing"
            ) from error


def parse_url(url: str) -> HostPort:
    """Read host and port of an http URL. Raises InputError if it is none."""
    try:
        parts = urlsplit(url)
        host = parts.hostname
        port = parts.port
    except ValueError as error:
        raise InputError(f"{url}: {error}") from error
    if parts.scheme != "http" or not host or parts.path not in ("", "/") or parts.query:
        raise InputError(f"{url}: not of the form http://HOST:PORT")
    return HostPort(host, port or DEFAULT_HTTP_PORT)


def _ignore_progress(sent: int) -> None:
    pass


def run(
    url: str,
    plan: Plan,
    worker_count: int,
    advance: Callable[[int], None] = _ignore_progress,
    stop: threading.Event | None = None,
) -> Result:
    """Play the plan against the URL and return the result of all workers. No process outlives the call.

    `advance` is called with the number of requests sent so far. `stop` ends the run from another thread,
    which Ctrl-C does not reach.

    Raises InputError for an unusable URL or plan, and RunError if the run is stopped or a worker dies:
    percentiles without its part of the plan would be wrong.
    """
    server = parse_url(url)
    if not len(plan):
        raise InputError("the plan is empty: rate and length give no request")
    result = Result(len(plan))
    workers: list[_Worker] = []
    try:
        for number in range(worker_count):
            workers.append(_start_worker(server, plan.part(number, worker_count)))
        for worker in workers:
            worker.receive()  # WorkerReady
        start_at = StartAt(time.monotonic() + START_DELAY_S)
        started_at_s = time.time() + START_DELAY_S
        for worker in workers:
            worker.pipe.send(start_at)
        _collect(workers, result, advance, stop or threading.Event())
        result.started_at_s = started_at_s
        return result
    finally:
        for worker in workers:
            worker.process.terminate()
        for worker in workers:
            worker.process.join()


def _start_worker(server: HostPort, plan: Plan) -> _Worker:
    context = multiprocessing.get_context("spawn")  # a fork would copy the caller's event loop and threads
    parent_pipe, worker_pipe = context.Pipe()
    process = context.Process(target=_work, args=(worker_pipe, server, plan), daemon=True)
    process.start()
    worker_pipe.close()
    return _Worker(process, parent_pipe)


def _collect(
    workers: list[_Worker], result: Result, advance: Callable[[int], None], stop: threading.Event
) -> None:
    """Add the results of all workers, and pass their progress on."""
    unfinished = {worker.pipe: worker for worker in workers}
    sent_by_pipe = dict.fromkeys(unfinished, 0)
    while unfinished:
        if stop.is_set():
            raise RunError("stopped before its end")
        readable = wait(list(unfinished), timeout=STOP_CHECK_INTERVAL_S)
        for pipe in [pipe for pipe in unfinished if pipe in readable]:
            message = unfinished[pipe].receive()
            match message:
                case SentSoFar(count):
                    sent_by_pipe[pipe] = count
                    advance(sum(sent_by_pipe.values()))
                case EncodedResult():
                    result.add(message)
                    del unfinished[pipe]
    advance(len(result.records))


def _work(
    pipe: Connection[WorkerReady | SentSoFar | EncodedResult, StartAt], server: HostPort, plan: Plan
) -> None:
    """Play a part of the plan: the main function of a worker's process."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C is for the parent to handle; it ends its workers
    result = Result(len(plan))
    gc.freeze()
    gc.disable()  # a pause of the collector would show as lateness; a run is short

    def report_sent(count: int) -> None:
        pipe.send(SentSoFar(count))

    pipe.send(WorkerReady())
    try:
        start_at = pipe.recv()
        sender = Sender(server.host, server.port, plan, result)
        asyncio.run(sender.run(start_at.moment_s, report_sent))
        pipe.send(result.encode())
    except (EOFError, BrokenPipeError):
        pass  # the parent has ended

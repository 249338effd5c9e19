"""Runs a plan in several worker processes that start at the same time, and merges their results."""

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

START_DELAY_S = 0.1  # between the last worker reporting ready and the start of the run
STOP_CHECK_INTERVAL_S = 0.2
EXIT_TIMEOUT_S = 5.0
DEFAULT_HTTP_PORT = 80


@dataclass(frozen=True)
class WorkerReady:
    """Message of a worker that is ready and waits for StartAt."""


@dataclass(frozen=True)
class StartAt:
    """Message to a worker: when to start the run, on the clock of time.monotonic."""

    monotonic_s: float


@dataclass(frozen=True)
class SentSoFar:
    """Message of a worker: the number of requests it has sent so far."""

    count: int


@dataclass(frozen=True)
class HostPort:
    """Host and port of the server under test."""

    host: str
    port: int


@dataclass(frozen=True)
class _Worker:
    """A worker process and the parent's end of the pipe to it."""

    process: SpawnProcess
    pipe: Connection[StartAt, WorkerReady | SentSoFar | EncodedResult]

    def receive(self) -> WorkerReady | SentSoFar | EncodedResult:
        """Return the worker's next message. Raises RunError if the worker has died."""
        try:
            return self.pipe.recv()
        except EOFError as error:
            self.process.join(EXIT_TIMEOUT_S)
            exit_status = self.process.exitcode
            raise RunError(
                f"a worker died with status {exit_status}; the results of its requests are missing"
            ) from error


def parse_url(url: str) -> HostPort:
    """Return the host and port of an http URL. Raises InputError if the URL is invalid."""
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
    on_progress: Callable[[int], None] = _ignore_progress,
    stop: threading.Event | None = None,
) -> Result:
    """Send the requests of the plan to the URL and return the merged result of all workers.

    `on_progress` is called with the number of requests sent so far. Setting `stop` ends the run. It is for
    callers that run this function in a thread other than the main one, where Ctrl-C does not interrupt it.
    All worker processes have ended when the function returns or raises.

    Raises InputError for an invalid URL or an empty plan, and RunError if the run is stopped or a worker
    dies: percentiles without the requests of that worker would be wrong.
    """
    server = parse_url(url)
    if not len(plan):
        raise InputError("the plan is empty: rate and duration result in no requests")
    result = Result(len(plan))
    workers: list[_Worker] = []
    try:
        for worker_index in range(worker_count):
            workers.append(_start_worker(server, plan.slice_for_worker(worker_index, worker_count)))
        for worker in workers:
            worker.receive()  # WorkerReady
        start_at = StartAt(time.monotonic() + START_DELAY_S)
        started_at_s = time.time() + START_DELAY_S
        for worker in workers:
            worker.pipe.send(start_at)
        _collect_results(workers, result, on_progress, stop or threading.Event())
        result.started_at_s = started_at_s
        return result
    finally:
        for worker in workers:
            worker.process.terminate()
        for worker in workers:
            worker.process.join()


def _start_worker(server: HostPort, plan: Plan) -> _Worker:
    context = multiprocessing.get_context("spawn")  # fork would copy the caller's event loop and threads
    parent_pipe, worker_pipe = context.Pipe()
    process = context.Process(target=_worker_main, args=(worker_pipe, server, plan), daemon=True)
    process.start()
    worker_pipe.close()
    return _Worker(process, parent_pipe)


def _collect_results(
    workers: list[_Worker], result: Result, on_progress: Callable[[int], None], stop: threading.Event
) -> None:
    """Wait for the workers, report their progress and merge their results into `result`."""
    unfinished = {worker.pipe: worker for worker in workers}
    sent_by_pipe = dict.fromkeys(unfinished, 0)
    while unfinished:
        if stop.is_set():
            raise RunError("the run was stopped before it was complete")
        readable = wait(list(unfinished), timeout=STOP_CHECK_INTERVAL_S)
        for pipe in [pipe for pipe in unfinished if pipe in readable]:
            message = unfinished[pipe].receive()
            match message:
                case SentSoFar(count):
                    sent_by_pipe[pipe] = count
                    on_progress(sum(sent_by_pipe.values()))
                case EncodedResult():
                    result.merge(message)
                    del unfinished[pipe]
    on_progress(len(result.records))


def _worker_main(
    pipe: Connection[WorkerReady | SentSoFar | EncodedResult, StartAt], server: HostPort, plan: Plan
) -> None:
    """Send one worker's part of the plan. This is the main function of a worker process."""
    # The parent handles Ctrl-C and terminates its workers.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    result = Result(len(plan))
    gc.freeze()
    gc.disable()  # a collection would delay requests; a run is short enough to do without

    def report_sent(count: int) -> None:
        pipe.send(SentSoFar(count))

    pipe.send(WorkerReady())
    try:
        start_at = pipe.recv()
        sender = Sender(server.host, server.port, plan, result)
        asyncio.run(sender.run(start_at.monotonic_s, report_sent))
        pipe.send(result.encode())
    except (EOFError, BrokenPipeError):
        pass  # the parent process has ended

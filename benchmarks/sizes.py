"""Measures how CPU time and memory of one proxy grow with the fleet, with as many proxies as endpoints.

    .venv/bin/python -m benchmarks.sizes [--repeat 5] [--size 24 --size 200 ...]

For each size, it measures reading the configuration, handling a complete endpoint list, handling an update of
one endpoint, and handling a request. Each size runs in a separate process. The ratios printed beside the
times and the list length are relative to the first size: they show whether a time grows faster than the list.
"""

from __future__ import annotations

import json
import multiprocessing
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from multiprocessing.connection import Connection
from pathlib import Path
from typing import Any

import click

from alderspool.balancer import Balancer
from alderspool.balancer.actions import Send
from alderspool.balancer.events import AttemptStatus, EndpointListUpdate, Outcome, Request, UpdateMode
from alderspool.program.config import Config, EnvironmentVariable, load

SIZES = (24, 200, 600, 1024)
REQUEST_COUNT = 2000
REQUEST_INTERVAL_MS = 40.0
RESPONSE_TIME_MS = 20.0
TIME_LEFT_MS = 1000.0
START_MS = 1e6
MICROSECONDS_PER_S = 1e6
EXIT_TIMEOUT_S = 5.0
PROCESS_STATUS = Path("/proc/self/status")
PEAK_RESIDENT_SET = "VmHWM"

MAX_SIZE = 65_536  # the addresses differ only in their last two bytes
NAME_MULTIPLIER = 2654435761  # spreads the numbers over 32 bits, so that names are not in numeric order
NAME_MODULUS = 2**32
ENDPOINTS_PER_GROUP = 5

# In the format of the platform's settings document.
SETTINGS: dict[str, Any] = {
    "bounds": {"cancel": True, "may_duplicate": True, "max_attempts": 5, "conn_idle_ms": 10000.0},
    "classes": [{"name": "look", "slo_ms": 400.0, "deadline_ms": 1000.0, "effect": "free"}],
    "discovery": "on_request",
    "rules": {"drain_grace_ms": 250.0, "cold_from": 0.3, "cold_ms": 8900.0, "overload_factor": 4.0},
    "zones": ["a", "b"],
}


@dataclass(frozen=True)
class Measurements:
    """Measurements at one size."""

    load_us: float
    complete_list_us: float
    single_update_us: float
    request_us: float
    memory_kb: int  # growth of the peak resident set since before the configuration was read

    def times_us(self) -> list[float]:
        """Return the times in the order of the printed columns."""
        return [self.load_us, self.complete_list_us, self.single_update_us, self.request_us]


def configuration(size: int) -> dict[str, Any]:
    """Return the configuration document of a proxy in a fleet of `size` endpoints and `size` proxies."""
    return {
        "listen": "127.0.0.1:3000",
        "discovery": "127.0.0.1:8500",
        "seed": "1",
        "known": {"index": 1, "snapshot": True, "endpoints": [_endpoint(number) for number in range(size)]},
        "settings": SETTINGS | {"siblings": size, "my_number": size // 3},
    }


def _endpoint(number: int) -> dict[str, Any]:
    return {
        "name": f"s-{number * NAME_MULTIPLIER % NAME_MODULUS:08x}",
        "address": f"10.1.{number >> 8}.{number & 255}:3000",
        "zone": "ab"[number % 2],
        "type": "m2",
        "group": number // ENDPOINTS_PER_GROUP,
        "status": "ready",
        "weight": 1.0,
        "since_ms": 0,
    }


def shortest_time_us(operation: Callable[[], object], repeat: int) -> float:
    """Return the shortest time of `repeat` calls in us; other load on the host can only lengthen a call."""
    times_s = []
    for _ in range(repeat):
        started_at_s = time.perf_counter()
        operation()
        times_s.append(time.perf_counter() - started_at_s)
    return MICROSECONDS_PER_S * min(times_s)


class BalancerRun:
    """A balancer on a virtual clock that `send_requests` advances."""

    def __init__(self, config: Config) -> None:
        self._entries = [endpoint.entry for endpoint in config.known.endpoints]
        self._balancer = Balancer(config.settings, 1)
        self._now_ms = START_MS
        self._balancer.start(self._now_ms)

    def replace_list(self) -> None:
        """Pass the complete endpoint list to the balancer."""
        update = EndpointListUpdate(UpdateMode.FULL, self._entries, 1)
        self._balancer.handle(self._now_ms, update)

    def update_one_endpoint(self) -> None:
        """Pass an update of one endpoint to the balancer."""
        update = EndpointListUpdate(UpdateMode.DELTA, self._entries[:1], 2)
        self._balancer.handle(self._now_ms, update)

    def send_requests(self) -> None:
        """Pass REQUEST_COUNT requests to the balancer; the first attempt of each succeeds."""
        for number in range(REQUEST_COUNT):
            self._now_ms += REQUEST_INTERVAL_MS
            for action in self._balancer.handle(self._now_ms, Request(number + 1, TIME_LEFT_MS)):
                if isinstance(action, Send):
                    outcome = Outcome(
                        action.id, 0, action.endpoint, AttemptStatus.OK, RESPONSE_TIME_MS, finished=True
                    )
                    self._balancer.handle(self._now_ms + RESPONSE_TIME_MS, outcome)


def measure(size: int, repeat: int) -> Measurements:
    """Measure one size. Must run in a new process, because memory is measured for the whole process."""
    memory_before_kb = _peak_resident_set_kb()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(size)))
        environ = {EnvironmentVariable.CONFIG.value: str(path)}
        config = load(environ)
        load_us = shortest_time_us(lambda: load(environ), repeat)
    run = BalancerRun(config)
    return Measurements(
        load_us=load_us,
        complete_list_us=shortest_time_us(run.replace_list, repeat),
        single_update_us=shortest_time_us(run.update_one_endpoint, repeat),
        request_us=shortest_time_us(run.send_requests, repeat) / REQUEST_COUNT,
        memory_kb=_peak_resident_set_kb() - memory_before_kb,
    )


def _peak_resident_set_kb() -> int:
    """Return the peak resident set since this program was loaded.

    `ru_maxrss` would include the peak of the parent process.
    """
    for line in PROCESS_STATUS.read_text().splitlines():
        name, _, value = line.partition(":")
        if name == PEAK_RESIDENT_SET:
            return int(value.removesuffix("kB"))
    raise click.ClickException(f"{PROCESS_STATUS}: no {PEAK_RESIDENT_SET}")


def _measure_and_send(size: int, repeat: int, writer: Connection[Measurements, Any]) -> None:
    """Measure one size and send the result to the parent. This is the main function of the child process."""
    writer.send(measure(size, repeat))


def measure_in_child(size: int, repeat: int) -> Measurements:
    """Measure one size in a separate process. Raises ClickException if the process dies."""
    context = multiprocessing.get_context("spawn")
    reader, writer = context.Pipe(duplex=False)
    process = context.Process(target=_measure_and_send, args=(size, repeat, writer))
    process.start()
    # With the parent's copy of this end open, `recv` would not raise EOFError if the child died.
    writer.close()
    try:
        measurements: Measurements = reader.recv()
    except EOFError as error:
        process.join(EXIT_TIMEOUT_S)
        message = f"size {size}: the process ended with status {process.exitcode} without a result"
        raise click.ClickException(message) from error
    process.join()
    return measurements


@click.command()
@click.option("--repeat", type=click.IntRange(min=1), default=5, show_default=True)
@click.option(
    "--size", "sizes", type=click.IntRange(1, MAX_SIZE), multiple=True, default=SIZES, show_default=True
)
def main(repeat: int, sizes: tuple[int, ...]) -> None:
    """Print a row for each size, with ratios relative to the first size."""
    baseline: Measurements | None = None
    click.echo(
        "endpoints  list    load us          complete list us one update us    request us           KB"
    )
    for size in sizes:
        measurements = measure_in_child(size, repeat)
        if baseline is None:
            baseline = measurements
        pairs = zip(measurements.times_us(), baseline.times_us(), strict=True)
        columns = [f"{time_us:9.0f} x{time_us / baseline_us:5.1f}  " for time_us, baseline_us in pairs]
        click.echo(f"{size:9} x{size / sizes[0]:5.1f} {' '.join(columns)}{measurements.memory_kb:8}")


if __name__ == "__main__":
    main()

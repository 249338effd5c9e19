"""What grows with the fleet: loading, a whole list, a change and a request, with as many proxies as nodes.

    .venv/bin/python -m benchmarks.sizes [--repeat 5]

Each size is measured in a process of its own, all in one run; the figures to look at are the ratios to the
smallest size beside the ratio of the lists' lengths.
"""

from __future__ import annotations

import json
import multiprocessing as mp
import resource
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import click

from alderspool.balancer.actions import Send
from alderspool.balancer.events import AttemptStatus, EndpointListUpdate, Outcome, Request, UpdateMode

SIZES = (24, 200, 600, 1024)
REQUESTS = 2000
SETTINGS = {
    "bounds": {"cancel": True, "may_duplicate": True, "max_attempts": 5, "conn_idle_ms": 10000.0},
    "classes": [{"name": "look", "slo_ms": 400.0, "deadline_ms": 1000.0, "effect": "free"}],
    "discovery": "on_request",
    "rules": {"drain_grace_ms": 250.0, "cold_from": 0.3, "cold_ms": 8900.0, "overload_factor": 4.0},
    "zones": ["a", "b"],
}


def configuration(size: int) -> dict:
    endpoints = [
        {"name": f"s-{n * 2654435761 % 2**32:08x}", "address": f"10.1.{n >> 8}.{n & 255}:3000"}
        | {
            "zone": "ab"[n % 2],
            "type": "m2",
            "group": n // 5,
            "status": "ready",
            "weight": 1.0,
            "since_ms": 0,
        }
        for n in range(size)
    ]
    return {
        "listen": "127.0.0.1:3000",
        "discovery": "127.0.0.1:8500",
        "seed": "1",
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        "settings": SETTINGS | {"siblings": size, "my_number": size // 3},
    }


def best(act: Callable[[], object], repeat: int) -> float:
    """The shortest time that it took, in us: what the machine does beside it only adds."""
    times = []
    for _ in range(repeat):
        started = time.perf_counter()
        act()
        times.append(time.perf_counter() - started)
    return 1e6 * min(times)


def measure(size: int, repeat: int, pipe) -> None:
    from alderspool.balancer import Balancer
    from alderspool.program.config import load

    before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_text(json.dumps(configuration(size)))
        environ = {"BALANCER_CONFIG": str(file)}
        config = load(environ)
        loading = best(lambda: load(environ), repeat)
    entries, now = [m.entry for m in config.known.machines], 1e6
    balancer = Balancer(config.settings, 1)
    balancer.start(now)
    whole = best(lambda: balancer.handle(now, EndpointListUpdate(UpdateMode.FULL, entries, 1)), repeat)
    change = best(lambda: balancer.handle(now, EndpointListUpdate(UpdateMode.DELTA, entries[:1], 2)), repeat)

    def requests() -> None:
        nonlocal now
        for number in range(REQUESTS):
            now += 40.0  # 25 a second
            for action in balancer.handle(now, Request(number + 1, 1000.0)):
                if isinstance(action, Send):
                    outcome = Outcome(action.id, 0, action.endpoint, AttemptStatus.OK, 20.0, True)
                    balancer.handle(now + 20.0, outcome)

    request = best(requests, repeat) / REQUESTS
    memory = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
    pipe.send((loading, whole, change, request, memory))


@click.command()
@click.option("--repeat", default=5, show_default=True)
def main(repeat: int) -> None:
    first: tuple[float, ...] = ()
    click.echo("nodes   list      loading us        whole list us     one change us     a request us      KB")
    for size in SIZES:
        ours, theirs = mp.get_context("spawn").Pipe()
        process = mp.get_context("spawn").Process(target=measure, args=(size, repeat, theirs))
        process.start()
        figures = ours.recv()
        process.join()
        first = first or figures
        times = [f"{f:9.0f} x{f / b:5.1f}  " for f, b in zip(figures[:4], first[:4], strict=True)]
        click.echo(f"{size:5} x{size / SIZES[0]:5.1f} {' '.join(times)}{figures[4]:8}")


if __name__ == "__main__":
    main()

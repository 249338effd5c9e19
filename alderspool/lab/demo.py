"""The demo: a small fleet with one proxy under load, while two faults are injected."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable

from alderspool.lab.emulator.faults import Fault, FaultKind
from alderspool.lab.emulator.fleet import Fleet, FleetPlan
from alderspool.lab.load import workers
from alderspool.lab.load.plan import generate_plan
from alderspool.lab.load.results import Result
from alderspool.lab.load.traffic import Traffic

REQUESTS_PER_S = 200.0


async def demo(seconds: float, on_progress: Callable[[int], None], log: Callable[[str], None]) -> Result:
    """Run the demo and return the result of its load.

    One endpoint is silent for a fifth of the time, another is down for a tenth of it. `on_progress` is called
    with the number of requests sent so far, `log` with a description of each event.
    """
    faults = (
        Fault(0.3 * seconds, FaultKind.SILENCE, 1, 0.2 * seconds),
        Fault(0.6 * seconds, FaultKind.CRASH, 2, 0.1 * seconds),
    )
    async with Fleet(FleetPlan(faults=faults)) as fleet:
        url = fleet.proxies[0].url
        log(f"{len(fleet.endpoints)} endpoints, discovery {fleet.discovery.address}, proxy {url}")
        plan = generate_plan(Traffic(rate=REQUESTS_PER_S, seconds=seconds))
        stop = threading.Event()
        load = asyncio.create_task(asyncio.to_thread(workers.run, url, plan, 1, on_progress, stop))
        try:
            await asyncio.gather(load, fleet.inject_faults(log))
        finally:
            stop.set()  # Ctrl-C cancels this task but not the thread of the load
        return load.result()


def planned_requests(seconds: float) -> int:
    """Return how many requests the demo will send."""
    return len(generate_plan(Traffic(rate=REQUESTS_PER_S, seconds=seconds)))

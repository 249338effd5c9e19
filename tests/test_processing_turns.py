"""Fair turns of client connections: their order, and that no client keeps others from their responses."""

from __future__ import annotations

import asyncio
import time

import pytest
from flood import REQUESTS_BY_KIND, start_flood
from rig import Rig, ScriptedServer, async_test

from alderspool.transport.processing_turns import TIME_PER_ITERATION_S, ProcessingTurns, TurnTaker

LIMITS = {"memory_mb": 192, "sockets": 1024}
DEADLINE_MS = 750
LOST_AFTER_S = 0.5  # a response that arrives longer than this after the deadline does not count
REQUEST_INTERVAL_S = 0.02
FLOOD_DURATION_S = 1.0


class TurnsDriver:
    """Runs pieces of work that take a given time on a clock of its own, and records when each has run."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.iteration = 0
        self.finished: list[tuple[str, int]] = []  # name and iteration of the event loop
        self.turns = ProcessingTurns(asyncio.get_running_loop(), lambda: self.now_s)

    def start(self, name: str, taker: TurnTaker, duration_s: float) -> asyncio.Task[bool]:
        """Start a task that runs a piece of work when its turn comes."""

        def work() -> None:
            self.now_s += duration_s
            self.finished.append((name, self.iteration))

        return asyncio.create_task(self.turns.run(taker, work))

    async def iterate(self, count: int) -> None:
        """Let the event loop run this many iterations."""
        for _ in range(count):
            self.iteration += 1
            await asyncio.sleep(0)


@async_test
async def test_work_beyond_the_time_of_one_iteration_waits_for_the_next() -> None:
    """Guards against an event loop that is blocked by the input of many clients at once."""
    driver = TurnsDriver()
    tasks = [driver.start(str(index), TurnTaker(), TIME_PER_ITERATION_S / 2) for index in range(6)]
    await driver.iterate(5)
    assert [iteration for _, iteration in driver.finished] == [1, 1, 2, 2, 3, 3]
    assert [await task for task in tasks] == [False, False, True, True, True, True]


@async_test
async def test_connection_that_has_used_little_time_goes_ahead_of_those_that_have_used_much() -> None:
    """Guards against a small request that waits behind all the input of clients that send much."""
    driver = TurnsDriver()
    heavy = [TurnTaker() for _ in range(5)]
    for taker in heavy:
        await driver.start("heavy", taker, TIME_PER_ITERATION_S)
    further_work = [driver.start("heavy", taker, TIME_PER_ITERATION_S) for taker in heavy]
    await driver.iterate(2)
    finished_before = len(driver.finished)
    assert await driver.start("newcomer", TurnTaker(), TIME_PER_ITERATION_S)
    names = [name for name, _ in driver.finished[finished_before:]]
    assert names.index("newcomer") <= 1
    await asyncio.gather(*further_work)


@async_test
async def test_error_in_work_that_waited_is_raised_to_its_task_and_does_not_stop_the_others() -> None:
    driver = TurnsDriver()
    first = driver.start("first", TurnTaker(), TIME_PER_ITERATION_S)
    failing = asyncio.create_task(driver.turns.run(TurnTaker(), lambda: 1 // 0))
    cancelled = driver.start("cancelled", TurnTaker(), TIME_PER_ITERATION_S)
    last = driver.start("last", TurnTaker(), TIME_PER_ITERATION_S)
    await asyncio.sleep(0)
    cancelled.cancel()
    results = await asyncio.gather(first, failing, cancelled, last, return_exceptions=True)
    assert [type(result) for result in results] == [bool, ZeroDivisionError, asyncio.CancelledError, bool]
    assert [name for name, _ in driver.finished] == ["first", "last"]


async def time_of_response(rig: Rig) -> float:
    """Return how long a request takes, in seconds; raises OSError or IncompleteReadError if it gets none."""
    started_at = time.monotonic()
    status, _, _ = await rig.get_response("look", DEADLINE_MS)
    assert status in (200, 503, 504)
    return time.monotonic() - started_at


@pytest.mark.parametrize("kind", ["chunks", *REQUESTS_BY_KIND])
@async_test
async def test_clients_at_full_speed_do_not_keep_others_from_their_responses(kind: str) -> None:
    """Guards against responses that are late or missing while others send costly or invalid input."""
    endpoints = [ScriptedServer(f"s{index}") for index in range(3)]
    async with Rig(*endpoints, limits=LIMITS) as rig:
        flood = await start_flood(kind, rig.port, FLOOD_DURATION_S)
        requests = []
        while flood.returncode is None:
            requests.append(asyncio.create_task(time_of_response(rig)))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        times_s = await asyncio.gather(*requests)
        assert max(times_s) < DEADLINE_MS / 1000.0 + LOST_AFTER_S
        assert rig.peak_memory_bytes < LIMITS["memory_mb"] * 1_000_000

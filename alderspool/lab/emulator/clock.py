"""The clock of the models when they run in real time behind sockets."""

from __future__ import annotations

import asyncio
import time


def now_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0


async def sleep_until(until_ms: float) -> None:
    """Sleep until `now_ms()` reaches `until_ms`; return immediately if it already has."""
    await asyncio.sleep(max(until_ms - now_ms(), 0.0) / 1000.0)

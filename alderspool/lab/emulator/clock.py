"""The time of the models while they run behind sockets."""

from __future__ import annotations

import asyncio
import time


def now_ms() -> float:
    """Return the monotonic time in ms."""
    return time.monotonic() * 1000.0


async def sleep_until(moment_ms: float) -> None:
    """Sleep until this moment of `now_ms`; not at all if it has passed."""
    await asyncio.sleep(max(moment_ms - now_ms(), 0.0) / 1000.0)

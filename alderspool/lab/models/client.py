"""A client's habits: how long it waits, whether and when it asks again."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np


@dataclass(frozen=True)
class Habits:
    """`try_share`: part of the class's deadline that one try is given. `impatient`: part of the requests that
    are given up after a tenth of it. `backoff_ms`: before the first further try; `doubling`: twice as long
    before each next one."""

    retries: int = 1
    try_share: float = 1.0
    impatient: float = 0.0
    backoff_ms: float = 50.0
    doubling: bool = False
    honours_retry_after: float = 0.0  # part of the clients


class ClientModel:
    """One request of a client over all its tries. Times in ms."""

    def __init__(self, habits: Habits, deadline_ms: float, now: float, stream: np.random.Generator) -> None:
        self._habits, self._until, self._tries = habits, now + deadline_ms, 0
        patience = habits.try_share * deadline_ms
        self._patience = 0.1 * patience if stream.random() < habits.impatient else patience
        self._honours = stream.random() < habits.honours_retry_after

    def try_once(self, now: float) -> float:
        """How long this try waits: what it states as its deadline."""
        self._tries += 1
        return min(self._patience, self._until - now)

    def refused(self, now: float, retry_after_ms: float = 0.0) -> float | None:
        """When it asks again after a refusal, a failure or a broken connection; None: it gives up."""
        if self._tries > self._habits.retries:
            return None
        wait = self._habits.backoff_ms * (2.0 ** (self._tries - 1) if self._habits.doubling else 1.0)
        if self._honours:
            wait = max(wait, retry_after_ms)
        return now + wait if now + wait < self._until else None

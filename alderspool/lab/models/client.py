"""Model of a client: how long it waits for a response, and whether and when it retries."""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

# A client that aborts early gives up after this share of the attempt timeout.
EARLY_ABORT_SHARE = 0.1


@dataclass(frozen=True)
class ClientBehaviour:
    """Timeouts and retries of the clients of one request class. Shares and probabilities are from 0 to 1."""

    retries: int = 1
    attempt_timeout_share: float = 1.0  # timeout of one attempt, as a share of the deadline
    early_abort_probability: float = 0.0
    backoff_ms: float = 50.0  # delay before the first retry
    is_backoff_exponential: bool = False  # whether the delay doubles with each further retry
    honours_retry_after_probability: float = 0.0


class ClientModel:
    """A client that sends one request, in one or several attempts. Times in ms."""

    def __init__(
        self, behaviour: ClientBehaviour, deadline_ms: float, now_ms: float, random: np.random.Generator
    ) -> None:
        self._behaviour = behaviour
        self._deadline_at_ms = now_ms + deadline_ms
        self._attempts = 0
        self._attempt_timeout_ms = behaviour.attempt_timeout_share * deadline_ms
        if random.random() < behaviour.early_abort_probability:
            self._attempt_timeout_ms *= EARLY_ABORT_SHARE
        self._honours_retry_after = random.random() < behaviour.honours_retry_after_probability

    def start_attempt(self, now_ms: float) -> float:
        """Count an attempt and return its timeout: how long the client waits for a response from now."""
        self._attempts += 1
        return min(self._attempt_timeout_ms, self._deadline_at_ms - now_ms)

    def retry_at(self, now_ms: float, retry_after_ms: float = 0.0) -> float | None:
        """Return when the client retries after an attempt failed or was rejected; None if it gives up."""
        if self._attempts > self._behaviour.retries:
            return None
        backoff_ms = self._behaviour.backoff_ms
        if self._behaviour.is_backoff_exponential:
            backoff_ms *= 2.0 ** (self._attempts - 1)
        if self._honours_retry_after:
            backoff_ms = max(backoff_ms, retry_after_ms)
        retry_at_ms = now_ms + backoff_ms
        return retry_at_ms if retry_at_ms < self._deadline_at_ms else None

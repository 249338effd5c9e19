"""Request counters, which the program logs when it exits."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RequestCounts:
    """Counters since the program started.

    When no request is pending, `accepted` is the sum of `served`, `rejected`, `failed` and `disconnected`.
    """

    accepted: int = 0  # submitted by the client side
    served: int = 0
    rejected: int = 0
    failed: int = 0
    disconnected: int = 0  # the client disconnected before the final response
    attempts: int = 0  # dispatched to the endpoint side

    @property
    def concluded(self) -> int:
        """The number of requests that need no further response."""
        return self.served + self.rejected + self.failed + self.disconnected

    def __str__(self) -> str:
        return (
            f"requests: {self.accepted} accepted, {self.served} served, {self.rejected} rejected, "
            f"{self.failed} failed, {self.disconnected} disconnected; attempts: {self.attempts}"
        )

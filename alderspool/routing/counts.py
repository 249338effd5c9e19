"""What became of the requests: the counts that the program logs as it ends."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RequestCounts:
    """Counts since the start. Once nothing is pending, `accepted` is the sum of the four conclusions."""

    accepted: int = 0  # submitted by the client side
    served: int = 0
    rejected: int = 0
    failed: int = 0
    disconnected: int = 0  # their client disconnected before the final response
    attempts: int = 0  # handed to the endpoint side

    @property
    def concluded(self) -> int:
        """Requests that need no further response."""
        return self.served + self.rejected + self.failed + self.disconnected

    def __str__(self) -> str:
        return (
            f"requests: {self.accepted} accepted, {self.served} served, {self.rejected} rejected, "
            f"{self.failed} failed, {self.disconnected} disconnected; attempts: {self.attempts}"
        )

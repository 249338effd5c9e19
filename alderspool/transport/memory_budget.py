"""The memory budget: bounds what all client connections hold together.

Counts unread input, requests being received, complete and pending requests, and unsent responses. Limits on
a single message are not enough, since every client can use them up at the same moment. Which connection has
to give up memory is decided by `connection_table`.
"""

from __future__ import annotations

BYTES_PER_MB = 1_000_000
# Share of the process's memory limit. The rest is for the program, the endpoint side and the sockets.
CLIENT_INPUT_SHARE = 0.25
# All connections together are guaranteed this share of the budget, each an equal part of it.
GUARANTEED_SHARE = 0.5


class MemoryBudget:
    """Counts the bytes that connections hold.

    A connection that holds at most `guaranteed_bytes` is never made to give up anything: it always has room
    for an ordinary request, whatever the others hold. So the total may exceed the limit by GUARANTEED_SHARE.
    """

    def __init__(self, limit_bytes: int, max_connections: int) -> None:
        self._limit_bytes = limit_bytes
        self.guaranteed_bytes = int(limit_bytes * GUARANTEED_SHARE) // max(max_connections, 1)
        self.used_bytes = 0

    @classmethod
    def of(cls, memory_mb: float, max_connections: int) -> MemoryBudget:
        """Return the budget of a process whose memory limit is `memory_mb`, in units of 1,000,000 bytes."""
        return cls(int(memory_mb * BYTES_PER_MB * CLIENT_INPUT_SHARE), max_connections)

    @property
    def is_exceeded(self) -> bool:
        """Whether connections that hold more than their guaranteed part have to give up memory."""
        return self.used_bytes > self._limit_bytes

    def change(self, difference_bytes: int) -> None:
        """Count memory that has been taken, or released if the difference is negative."""
        self.used_bytes += difference_bytes

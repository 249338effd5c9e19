"""The descriptor budget: every socket that the program holds is counted against the limit."""

from __future__ import annotations

SPARE = 48  # listener, event loop, discovery, standard streams, and what is just being closed
HARD_SPARE = 16  # so few left: a connection more could make accepting fail


class DescriptorBudget:
    """Counts sockets. Near the limit the caller has to let go of an idle one first."""

    def __init__(self, limit: int) -> None:
        self._soft = max(limit - SPARE, 8)
        self._hard = max(limit - HARD_SPARE, 12)
        self.held = 0

    @property
    def tight(self) -> bool:
        return self.held >= self._soft

    @property
    def spent(self) -> bool:
        return self.held >= self._hard

    def take(self) -> None:
        self.held += 1

    def give_back(self) -> None:
        self.held -= 1

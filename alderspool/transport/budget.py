"""The descriptor budget: every socket that the program holds is counted against the limit."""

from __future__ import annotations

from collections.abc import Callable

SPARE = 48  # listener, event loop, discovery, standard streams, and what is just being closed
HARD_SPARE = 16  # so few left: a connection more could make accepting fail


class DescriptorBudget:
    """Counts sockets. Near the limit the caller has to let go of an idle one first."""

    def __init__(self, limit: int) -> None:
        self._soft = max(limit - SPARE, 8)
        self._hard = max(limit - HARD_SPARE, 12)
        self.held = 0
        self._spares: list[Callable[[], bool]] = []

    @property
    def tight(self) -> bool:
        return self.held >= self._soft

    @property
    def spent(self) -> bool:
        return self.held >= self._hard

    def on_tight(self, let_go: Callable[[], bool]) -> None:
        """`let_go` closes something idle and says whether there was any; the first told is asked first."""
        self._spares.append(let_go)

    def make_room(self) -> bool:
        """Whether one more socket may be held, after letting go of an idle one where that is needed."""
        return not self.tight or any(let_go() for let_go in self._spares) or not self.spent

    def take(self) -> None:
        self.held += 1

    def give_back(self) -> None:
        self.held -= 1

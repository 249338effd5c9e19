"""The descriptor budget: every socket that the program holds is counted against the limit."""

from __future__ import annotations

from collections.abc import Callable

SPARE = 48  # listener, event loop, discovery, standard streams, and what is just being closed
DOWNSTREAM_SHARE = 0.6  # of the rest; requests hold no more than a third of the limit
KEPT_SHARE = 0.33  # of the clients' part: with more that have asked, an answer ends its connection


class DescriptorBudget:
    """Counts one side's sockets. `part` keeps some for the others, so that a flood on one side leaves
    the other what it needs; at the limit something idle of the same side has to go first. Where not the
    side is at its limit but the whole, and nothing of it is idle, something idle of the other side goes:
    a connection kept to each of hundreds of nodes must not keep clients out."""

    def __init__(self, limit: int, whole: DescriptorBudget | None = None) -> None:
        self._limit, self._whole = max(limit, 8), whole
        self._evict: Callable[[], bool] = lambda: False
        self._parts: list[DescriptorBudget] = []
        self.held = 0

    @classmethod
    def of(cls, descriptors: int) -> DescriptorBudget:
        return cls(descriptors - SPARE)

    def allot(self, share: float, most: int | None = None) -> DescriptorBudget:
        limit = int(self._limit * share)
        self._parts.append(DescriptorBudget(limit if most is None else min(limit, most), self))
        return self._parts[-1]

    def set_evictor(self, evict: Callable[[], bool]) -> None:
        """`evict` closes something idle and says whether there was any."""
        self._evict = evict

    def portion(self, part: float) -> int:
        return int(self._limit * part)

    @property
    def is_exhausted(self) -> bool:
        return self.held >= self._limit or self._whole is not None and self._whole.is_exhausted

    def try_make_room(self) -> bool:
        """Whether one more socket may be held, after letting go of an idle one where that is needed."""
        if not self.is_exhausted or self._evict():
            return True
        if self.held >= self._limit or self._whole is None:
            return False
        return any(part._evict() for part in self._whole._parts if part is not self)

    def acquire(self) -> None:
        self.held += 1
        if self._whole is not None:
            self._whole.acquire()

    def release(self) -> None:
        self.held -= 1
        if self._whole is not None:
            self._whole.release()

"""The descriptor budget: every socket of the program is counted against the limit on descriptors.

Counting only. Which connection is closed to free a descriptor is decided by the evictors that each side
registers; see `eviction` for the client side.
"""

from __future__ import annotations

from collections.abc import Callable

# Not given out: for the listening socket, event loop, discovery, standard streams, and sockets that are
# just being closed.
RESERVED_DESCRIPTORS = 48
# The client side's share of the rest. Requests use at most a third of the limit.
DOWNSTREAM_SHARE = 0.6
MIN_LIMIT = 8


def _evict_nothing() -> bool:
    return False


class DescriptorBudget:
    """Counts the sockets of one side of the proxy, and those of all sides in the budget it is allotted from.

    The limits leave each side descriptors that a flood on the other side cannot use up. At its limit, a side
    first closes an idle connection of its own. Where the side is below its limit but the total is used up,
    and the side has nothing idle, an idle connection of another side is closed: one cached connection to
    each of hundreds of endpoints must not keep clients out.
    """

    def __init__(self, limit: int, total: DescriptorBudget | None = None) -> None:
        self._limit = max(limit, MIN_LIMIT)
        self._total = total
        self._evict: Callable[[], bool] = _evict_nothing
        self._allotted: list[DescriptorBudget] = []
        self._in_use = 0

    @classmethod
    def of(cls, descriptors: int) -> DescriptorBudget:
        """Return the budget of a program that may have so many descriptors open."""
        return cls(descriptors - RESERVED_DESCRIPTORS)

    def allot(self, share: float) -> DescriptorBudget:
        """Return a budget for one side, limited to this share; shares may add up to more than 1."""
        budget = DescriptorBudget(int(self._limit * share), self)
        self._allotted.append(budget)
        return budget

    def set_evictor(self, evict: Callable[[], bool]) -> None:
        """Register `evict`, which closes an idle connection of this side and returns whether it found one."""
        self._evict = evict

    def portion(self, share: float) -> int:
        """Return a share of the limit, in descriptors."""
        return int(self._limit * share)

    @property
    def is_exhausted(self) -> bool:
        """Whether a further socket needs an eviction first."""
        if self._in_use >= self._limit:
            return True
        return self._total is not None and self._total.is_exhausted

    def try_make_room(self) -> bool:
        """Return whether one more socket may be opened; evict an idle connection if that takes one."""
        if not self.is_exhausted or self._evict():
            return True
        if self._in_use >= self._limit or self._total is None:
            return False
        return any(budget._evict() for budget in self._total._allotted if budget is not self)

    def acquire(self) -> None:
        """Count a socket that is opened."""
        self._in_use += 1
        if self._total is not None:
            self._total.acquire()

    def release(self) -> None:
        """Count a socket that is closed."""
        self._in_use -= 1
        if self._total is not None:
            self._total.release()

"""The descriptor budget: counts every socket of the program against the limit on file descriptors.

Which connection is closed to free a descriptor is decided by the evictor that each side of the proxy
registers; see `eviction` for the client side.
"""

from __future__ import annotations

from collections.abc import Callable

# Not part of the budget: reserved for the listening socket, the event loop, discovery, the standard streams,
# and sockets that are being closed.
RESERVED_DESCRIPTORS = 48
# The client side's share of the remaining descriptors. Requests use at most a third of the limit.
DOWNSTREAM_SHARE = 0.6
MIN_LIMIT = 8


def _evict_nothing() -> bool:
    return False


class DescriptorBudget:
    """Counts the open sockets of one side of the proxy, and adds them to the total budget of all sides.

    `total`: the budget of all sides, from which this one was allotted; None for the total itself.

    The limits reserve descriptors for each side that a flood on the other side cannot use up. If a side is at
    its limit, or the total is used up, it first closes an idle connection of its own. If it has none and is
    below its own limit, an idle connection of another side is closed instead: otherwise one cached connection
    to each of hundreds of endpoints would keep new clients out.
    """

    def __init__(self, limit: int, total: DescriptorBudget | None = None) -> None:
        self._limit = max(limit, MIN_LIMIT)
        self._total = total
        self._evict: Callable[[], bool] = _evict_nothing
        self._allotted_budgets: list[DescriptorBudget] = []
        self._in_use = 0

    @classmethod
    def of(cls, descriptors: int) -> DescriptorBudget:
        """Return the total budget of a program that may open this many descriptors."""
        return cls(descriptors - RESERVED_DESCRIPTORS)

    def allot(self, share: float) -> DescriptorBudget:
        """Return a budget for one side, limited to this share of the total; shares may add up to over 1."""
        budget = DescriptorBudget(int(self._limit * share), self)
        self._allotted_budgets.append(budget)
        return budget

    def set_evictor(self, evict: Callable[[], bool]) -> None:
        """Register `evict`, which closes an idle connection of this side and returns whether it found one."""
        self._evict = evict

    def fraction_of_limit(self, share: float) -> int:
        """Return a share of this budget's limit as a number of descriptors."""
        return int(self._limit * share)

    @property
    def is_exhausted(self) -> bool:
        """Whether another socket can be opened only after an eviction."""
        if self._in_use >= self._limit:
            return True
        return self._total is not None and self._total.is_exhausted

    def try_make_room(self) -> bool:
        """Return whether one more socket may be opened, after evicting an idle connection if necessary."""
        if not self.is_exhausted or self._evict():
            return True
        if self._in_use >= self._limit or self._total is None:
            return False
        return any(budget._evict() for budget in self._total._allotted_budgets if budget is not self)

    def acquire(self) -> None:
        """Count a socket that is being opened."""
        self._in_use += 1
        if self._total is not None:
            self._total.acquire()

    def release(self) -> None:
        """Stop counting a socket that has been closed."""
        self._in_use -= 1
        if self._total is not None:
            self._total.release()

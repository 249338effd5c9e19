"""Which client connection gives its descriptor back first. What a connection is doing is told here by the
listener; closing it is the listener's part."""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import Generic, TypeVar

Connection = TypeVar("Connection")


class EvictionClass(IntEnum):
    """What a connection loses with its descriptor, the least first: the order of eviction."""

    LEAVING = 0  # our sending has ended
    UNSERVED_PARTIAL = 1  # no response yet, part of a request received
    UNSERVED_IDLE = 2  # no response yet, nothing received
    SERVED_PARTIAL = 3  # part of a further request received
    SERVED_IDLE = 4  # idle after a response


class EvictionOrder(Generic[Connection]):
    """The connections that may be evicted, by class, and within a class in the order in which they entered
    it. Each change and the look at the first one cost the same however many connections there are.
    Whoever is in none of the classes (a request is out, or it is closed) is removed."""

    def __init__(self) -> None:
        self._buckets: tuple[dict[Connection, None], ...] = tuple({} for _ in EvictionClass)
        self._class_of: dict[Connection, EvictionClass] = {}

    def __len__(self) -> int:
        return len(self._class_of)

    def place(self, connection: Connection, eviction_class: EvictionClass) -> None:
        """Puts it last in its class. It keeps its place where it is in that class already."""
        if self._class_of.get(connection) is eviction_class:
            return
        self.remove(connection)
        self._class_of[connection] = eviction_class
        self._buckets[eviction_class][connection] = None

    def remove(self, connection: Connection) -> None:
        eviction_class = self._class_of.pop(connection, None)
        if eviction_class is not None:
            del self._buckets[eviction_class][connection]

    def candidates(self) -> Iterator[Connection]:
        """The first to evict first. The iteration has to end with the first change."""
        for bucket in self._buckets:
            yield from bucket

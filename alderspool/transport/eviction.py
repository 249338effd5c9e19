"""The order in which client connections are evicted to free descriptors.

The listener's side reports here what each connection is doing, and closes the connection that is chosen.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import Generic, TypeVar

Connection = TypeVar("Connection")


class EvictionClass(IntEnum):
    """What the client loses with its connection, the least first: the order of eviction."""

    LINGERING = 0  # the proxy has ended its sending
    UNSERVED_PARTIAL = 1  # no response yet, part of a request received
    UNSERVED_IDLE = 2  # no response yet, nothing received
    SERVED_PARTIAL = 3  # part of a further request received
    SERVED_IDLE = 4  # idle after a response


class EvictionOrder(Generic[Connection]):
    """The connections that may be evicted, by class, and within a class in the order of entering it.

    A change, and finding the first one, cost the same however many connections there are. A connection that
    belongs to no class (a request of it is pending, or it is being closed) has to be removed.
    """

    def __init__(self) -> None:
        self._buckets: tuple[dict[Connection, None], ...] = tuple({} for _ in EvictionClass)
        self._class_of: dict[Connection, EvictionClass] = {}

    def __len__(self) -> int:
        return len(self._class_of)

    def place(self, connection: Connection, eviction_class: EvictionClass) -> None:
        """Put a connection last in its class, unless it is in that class already."""
        if self._class_of.get(connection) is eviction_class:
            return
        self.remove(connection)
        self._class_of[connection] = eviction_class
        self._buckets[eviction_class][connection] = None

    def remove(self, connection: Connection) -> None:
        """Take a connection out, if it is in any class."""
        eviction_class = self._class_of.pop(connection, None)
        if eviction_class is not None:
            del self._buckets[eviction_class][connection]

    def candidates(self) -> Iterator[Connection]:
        """Yield the connections in the order of eviction. Stop the iteration at the first change."""
        for bucket in self._buckets:
            yield from bucket

"""The order in which client connections are evicted to free descriptors.

`connection_table` places each connection in the order, and closes the one to evict.
"""

from __future__ import annotations

from collections.abc import Iterator
from enum import IntEnum
from typing import Generic, TypeVar

Connection = TypeVar("Connection")


class EvictionClass(IntEnum):
    """Eviction priority of a connection: lower values are evicted first, as their clients lose less."""

    LINGERING = 0  # in a lingering close: the proxy has closed its write side
    UNSERVED_PARTIAL = 1  # no response sent yet, part of a request received
    UNSERVED_IDLE = 2  # no response sent yet, nothing received
    SERVED_PARTIAL = 3  # at least one response sent, part of a further request received
    SERVED_IDLE = 4  # at least one response sent, idle since


class EvictionOrder(Generic[Connection]):
    """The evictable connections, ordered by class, and within a class by the time of entering it.

    Updating a connection and finding the first candidate take constant time, whatever the number of
    connections. A connection that must not be evicted, because it has a pending request or is being closed,
    has to be removed.
    """

    def __init__(self) -> None:
        self._buckets: tuple[dict[Connection, None], ...] = tuple({} for _ in EvictionClass)
        self._class_by_connection: dict[Connection, EvictionClass] = {}

    def __len__(self) -> int:
        return len(self._class_by_connection)

    def place(self, connection: Connection, eviction_class: EvictionClass) -> None:
        """Put a connection last in this class, unless it is in the class already."""
        if self._class_by_connection.get(connection) is eviction_class:
            return
        self.remove(connection)
        self._class_by_connection[connection] = eviction_class
        self._buckets[eviction_class][connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection if it is in any class."""
        eviction_class = self._class_by_connection.pop(connection, None)
        if eviction_class is not None:
            del self._buckets[eviction_class][connection]

    def candidates(self) -> Iterator[Connection]:
        """Yield the connections in eviction order. Iteration must stop as soon as the order is changed."""
        for bucket in self._buckets:
            yield from bucket

"""The discovery service: updates are late, and one worker serves all calls in turn."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from enum import StrEnum


class EndpointStatus(StrEnum):
    """What the endpoint list says of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True)
class EndpointRecord:
    """One endpoint of the list; the field names are those of the list's JSON form."""

    name: str
    address: str
    zone: str = "a"
    type: str = "m2"
    group: int = 0
    status: EndpointStatus = EndpointStatus.READY
    weight: float = 1.0
    since_ms: float = 0.0  # the last start; 0: long ago

    def restarted(self, now_ms: float) -> EndpointRecord:
        """Return the record of the same endpoint after a restart at this moment."""
        return replace(self, status=EndpointStatus.READY, since_ms=now_ms)


@dataclass(frozen=True)
class UpdateDelays:
    """How long a change of status takes to reach the list, by the new status, in ms."""

    ready_ms: float = 1000.0
    draining_ms: float = 500.0
    gone_ms: float = 1500.0

    def of(self, status: EndpointStatus) -> float:
        """Return the delay of a change to this status."""
        match status:
            case EndpointStatus.READY:
                return self.ready_ms
            case EndpointStatus.DRAINING:
                return self.draining_ms
            case EndpointStatus.GONE:
                return self.gone_ms


@dataclass(frozen=True, order=True)
class _PendingUpdate:
    """A change on its way to the list, ordered by its moment and then by its report."""

    due_at_ms: float
    sequence: int
    record: EndpointRecord = field(compare=False)


@dataclass
class DiscoveryModel:
    """The endpoint list by version, and the time that calls take. Times in ms."""

    delays: UpdateDelays = field(default_factory=UpdateDelays)
    call_ms: float = 0.0  # the worker's time for a call
    line_ms: float = 0.0  # and for each endpoint of its response
    timeout_ms: float = 2000.0
    version: int = 1
    is_up: bool = True
    _records: dict[str, EndpointRecord] = field(default_factory=dict)
    _versions: dict[str, int] = field(default_factory=dict)
    _pending_updates: list[_PendingUpdate] = field(default_factory=list)
    _update_count: int = 0
    _busy_until_ms: float = 0.0

    def report(self, now_ms: float, record: EndpointRecord) -> None:
        """Take up a change at the moment that it happens; it is listed after the delay of its status."""
        self._update_count += 1
        due_at_ms = now_ms + self.delays.of(record.status)
        self._pending_updates.append(_PendingUpdate(due_at_ms, self._update_count, record))

    def advance(self, now_ms: float) -> bool:
        """List the updates that are due, in order; return whether there were any."""
        due = sorted(update for update in self._pending_updates if update.due_at_ms <= now_ms)
        self._pending_updates = [update for update in self._pending_updates if update.due_at_ms > now_ms]
        for update in due:
            self.version += 1
            self._records[update.record.name] = update.record
            self._versions[update.record.name] = self.version
        return bool(due)

    def next_update_at(self) -> float:
        """Return when the next update is listed; infinity if none is on its way."""
        return min((update.due_at_ms for update in self._pending_updates), default=math.inf)

    def snapshot(self) -> list[EndpointRecord]:
        """Return the complete list, without the endpoints that are gone."""
        return [record for record in self._records.values() if record.status != EndpointStatus.GONE]

    def changes_since(self, version: int) -> list[EndpointRecord]:
        """Return what changed after that version, endpoints that are gone included."""
        return [self._records[name] for name, changed_in in self._versions.items() if changed_in > version]

    def complete_call_at(self, now_ms: float, lines: int) -> float | None:
        """Return when a call with so many endpoints is answered.

        None: it would wait longer than the timeout for the worker, or the service is down.
        """
        if not self.is_up:
            return None
        begin_ms = max(now_ms, self._busy_until_ms)
        if begin_ms - now_ms > self.timeout_ms:
            return None
        self._busy_until_ms = begin_ms + self.call_ms + lines * self.line_ms
        return self._busy_until_ms

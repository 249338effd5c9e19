"""Model of the discovery service: it lists updates with a delay, and one worker serves calls in turn."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from enum import StrEnum


class EndpointStatus(StrEnum):
    """Status of an endpoint in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True)
class EndpointRecord:
    """Entry of the endpoint list; the fields are named as in its JSON form."""

    name: str
    address: str
    zone: str = "a"
    type: str = "m2"
    group: int = 0
    status: EndpointStatus = EndpointStatus.READY
    weight: float = 1.0
    since_ms: float = 0.0  # time of the last start; 0: started long ago

    def restarted(self, now_ms: float) -> EndpointRecord:
        """Return the record of this endpoint after a restart at `now_ms`."""
        return replace(self, status=EndpointStatus.READY, since_ms=now_ms)


@dataclass(frozen=True)
class UpdateDelays:
    """Delay from a status change to its listing, by the new status."""

    ready_ms: float = 1000.0
    draining_ms: float = 500.0
    gone_ms: float = 1500.0

    def for_status(self, status: EndpointStatus) -> float:
        """Return the delay in ms for a change to this status."""
        match status:
            case EndpointStatus.READY:
                return self.ready_ms
            case EndpointStatus.DRAINING:
                return self.draining_ms
            case EndpointStatus.GONE:
                return self.gone_ms


@dataclass(frozen=True, order=True)
class _PendingUpdate:
    """A reported update that is not listed yet; sorts by due time, then by order of the reports."""

    due_at_ms: float
    sequence: int
    record: EndpointRecord = field(compare=False)


@dataclass
class DiscoveryModel:
    """The versioned endpoint list, and the duration of calls. Times in ms."""

    delays: UpdateDelays = field(default_factory=UpdateDelays)
    per_call_ms: float = 0.0  # service time of a call, without its endpoints
    per_endpoint_ms: float = 0.0  # additional service time for each endpoint in the response
    timeout_ms: float = 2000.0  # longest time that a call waits for the worker
    version: int = 1
    is_up: bool = True
    _records: dict[str, EndpointRecord] = field(default_factory=dict)
    _versions: dict[str, int] = field(default_factory=dict)
    _pending_updates: list[_PendingUpdate] = field(default_factory=list)
    _update_count: int = 0
    _busy_until_ms: float = 0.0

    def report(self, now_ms: float, record: EndpointRecord) -> None:
        """Report an endpoint that has changed at `now_ms`; it is listed after the delay for its status."""
        self._update_count += 1
        due_at_ms = now_ms + self.delays.for_status(record.status)
        self._pending_updates.append(_PendingUpdate(due_at_ms, self._update_count, record))

    def advance(self, now_ms: float) -> bool:
        """List the updates that are due, in order of their due times; return whether there were any."""
        due = sorted(update for update in self._pending_updates if update.due_at_ms <= now_ms)
        self._pending_updates = [update for update in self._pending_updates if update.due_at_ms > now_ms]
        for update in due:
            self.version += 1
            self._records[update.record.name] = update.record
            self._versions[update.record.name] = self.version
        return bool(due)

    def next_update_at(self) -> float:
        """Return when the next pending update is due; infinity if there is none."""
        return min((update.due_at_ms for update in self._pending_updates), default=math.inf)

    def snapshot(self) -> list[EndpointRecord]:
        """Return all endpoints of the list that are not gone."""
        return [record for record in self._records.values() if record.status != EndpointStatus.GONE]

    def changes_since(self, version: int) -> list[EndpointRecord]:
        """Return the endpoints that changed after that version, including those that are gone."""
        return [self._records[name] for name, changed_in in self._versions.items() if changed_in > version]

    def schedule_call(self, now_ms: float, endpoint_count: int) -> float | None:
        """Occupy the worker for a call that arrives now, and return when its response is sent.

        Return None if the service is down or the call would wait longer than the timeout for the worker.
        """
        if not self.is_up:
            return None
        starts_at_ms = max(now_ms, self._busy_until_ms)
        if starts_at_ms - now_ms > self.timeout_ms:
            return None
        self._busy_until_ms = starts_at_ms + self.per_call_ms + endpoint_count * self.per_endpoint_ms
        return self._busy_until_ms

"""Ids of requests that may have run, and whose clients left before they had a response.

A client uses a fresh id for each request. If it sends such a request again under the same id, the endpoint
would run it a second time.
"""

from __future__ import annotations

KEPT_MS = 60_000.0
MAX_IDS = 16_384


class AbandonedRequestIds:
    """Remembers ids for KEPT_MS, at most the MAX_IDS that were recorded last."""

    def __init__(self) -> None:
        self._expires_at_by_id: dict[bytes, float] = {}  # in order of expiry

    def __len__(self) -> int:
        return len(self._expires_at_by_id)

    def record(self, request_id: bytes, now: float) -> None:
        """Remember an id from now on, and forget those that have expired."""
        ids = self._expires_at_by_id
        ids.pop(request_id, None)
        ids[request_id] = now + KEPT_MS
        while len(ids) > MAX_IDS or next(iter(ids.values())) <= now:
            del ids[next(iter(ids))]

    def contains(self, request_id: bytes, now: float) -> bool:
        """Return whether the id was recorded less than KEPT_MS ago."""
        return self._expires_at_by_id.get(request_id, now) > now

"""Model of the deduplication of requests that have an idempotency key."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass
class DeduplicationScope:
    """The idempotency keys that the endpoints of one scope have seen within the deduplication window."""

    window_ms: float = 10_000.0
    first_seen_at_ms: OrderedDict[str, float] = field(default_factory=OrderedDict)  # oldest first

    def is_duplicate(self, now_ms: float, idempotency_key: str) -> bool:
        """Return whether the key was seen within the window; if not, record it as seen now."""
        while self.first_seen_at_ms and next(iter(self.first_seen_at_ms.values())) < now_ms - self.window_ms:
            self.first_seen_at_ms.popitem(last=False)
        if idempotency_key in self.first_seen_at_ms:
            return True
        self.first_seen_at_ms[idempotency_key] = now_ms
        return False

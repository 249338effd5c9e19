"""Deduplication of keyed requests among the endpoints of one scope."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass
class DeduplicationScope:
    """Endpoints that share their knowledge of idempotency keys for the deduplication window."""

    window_ms: float = 10_000.0
    seen_at_ms: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def is_duplicate(self, now_ms: float, idempotency_key: str) -> bool:
        """Return whether the key came within the window; remember it if it did not."""
        while self.seen_at_ms and next(iter(self.seen_at_ms.values())) < now_ms - self.window_ms:
            self.seen_at_ms.popitem(last=False)
        if idempotency_key in self.seen_at_ms:
            return True
        self.seen_at_ms[idempotency_key] = now_ms
        return False

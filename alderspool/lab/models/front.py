"""Model of the load balancer in front of the proxies, which spreads client connections over them."""

from __future__ import annotations

import numpy as np


class FrontLoadBalancer:
    """Picks one of the admitted proxies at random. Notices only after a delay that a proxy has died."""

    def __init__(
        self, proxies: list[str], random: np.random.Generator, death_detection_ms: float = 2000.0
    ) -> None:
        self._random = random
        self._death_detection_ms = death_detection_ms
        self._is_admitted = dict.fromkeys(proxies, False)
        self._died_at_ms: dict[str, float] = {}

    def mark_ready(self, proxy: str) -> None:
        """Admit a proxy whose `GET /ready` returned 200 after its start."""
        self._is_admitted[proxy] = True
        self._died_at_ms.pop(proxy, None)

    def mark_dead(self, now_ms: float, proxy: str) -> None:
        """Record that a proxy died now; it still gets connections until this is detected."""
        self._died_at_ms.setdefault(proxy, now_ms)

    def pick(self, now_ms: float) -> str | None:
        """Return the proxy for a new connection; None if no proxy is admitted."""
        for proxy, died_at_ms in list(self._died_at_ms.items()):
            if now_ms - died_at_ms >= self._death_detection_ms:
                self._is_admitted[proxy] = False
                del self._died_at_ms[proxy]
        candidates = [proxy for proxy, is_admitted in self._is_admitted.items() if is_admitted]
        if not candidates:
            return None
        return candidates[self._random.integers(len(candidates))]

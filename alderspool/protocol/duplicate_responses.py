"""Which answer of an endpoint is the last one of its connection come a second time. No I/O.

An endpoint may respond twice, some milliseconds apart. If the connection carries another attempt by then,
the duplicate looks like that attempt's response, and nothing in HTTP tells them apart. Two things help: not
reusing a connection for so long after a response, which costs as many lost attempts as it saves where
endpoints soon close idle connections, and looking whether the response equals the connection's last one. The
second holds only where responses differ from one another, which is watched; until that is sure, connections
are not reused at once.
"""

from __future__ import annotations

from alderspool.protocol.http_client import HttpResponse

SOON_S = 0.01  # no second copy comes later than this after the first
SURE = 20  # answers in a row that differed from the one before on their connection


def fingerprint(reply: HttpResponse) -> int | None:
    """What an answer is known by; None for those that are alike by nature and would tell nothing."""
    return hash(reply.body) if reply.status == 200 and reply.body else None


class DuplicateResponseDetector:
    def __init__(self) -> None:
        self._differed = 0

    def may_follow(self, last: int | None, after_s: float) -> bool:
        """Whether a connection may carry a attempt so long after an answer that is known by `last`."""
        return after_s >= SOON_S or last is not None and self._differed >= SURE

    def is_second(self, last: int | None, answer: int | None, after_s: float) -> bool:
        """Whether an answer is the connection's last one again, which came so long before it. Each pair is
        also evidence on whether answers differ here."""
        if last is None or answer is None:
            return False
        if last != answer:
            self._differed = min(self._differed + 1, SURE)
            return False
        if after_s < SOON_S and self._differed >= SURE:
            return True
        self._differed = 0  # alike in earnest: that tells nothing from now on
        return False

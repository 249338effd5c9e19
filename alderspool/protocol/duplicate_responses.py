"""Detects a duplicate of a connection's previous response. No I/O.

An endpoint may send the same response twice, some milliseconds apart. If the connection carries the next
attempt by then, the duplicate looks like the response to that attempt, and nothing in HTTP tells them apart.
Two measures help:

- Not reusing a connection for a short time after a response. Alone this costs as many lost attempts as it
  saves where endpoints soon close idle connections.
- Comparing each response with the previous one of its connection. This works only where responses normally
  differ from one another, so the detector counts how many did; until there is enough evidence, a connection
  is not reused within the time in which a duplicate can arrive.
"""

from __future__ import annotations

from typing import TypeAlias

from alderspool.protocol.http_client import HttpResponse
from alderspool.protocol.upstream import STATUS_OK

DUPLICATE_WINDOW_S = 0.01  # no duplicate arrives later than this after the first copy
MIN_DISTINCT_RESPONSES = 20  # in a row, before equal responses are taken for duplicates

ResponseFingerprint: TypeAlias = int


def fingerprint(response: HttpResponse) -> ResponseFingerprint | None:
    """Return what identifies a response; None for errors and empty bodies, which are normally all alike."""
    if response.status != STATUS_OK or not response.body:
        return None
    return hash(response.body)


class DuplicateResponseDetector:
    """Recognises duplicates once it has seen that responses differ from one another here.

    One detector serves all connections of a pool; `is_duplicate` is called for every response.
    """

    def __init__(self) -> None:
        self._distinct_in_a_row = 0

    def may_reuse(self, previous: ResponseFingerprint | None, idle_s: float) -> bool:
        """Whether a connection that has been idle for `idle_s` since the response `previous` may be reused.

        It may once a duplicate can no longer arrive, or if a duplicate would be recognised.
        """
        if idle_s >= DUPLICATE_WINDOW_S:
            return True
        return previous is not None and self._distinct_in_a_row >= MIN_DISTINCT_RESPONSES

    def is_duplicate(
        self, previous: ResponseFingerprint | None, current: ResponseFingerprint | None, elapsed_s: float
    ) -> bool:
        """Whether `current`, `elapsed_s` after the connection's response `previous`, is a copy of it.

        Each pair also counts as evidence on whether responses differ from one another here.
        """
        if previous is None or current is None:
            return False
        if previous != current:
            self._distinct_in_a_row = min(self._distinct_in_a_row + 1, MIN_DISTINCT_RESPONSES)
            return False
        if elapsed_s < DUPLICATE_WINDOW_S and self._distinct_in_a_row >= MIN_DISTINCT_RESPONSES:
            return True
        # Equal, but not a duplicate: equal responses are normal here and prove nothing from now on.
        self._distinct_in_a_row = 0
        return False

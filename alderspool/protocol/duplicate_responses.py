"""Detects duplicates of the previous response on a connection. No I/O.

An endpoint may send the same response twice, some milliseconds apart. If the connection already carries the
next attempt when the duplicate arrives, HTTP offers no means to distinguish it from the response to that
attempt. There are two countermeasures:

- A connection is not reused for a short time after a response. If endpoints close idle connections early,
  this measure alone loses as many attempts as it saves.
- Each response is compared with the previous one on its connection. This works only if responses normally
  differ, so the detector counts consecutive responses that did. Until it has counted enough, connections are
  not reused during the time in which a duplicate can arrive.
"""

from __future__ import annotations

from typing import TypeAlias

from alderspool.protocol.http_client import HttpResponse
from alderspool.protocol.upstream import STATUS_OK

DUPLICATE_WINDOW_S = 0.01  # maximum time between a response and its duplicate
MIN_DISTINCT_RESPONSES = 20  # consecutive, before an equal response is taken for a duplicate

ResponseFingerprint: TypeAlias = int


def fingerprint(response: HttpResponse) -> ResponseFingerprint | None:
    """Return a hash that identifies a response, or None if the response cannot be identified.

    Error responses and responses without a body are normally all equal.
    """
    if response.status != STATUS_OK or not response.body:
        return None
    return hash(response.body)


class DuplicateResponseDetector:
    """Recognises duplicates after enough consecutive responses have differed from their predecessors.

    All connections of a pool share one detector; `is_duplicate` is called for every response.
    """

    def __init__(self) -> None:
        self._consecutive_distinct = 0

    def may_reuse(self, previous: ResponseFingerprint | None, idle_s: float) -> bool:
        """Return whether a connection may be reused that has been idle for `idle_s` after a response.

        `previous` is the fingerprint of that response. The connection may be reused if a duplicate can no
        longer arrive or would be recognised.
        """
        if idle_s >= DUPLICATE_WINDOW_S:
            return True
        return previous is not None and self._consecutive_distinct >= MIN_DISTINCT_RESPONSES

    def is_duplicate(
        self, previous: ResponseFingerprint | None, current: ResponseFingerprint | None, elapsed_s: float
    ) -> bool:
        """Return whether a response is a duplicate of the previous one on its connection.

        `previous` and `current` are the fingerprints of the two responses, `elapsed_s` is the time between
        them. The call also updates the count of consecutive responses that differ.
        """
        if previous is None or current is None:
            return False
        if previous != current:
            self._consecutive_distinct = min(self._consecutive_distinct + 1, MIN_DISTINCT_RESPONSES)
            return False
        if elapsed_s < DUPLICATE_WINDOW_S and self._consecutive_distinct >= MIN_DISTINCT_RESPONSES:
            return True
        # Equal responses that are not duplicates occur here. So equality is no sign of a duplicate until
        # enough responses differ again.
        self._consecutive_distinct = 0
        return False

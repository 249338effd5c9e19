"""Errors of the simulator's wire protocol."""

from __future__ import annotations


class WireError(ValueError):
    """A malformed or truncated batch.

    The message contains the byte offset within the batch and, where known, the index of the record.
    """

"""Errors of the simulator's wire."""

from __future__ import annotations


class WireError(ValueError):
    """A frame that cannot be read. The message names the record and its offset within the batch, in bytes."""

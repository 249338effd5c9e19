"""The limits of a lingering close.

Closing a socket with unread input resets the connection, and the client then loses a response that is still
in transit. Checking for input first does not help, as it may arrive between the check and the close. So after
the last response the proxy closes only its write side, and reads and discards input until the client closes
the connection too, or a limit is reached.

This module only decides when to close; the socket is handled by `client_connection`.
"""

from __future__ import annotations

from enum import Enum, auto

LINGER_TIMEOUT_S = 0.5
LINGER_LIMIT_BYTES = 256 * 1024
# Limit for a client that does not read its last response; the same as the idle timeout.
UNREAD_RESPONSE_TIMEOUT_S = 2.1


class LingeringCloseStep(Enum):
    """What to do next with a connection in a lingering close."""

    CONTINUE = auto()
    CLOSE = auto()
    ABORT = auto()  # close it and discard unsent data


def next_step(elapsed_s: float, unsent_bytes: int) -> LingeringCloseStep:
    """Return what to do with a connection `elapsed_s` after its lingering close began."""
    if elapsed_s > UNREAD_RESPONSE_TIMEOUT_S:
        return LingeringCloseStep.ABORT
    if elapsed_s > LINGER_TIMEOUT_S and not unsent_bytes:
        return LingeringCloseStep.CLOSE
    return LingeringCloseStep.CONTINUE


def exceeds_limit(discarded_bytes: int) -> bool:
    """Return whether a client has sent more than may be discarded in a lingering close."""
    return discarded_bytes > LINGER_LIMIT_BYTES

"""The limits of a lingering close.

Closing a socket with unread input resets the connection, and a response on its way is lost with it; input may
arrive between any check and the close. So after the last response the proxy only ends its sending, and reads
and discards what comes until the client closes the connection too, or a limit is reached.

Decisions only: the socket is handled by `client_connection`.
"""

from __future__ import annotations

from enum import Enum, auto

LINGER_TIMEOUT_S = 0.5
LINGER_LIMIT_BYTES = 256 * 1024
# For a client that does not read its last response: the same as the idle timeout.
UNREAD_RESPONSE_TIMEOUT_S = 2.1


class LingeringCloseStep(Enum):
    """What is to be done with a connection in a lingering close."""

    CONTINUE = auto()
    CLOSE = auto()
    ABORT = auto()  # close it and drop what is not sent yet


def next_step(elapsed_s: float, unsent_bytes: int) -> LingeringCloseStep:
    """Return what to do with a connection, so long after the lingering close began."""
    if elapsed_s > UNREAD_RESPONSE_TIMEOUT_S:
        return LingeringCloseStep.ABORT
    if elapsed_s > LINGER_TIMEOUT_S and not unsent_bytes:
        return LingeringCloseStep.CLOSE
    return LingeringCloseStep.CONTINUE


def exceeds_limit(discarded_bytes: int) -> bool:
    """Return whether a client has sent more than a lingering close discards."""
    return discarded_bytes > LINGER_LIMIT_BYTES

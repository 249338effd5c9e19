"""The state machine of the watch on the endpoint list: states, events and the table of transitions.

Contains no I/O and no timers: `discovery.DiscoveryClient` makes the calls, classifies their results, and acts
on the transition it looks up here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from alderspool.protocol.endpoint_list import EndpointListError


class RevisionWentBackError(EndpointListError):
    """Discovery sent an older revision than the known one, so its revision numbering has restarted."""


class WatchState(Enum):
    """State of the watch, which determines the next call."""

    FULL_LIST_NEEDED = "full list needed"  # no usable revision is known: request the complete list
    NOT_WATCHING = "not watching"  # no watch is open: request the changes since our revision, without a wait
    WATCHING = "watching"  # the last call succeeded: request the changes since our revision, with a wait


class WatchEvent(Enum):
    """The result of a call, or a request by the program."""

    LIST_RECEIVED = "list received"
    CALL_TIMED_OUT = "call timed out"
    CALL_FAILED = "call failed"
    REVISION_WENT_BACK = "revision went back"
    FULL_LIST_REQUESTED = "full list requested"  # by the balancer, or on a move to another discovery


class NextCall(Enum):
    """When the next call is made."""

    IMMEDIATELY = "immediately"
    AFTER_BACKOFF = "after backoff"


@dataclass(frozen=True, slots=True)
class Transition:
    """The next state, and how the client continues."""

    next_state: WatchState
    next_call: NextCall = NextCall.IMMEDIATELY
    is_failure: bool = False  # counts towards the backoff, and is reported to the exchange


_FULL_LIST_NEEDED = Transition(WatchState.FULL_LIST_NEEDED)
_WATCHING = Transition(WatchState.WATCHING)
_FAILED_WITHOUT_LIST = Transition(WatchState.FULL_LIST_NEEDED, NextCall.AFTER_BACKOFF, is_failure=True)
_FAILED_WITHOUT_WATCH = Transition(WatchState.NOT_WATCHING, NextCall.AFTER_BACKOFF, is_failure=True)

TRANSITIONS: dict[tuple[WatchState, WatchEvent], Transition] = {
    (WatchState.FULL_LIST_NEEDED, WatchEvent.LIST_RECEIVED): _WATCHING,
    (WatchState.FULL_LIST_NEEDED, WatchEvent.CALL_TIMED_OUT): _FAILED_WITHOUT_LIST,
    (WatchState.FULL_LIST_NEEDED, WatchEvent.CALL_FAILED): _FAILED_WITHOUT_LIST,
    # Cannot occur, since any revision is accepted in this state; but a missing entry would end the watch.
    (WatchState.FULL_LIST_NEEDED, WatchEvent.REVISION_WENT_BACK): _FAILED_WITHOUT_LIST,
    (WatchState.FULL_LIST_NEEDED, WatchEvent.FULL_LIST_REQUESTED): _FULL_LIST_NEEDED,
    (WatchState.NOT_WATCHING, WatchEvent.LIST_RECEIVED): _WATCHING,
    (WatchState.NOT_WATCHING, WatchEvent.CALL_TIMED_OUT): _FAILED_WITHOUT_WATCH,
    (WatchState.NOT_WATCHING, WatchEvent.CALL_FAILED): _FAILED_WITHOUT_WATCH,
    # With a backoff, because two discovery services that respond in turn with different revisions would
    # otherwise be called in an endless loop.
    (WatchState.NOT_WATCHING, WatchEvent.REVISION_WENT_BACK): _FAILED_WITHOUT_LIST,
    (WatchState.NOT_WATCHING, WatchEvent.FULL_LIST_REQUESTED): _FULL_LIST_NEEDED,
    (WatchState.WATCHING, WatchEvent.LIST_RECEIVED): _WATCHING,
    # The watch has stalled. The next call is made immediately, so that an update missed meanwhile is received
    # before the protocol treats the proxy as notified of it.
    (WatchState.WATCHING, WatchEvent.CALL_TIMED_OUT): Transition(WatchState.NOT_WATCHING),
    # The watch was lost, probably by all proxies at the same moment: the backoff keeps them from reconnecting
    # all at once.
    (WatchState.WATCHING, WatchEvent.CALL_FAILED): Transition(
        WatchState.NOT_WATCHING, NextCall.AFTER_BACKOFF
    ),
    (WatchState.WATCHING, WatchEvent.REVISION_WENT_BACK): _FAILED_WITHOUT_LIST,
    (WatchState.WATCHING, WatchEvent.FULL_LIST_REQUESTED): _FULL_LIST_NEEDED,
}


def classify_failure(error: Exception) -> WatchEvent:
    """Return the event for a call that ended with this error."""
    if isinstance(error, RevisionWentBackError):
        return WatchEvent.REVISION_WENT_BACK
    if isinstance(error, TimeoutError):
        return WatchEvent.CALL_TIMED_OUT
    return WatchEvent.CALL_FAILED

"""The state machine of the watch on the endpoint list: states, events and the table of transitions.

No I/O and no timers here: `discovery.DiscoveryClient` makes the calls, classifies how they ended, and acts on
the transition that it looks up.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from alderspool.protocol.endpoint_list import EndpointListError


class RevisionWentBackError(EndpointListError):
    """Discovery sent a revision older than the one that is known, so it numbers its revisions anew."""


class WatchState(Enum):
    """Which call is due next."""

    FULL_LIST_NEEDED = "full list needed"  # nothing known can be built on: request the complete list
    NOT_WATCHING = "not watching"  # no watch is open: request the changes since our revision, without a wait
    WATCHING = "watching"  # the last call succeeded: request the changes since our revision, with a wait


class WatchEvent(Enum):
    """How a call ended, or what the program requested."""

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
    """What an event leads to in a state."""

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
    # Does not occur, since any revision is accepted here; a missing entry would end the watch.
    (WatchState.FULL_LIST_NEEDED, WatchEvent.REVISION_WENT_BACK): _FAILED_WITHOUT_LIST,
    (WatchState.FULL_LIST_NEEDED, WatchEvent.FULL_LIST_REQUESTED): _FULL_LIST_NEEDED,
    (WatchState.NOT_WATCHING, WatchEvent.LIST_RECEIVED): _WATCHING,
    (WatchState.NOT_WATCHING, WatchEvent.CALL_TIMED_OUT): _FAILED_WITHOUT_WATCH,
    (WatchState.NOT_WATCHING, WatchEvent.CALL_FAILED): _FAILED_WITHOUT_WATCH,
    # After a backoff: two discovery services that take turns with different revisions would otherwise be
    # called without end.
    (WatchState.NOT_WATCHING, WatchEvent.REVISION_WENT_BACK): _FAILED_WITHOUT_LIST,
    (WatchState.NOT_WATCHING, WatchEvent.FULL_LIST_REQUESTED): _FULL_LIST_NEEDED,
    (WatchState.WATCHING, WatchEvent.LIST_RECEIVED): _WATCHING,
    # The watch has stalled. The next call is made immediately, so that an update missed meanwhile is known
    # before it counts as notified.
    (WatchState.WATCHING, WatchEvent.CALL_TIMED_OUT): Transition(WatchState.NOT_WATCHING),
    # The watch was lost, probably by all proxies at the same moment: they must not call again together.
    (WatchState.WATCHING, WatchEvent.CALL_FAILED): Transition(
        WatchState.NOT_WATCHING, NextCall.AFTER_BACKOFF
    ),
    (WatchState.WATCHING, WatchEvent.REVISION_WENT_BACK): _FAILED_WITHOUT_LIST,
    (WatchState.WATCHING, WatchEvent.FULL_LIST_REQUESTED): _FULL_LIST_NEEDED,
}


def classify_failure(error: Exception) -> WatchEvent:
    """Return the event for a call that ended in this error."""
    if isinstance(error, RevisionWentBackError):
        return WatchEvent.REVISION_WENT_BACK
    if isinstance(error, TimeoutError):
        return WatchEvent.CALL_TIMED_OUT
    return WatchEvent.CALL_FAILED

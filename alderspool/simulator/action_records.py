"""Encodes the actions of `alderspool.balancer.actions` as action records of the simulator's wire protocol.

The records and their names are specified in WIRE-alderspool.md; the names are used only in this module. The
simulator's CPU measurements include this code, so each struct is compiled once and its `pack` method is bound
to a module-level name.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from struct import Struct
from typing import Any

from alderspool.balancer.actions import (
    Action,
    Cancel,
    CheckHealth,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    Watch,
)
from alderspool.simulator.instance_events import InstanceId


class ActionCode(IntEnum):
    """First byte of each kind of action record, under its specified name. Comment: the encoded action."""

    PLACE = 16  # Send
    BOUNCE = 17  # Reject
    DROP_REQUEST = 18  # Fail
    UNDO_SEND = 19  # Cancel
    DEFER = 20  # SetTimer
    ASK_LOAD = 21  # CheckHealth
    CLOSE_IDLE = 22  # CloseIdle
    WRITE_PEER = 23  # SendToPeer
    EMIT = 24  # Log
    BUG = 25  # the balancer of an instance has raised an exception
    WATCH = 26  # Watch
    READ_LIST = 27  # FetchList


# Members as module-level names: looking one up in the enum class takes 119 ns, packing a whole record 73 ns.
_PLACE = ActionCode.PLACE
_BOUNCE = ActionCode.BOUNCE
_DROP_REQUEST = ActionCode.DROP_REQUEST
_UNDO_SEND = ActionCode.UNDO_SEND
_DEFER = ActionCode.DEFER
_ASK_LOAD = ActionCode.ASK_LOAD
_CLOSE_IDLE = ActionCode.CLOSE_IDLE
_WRITE_PEER = ActionCode.WRITE_PEER
_EMIT = ActionCode.EMIT
_BUG = ActionCode.BUG
_WATCH = ActionCode.WATCH
_READ_LIST = ActionCode.READ_LIST

_ALL_PEERS = 0xFFFF
_MAX_TEXT_BYTES = 0xFFFF

_pack_place = Struct("<BII6sd").pack
_pack_bounce = Struct("<BIId").pack
_pack_drop_request = Struct("<BII").pack
_pack_undo_send = Struct("<BIIB").pack
_pack_defer = Struct("<BIQd").pack
_pack_ask_load = Struct("<BI6s").pack
_pack_close_idle = Struct("<BI6s").pack
_pack_write_peer = Struct("<BIHH").pack
_pack_emit = Struct("<BIH").pack
_pack_bug = Struct("<BIH").pack
_pack_watch = Struct("<BIB").pack
_pack_read_list = Struct("<BI").pack


def _encode_send(instance_id: InstanceId, action: Send) -> bytes:
    return _pack_place(_PLACE, instance_id, action.id, action.endpoint, action.timeout_ms)


def _encode_reject(instance_id: InstanceId, action: Reject) -> bytes:
    return _pack_bounce(_BOUNCE, instance_id, action.id, action.retry_after_ms)


def _encode_fail(instance_id: InstanceId, action: Fail) -> bytes:
    return _pack_drop_request(_DROP_REQUEST, instance_id, action.id)


def _encode_cancel(instance_id: InstanceId, action: Cancel) -> bytes:
    return _pack_undo_send(_UNDO_SEND, instance_id, action.id, action.attempt)


def _encode_set_timer(instance_id: InstanceId, action: SetTimer) -> bytes:
    return _pack_defer(_DEFER, instance_id, action.token, action.delay_ms)


def _encode_check_health(instance_id: InstanceId, action: CheckHealth) -> bytes:
    return _pack_ask_load(_ASK_LOAD, instance_id, action.endpoint)


def _encode_close_idle(instance_id: InstanceId, action: CloseIdle) -> bytes:
    return _pack_close_idle(_CLOSE_IDLE, instance_id, action.endpoint)


def _encode_send_to_peer(instance_id: InstanceId, action: SendToPeer) -> bytes:
    peer = _ALL_PEERS if action.peer is None else action.peer
    return _pack_write_peer(_WRITE_PEER, instance_id, peer, len(action.data)) + action.data


def _encode_log(instance_id: InstanceId, action: Log) -> bytes:
    text = _encode_text(action.text)
    return _pack_emit(_EMIT, instance_id, len(text)) + text


def _encode_watch(instance_id: InstanceId, action: Watch) -> bytes:
    return _pack_watch(_WATCH, instance_id, 1 if action.on else 0)


def _encode_fetch_list(instance_id: InstanceId, action: FetchList) -> bytes:
    return _pack_read_list(_READ_LIST, instance_id)


def _encode_text(text: str) -> bytes:
    return text.encode()[:_MAX_TEXT_BYTES]


# The action parameter is `Any` because each encoder accepts only the action type that is its key.
_ENCODERS: dict[type, Callable[[InstanceId, Any], bytes]] = {
    Send: _encode_send,
    Reject: _encode_reject,
    Fail: _encode_fail,
    Cancel: _encode_cancel,
    SetTimer: _encode_set_timer,
    CheckHealth: _encode_check_health,
    CloseIdle: _encode_close_idle,
    SendToPeer: _encode_send_to_peer,
    Log: _encode_log,
    Watch: _encode_watch,
    FetchList: _encode_fetch_list,
}


def encode_action(instance_id: InstanceId, action: Action) -> bytes:
    """Encode an action of an instance as a record."""
    return _ENCODERS[type(action)](instance_id, action)


def encode_balancer_failure(instance_id: InstanceId, text: str) -> bytes:
    """Encode that the balancer of an instance has raised an exception, which ends the simulation."""
    encoded = _encode_text(text)
    return _pack_bug(_BUG, instance_id, len(encoded)) + encoded

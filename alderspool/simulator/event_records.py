"""Decodes the event records of the simulator's wire protocol to the events of `alderspool.balancer.events`.

The records and their names are specified in WIRE-alderspool.md; the names are used only in this module. Each
decoder takes the body of a batch and the offset of the byte that follows the record's code byte. The
simulator's CPU measurements include this code, so each struct is compiled once and its methods are bound to
module-level names.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from struct import Struct

from alderspool.balancer.events import (
    ClientDisconnected,
    EndpointEntry,
    EndpointListUpdate,
    HealthChecked,
    Outcome,
    PeerMessage,
    Request,
    ResponseStarted,
    TimerFired,
)
from alderspool.balancer.settings_reader import read_settings
from alderspool.simulator.errors import WireError
from alderspool.simulator.instance_events import InstanceEvent, InstanceId, InstanceKilled, InstanceStarted


class EventCode(IntEnum):
    """First byte of each kind of event record, under its specified name. Comment: the encoded event."""

    ORDER = 16  # Request
    ABANDONED = 17  # ClientDisconnected
    ANNOUNCE = 18  # EndpointListUpdate
    HEADERS = 19  # ResponseStarted
    KILLED = 20  # InstanceKilled
    MEMO = 21  # PeerMessage
    HEALTH = 22  # HealthChecked
    REMINDER = 23  # TimerFired
    REPORT_BACK = 24  # Outcome
    ENLIST = 25  # InstanceStarted


# Instance id, event, and offset of the next record. A plain tuple because one is created for each record:
# decoding to a NamedTuple took 1.3 times the CPU time.
DecodedRecord = tuple[InstanceId, InstanceEvent, int]
EventDecoder = Callable[[bytes, int], DecodedRecord]

# The formats and sizes exclude the code byte; the sizes in the specification include it.
_ORDER = Struct("<IIQdHBId")
_ABANDONED = Struct("<II")
_ANNOUNCE = Struct("<IBII")
_ENDPOINT_ENTRY = Struct("<6sfHdBBH")
_HEADERS = Struct("<IIB6sd")
_KILLED = Struct("<I")
_MEMO = Struct("<IHH")
_HEALTH = Struct("<IH6sdB")
_REMINDER = Struct("<IQ")
_REPORT_BACK = Struct("<IIB6sHdBB")
_ENLIST = Struct("<IQI")

_ORDER_SIZE = _ORDER.size
_ABANDONED_SIZE = _ABANDONED.size
_ANNOUNCE_SIZE = _ANNOUNCE.size
_ENDPOINT_ENTRY_SIZE = _ENDPOINT_ENTRY.size
_HEADERS_SIZE = _HEADERS.size
_KILLED_SIZE = _KILLED.size
_MEMO_SIZE = _MEMO.size
_HEALTH_SIZE = _HEALTH.size
_REMINDER_SIZE = _REMINDER.size
_REPORT_BACK_SIZE = _REPORT_BACK.size
_ENLIST_SIZE = _ENLIST.size

_unpack_order = _ORDER.unpack_from
_unpack_abandoned = _ABANDONED.unpack_from
_unpack_announce = _ANNOUNCE.unpack_from
_unpack_endpoint_entry = _ENDPOINT_ENTRY.unpack_from
_unpack_headers = _HEADERS.unpack_from
_unpack_killed = _KILLED.unpack_from
_unpack_memo = _MEMO.unpack_from
_unpack_health = _HEALTH.unpack_from
_unpack_reminder = _REMINDER.unpack_from
_unpack_report_back = _REPORT_BACK.unpack_from
_unpack_enlist = _ENLIST.unpack_from

# A load report is a count byte, the last field of its record's struct, followed by that many 32-bit floats.
_LOAD_REPORT_VALUE_SIZE = 4
_unpack_load_report_by_count = [Struct(f"<{count}f").unpack_from for count in range(256)]

# Bits of the field `attrs` of an ORDER record.
_COST_HINT_VALID = 1
_CLIENT_RETRY = 2


def _decode_order(body: bytes, offset: int) -> DecodedRecord:
    instance_id, request_id, key, time_left_ms, request_class, attributes, tenant, raw_cost_hint_ms = (
        _unpack_order(body, offset)
    )
    cost_hint_ms = raw_cost_hint_ms if attributes & _COST_HINT_VALID else 0.0
    is_retry = attributes & _CLIENT_RETRY != 0
    event = Request(request_id, time_left_ms, request_class, tenant, key, cost_hint_ms, is_retry)
    return instance_id, event, offset + _ORDER_SIZE


def _decode_abandoned(body: bytes, offset: int) -> DecodedRecord:
    instance_id, request_id = _unpack_abandoned(body, offset)
    return instance_id, ClientDisconnected(request_id), offset + _ABANDONED_SIZE


def _decode_announce(body: bytes, offset: int) -> DecodedRecord:
    instance_id, mode, revision, count = _unpack_announce(body, offset)
    offset += _ANNOUNCE_SIZE
    if count * _ENDPOINT_ENTRY_SIZE > len(body) - offset:
        raise WireError(f"{count} list entries do not fit into the batch")
    end = offset + count * _ENDPOINT_ENTRY_SIZE
    entries = [
        EndpointEntry(*_unpack_endpoint_entry(body, entry_offset))
        for entry_offset in range(offset, end, _ENDPOINT_ENTRY_SIZE)
    ]
    return instance_id, EndpointListUpdate(mode, entries, revision), end


def _decode_headers(body: bytes, offset: int) -> DecodedRecord:
    instance_id, request_id, attempt, endpoint, latency_ms = _unpack_headers(body, offset)
    event = ResponseStarted(request_id, attempt, endpoint, latency_ms)
    return instance_id, event, offset + _HEADERS_SIZE


def _decode_killed(body: bytes, offset: int) -> DecodedRecord:
    (instance_id,) = _unpack_killed(body, offset)
    return instance_id, InstanceKilled(), offset + _KILLED_SIZE


def _decode_memo(body: bytes, offset: int) -> DecodedRecord:
    instance_id, sender, count = _unpack_memo(body, offset)
    offset += _MEMO_SIZE
    event = PeerMessage(sender, _read_bytes(body, offset, count))
    return instance_id, event, offset + count


def _decode_health(body: bytes, offset: int) -> DecodedRecord:
    instance_id, status, endpoint, latency_ms, count = _unpack_health(body, offset)
    offset += _HEALTH_SIZE
    report = _unpack_load_report_by_count[count](body, offset) if count else ()
    event = HealthChecked(endpoint, status, latency_ms, report)
    return instance_id, event, offset + _LOAD_REPORT_VALUE_SIZE * count


def _decode_reminder(body: bytes, offset: int) -> DecodedRecord:
    instance_id, token = _unpack_reminder(body, offset)
    return instance_id, TimerFired(token), offset + _REMINDER_SIZE


def _decode_report_back(body: bytes, offset: int) -> DecodedRecord:
    instance_id, request_id, attempt, endpoint, status, latency_ms, finished, count = _unpack_report_back(
        body, offset
    )
    offset += _REPORT_BACK_SIZE
    report = _unpack_load_report_by_count[count](body, offset) if count else ()
    event = Outcome(request_id, attempt, endpoint, status, latency_ms, finished != 0, report)
    return instance_id, event, offset + _LOAD_REPORT_VALUE_SIZE * count


def _decode_enlist(body: bytes, offset: int) -> DecodedRecord:
    instance_id, seed, count = _unpack_enlist(body, offset)
    offset += _ENLIST_SIZE
    text = _read_bytes(body, offset, count).decode("utf-8", "replace")
    event = InstanceStarted(seed, read_settings(parse_options(text)))
    return instance_id, event, offset + count


def _read_bytes(body: bytes, offset: int, count: int) -> bytes:
    if count > len(body) - offset:
        raise WireError(f"{count} bytes do not fit into the batch")
    return bytes(body[offset : offset + count])


def parse_options(text: str) -> dict[str, str]:
    """Parse the `path=value` lines of an ENLIST record. Lines without `=` are ignored."""
    options = {}
    for line in text.splitlines():
        path, separator, value = line.partition("=")
        if separator:
            options[path.strip()] = value.strip()
    return options


_DECODERS: dict[EventCode, EventDecoder] = {
    EventCode.ORDER: _decode_order,
    EventCode.ABANDONED: _decode_abandoned,
    EventCode.ANNOUNCE: _decode_announce,
    EventCode.HEADERS: _decode_headers,
    EventCode.KILLED: _decode_killed,
    EventCode.MEMO: _decode_memo,
    EventCode.HEALTH: _decode_health,
    EventCode.REMINDER: _decode_reminder,
    EventCode.REPORT_BACK: _decode_report_back,
    EventCode.ENLIST: _decode_enlist,
}
# Indexed by the code byte; None for undefined codes. Cheaper than a dictionary look-up by enum member.
DECODER_BY_CODE: list[EventDecoder | None] = [None] * 256
for _code, _decoder in _DECODERS.items():
    DECODER_BY_CODE[_code] = _decoder

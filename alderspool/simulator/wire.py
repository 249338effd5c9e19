"""The simulator's binary wire, and the only place where its names (ORDER, PLACE ...) are used.

decode_batch turns a batch's body into (instance, event) pairs; encode_action appends one action.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from struct import Struct

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
from alderspool.balancer.settings import Settings, SettingsError
from alderspool.balancer.settings_reader import read_settings


class WireError(ValueError):
    """A frame that cannot be read; the text names the record and the offset."""


@dataclass(slots=True)
class Started:
    """ENLIST: a new instance of the Balancer is wanted."""

    seed: int
    settings: Settings


@dataclass(slots=True)
class Killed:
    """KILLED: the instance is dead, with all its state."""


HEADER = Struct("<dIII")  # clock, length, records, batch number
REPLY = Struct("<III")  # length, records, batch number

ORDER, ABANDONED, ANNOUNCE, HEADERS, KILLED, MEMO, HEALTH, REMINDER, REPORT_BACK, ENLIST = range(16, 26)
PLACE, BOUNCE, DROP_REQUEST, UNDO_SEND, DEFER, ASK_LOAD, CLOSE_IDLE, WRITE_PEER, EMIT, BUG = range(16, 26)
WATCH, READ_LIST = 26, 27

_ORDER = Struct("<IIQdHBId")
_PAIR = Struct("<II")
_ANNOUNCE = Struct("<IBII")
_ENTRY = Struct("<6sfHdBBH")
_HEADERS = Struct("<IIB6sd")
_KILLED = Struct("<I")
_MEMO = Struct("<IHH")
_HEALTH = Struct("<IH6sdB")
_REMINDER = Struct("<IQ")
_REPORT_BACK = Struct("<IIB6sHdBB")
_ENLIST = Struct("<IQI")
_REPORTS = [Struct(f"<{n}f") for n in range(256)]

_EVERY_PEER = 0xFFFF
_LONGEST_TEXT = 0xFFFF


def _order(body: bytes, at: int) -> tuple[int, object, int]:
    who, xid, key, grace, qos, attrs, tenant, estimate = _ORDER.unpack_from(body, at)
    hint = estimate if attrs & 1 else 0.0
    return who, Request(xid, grace, qos, tenant, key, hint, bool(attrs & 2)), at + 39


def _abandoned(body: bytes, at: int) -> tuple[int, object, int]:
    who, xid = _PAIR.unpack_from(body, at)
    return who, ClientDisconnected(xid), at + 8


def _announce(body: bytes, at: int) -> tuple[int, object, int]:
    who, mode, revision, count = _ANNOUNCE.unpack_from(body, at)
    at += 13
    if count * 24 > len(body) - at:
        raise WireError(f"{count} list entries do not fit")
    entries = []
    for _ in range(count):
        entries.append(EndpointEntry(*_ENTRY.unpack_from(body, at)))
        at += 24
    return who, EndpointListUpdate(mode, entries, revision), at


def _headers(body: bytes, at: int) -> tuple[int, object, int]:
    who, xid, hop, backend, latency = _HEADERS.unpack_from(body, at)
    return who, ResponseStarted(xid, hop, backend, latency), at + 23


def _killed(body: bytes, at: int) -> tuple[int, object, int]:
    return _KILLED.unpack_from(body, at)[0], Killed(), at + 4


def _bytes(body: bytes, at: int, count: int) -> bytes:
    if count > len(body) - at:
        raise WireError(f"{count} bytes do not fit")
    return bytes(body[at : at + count])


def _memo(body: bytes, at: int) -> tuple[int, object, int]:
    who, sender, count = _MEMO.unpack_from(body, at)
    return who, PeerMessage(sender, _bytes(body, at + 8, count)), at + 8 + count


def _health(body: bytes, at: int) -> tuple[int, object, int]:
    who, code, backend, latency, count = _HEALTH.unpack_from(body, at)
    report = _REPORTS[count].unpack_from(body, at + 21) if count else ()
    return who, HealthChecked(backend, code, latency, report), at + 21 + 4 * count


def _reminder(body: bytes, at: int) -> tuple[int, object, int]:
    who, token = _REMINDER.unpack_from(body, at)
    return who, TimerFired(token), at + 12


def _report_back(body: bytes, at: int) -> tuple[int, object, int]:
    who, xid, hop, backend, code, latency, finished, count = _REPORT_BACK.unpack_from(body, at)
    report = _REPORTS[count].unpack_from(body, at + 27) if count else ()
    return who, Outcome(xid, hop, backend, code, latency, finished != 0, report), at + 27 + 4 * count


def _enlist(body: bytes, at: int) -> tuple[int, object, int]:
    who, seed, count = _ENLIST.unpack_from(body, at)
    text = _bytes(body, at + 16, count).decode("utf-8", "replace")
    return who, Started(seed, read_settings(parse_options(text))), at + 16 + count


def parse_options(text: str) -> dict[str, str]:
    """The path=value lines of ENLIST as a mapping."""
    pairs = {}
    for line in text.splitlines():
        key, found, value = line.partition("=")
        if found:
            pairs[key.strip()] = value.strip()
    return pairs


# Record sizes are one less than the document's, which count the code byte.
_EVENTS: dict[int, Callable[[bytes, int], tuple[int, object, int]]] = {
    ORDER: _order,
    ABANDONED: _abandoned,
    ANNOUNCE: _announce,
    HEADERS: _headers,
    KILLED: _killed,
    MEMO: _memo,
    HEALTH: _health,
    REMINDER: _reminder,
    REPORT_BACK: _report_back,
    ENLIST: _enlist,
}


def decode_batch(body: bytes, count: int) -> list[tuple[int, object]]:
    """All events of a batch, in order. Raises WireError, or SettingsError from an ENLIST."""
    events = []
    at, end = 0, len(body)
    for record in range(count):
        if at >= end:
            raise WireError(f"record {record} of {count} at offset {at}: the batch ends early")
        reader = _EVENTS.get(body[at])
        if reader is None:
            raise WireError(f"record {record} at offset {at}: unknown event code {body[at]}")
        try:
            who, event, after = reader(body, at + 1)
        except WireError as fault:
            raise WireError(f"record {record} at offset {at}: {fault}") from None
        except SettingsError as fault:
            raise SettingsError(f"record {record} at offset {at}: {fault}") from None
        except Exception:  # struct.error: the record is cut short
            raise WireError(f"record {record} at offset {at}: truncated (code {body[at]})") from None
        events.append((who, event))
        at = after
    if at != end:
        raise WireError(f"after record {count} at offset {at}: {end - at} bytes too many")
    return events


_PLACE = Struct("<BII6sd").pack
_BOUNCE = Struct("<BIId").pack
_FAIL = Struct("<BII").pack
_UNDO = Struct("<BIIB").pack
_DEFER = Struct("<BIQd").pack
_TO_SERVER = Struct("<BI6s").pack
_WRITE_PEER = Struct("<BIHH").pack
_EMIT = Struct("<BIH").pack
_WATCH = Struct("<BIB").pack
_PLAIN = Struct("<BI").pack


def _tell(who: int, action: SendToPeer) -> bytes:
    peer = _EVERY_PEER if action.peer is None else action.peer
    return _WRITE_PEER(WRITE_PEER, who, peer, len(action.data)) + action.data


def _log(who: int, action: Log) -> bytes:
    text = action.text.encode()[:_LONGEST_TEXT]
    return _EMIT(EMIT, who, len(text)) + text


_ACTIONS: dict[type, Callable[[int, object], bytes]] = {
    Send: lambda who, a: _PLACE(PLACE, who, a.id, a.endpoint, a.timeout_ms),
    Reject: lambda who, a: _BOUNCE(BOUNCE, who, a.id, a.retry_after_ms),
    Fail: lambda who, a: _FAIL(DROP_REQUEST, who, a.id),
    Cancel: lambda who, a: _UNDO(UNDO_SEND, who, a.id, a.attempt),
    SetTimer: lambda who, a: _DEFER(DEFER, who, a.token, a.delay_ms),
    CheckHealth: lambda who, a: _TO_SERVER(ASK_LOAD, who, a.endpoint),
    CloseIdle: lambda who, a: _TO_SERVER(CLOSE_IDLE, who, a.endpoint),
    SendToPeer: _tell,
    Log: _log,
    Watch: lambda who, a: _WATCH(WATCH, who, 1 if a.on else 0),
    FetchList: lambda who, a: _PLAIN(READ_LIST, who),
}


def encode_action(who: int, action: Action) -> bytes:
    """One action record of instance `who`."""
    return _ACTIONS[type(action)](who, action)


def encode_reply(records: list[bytes], number: int) -> bytes:
    body = b"".join(records)
    return REPLY.pack(len(body), len(records), number) + body


def encode_fault(who: int, text: str) -> bytes:
    """BUG: the decision code of an instance has failed."""
    raw = text.encode()[:_LONGEST_TEXT]
    return _EMIT(BUG, who, len(raw)) + raw

"""Frames of the simulator's binary wire: a batch of event records in, a reply of action records out.

Serves the simulator only. Source page: WIRE-alderspool.md. The records themselves are in `event_records` and
`action_records`.
"""

from __future__ import annotations

from struct import Struct
from typing import NamedTuple

from alderspool.balancer.settings import SettingsError
from alderspool.simulator.errors import WireError
from alderspool.simulator.event_records import DECODER_BY_CODE
from alderspool.simulator.instance_events import InstanceEvent, InstanceId

_BATCH_HEADER = Struct("<dIII")
_REPLY_HEADER = Struct("<III")
BATCH_HEADER_SIZE = _BATCH_HEADER.size
REPLY_HEADER_SIZE = _REPLY_HEADER.size


class BatchHeader(NamedTuple):
    """The header of a batch of events."""

    now_ms: float  # the clock of all events of the batch
    body_length: int  # bytes that follow the header
    record_count: int
    batch_number: int


class ReplyHeader(NamedTuple):
    """The header of a reply."""

    body_length: int  # bytes that follow the header
    record_count: int
    batch_number: int  # of the batch that is replied to


def decode_batch_header(data: bytes) -> BatchHeader:
    """Decode the header from exactly BATCH_HEADER_SIZE bytes."""
    return BatchHeader(*_BATCH_HEADER.unpack(data))


def encode_batch_header(header: BatchHeader) -> bytes:
    """Encode the header of a batch."""
    return _BATCH_HEADER.pack(*header)


def decode_reply_header(data: bytes) -> ReplyHeader:
    """Decode the header from exactly REPLY_HEADER_SIZE bytes."""
    return ReplyHeader(*_REPLY_HEADER.unpack(data))


def decode_batch(body: bytes, record_count: int) -> list[tuple[InstanceId, InstanceEvent]]:
    """Decode all events of a batch with the instance that each is for, in their order.

    Raises WireError for a body that cannot be read, and SettingsError for unusable settings of an instance.
    """
    events = []
    offset = 0
    body_length = len(body)
    for record in range(record_count):
        if offset >= body_length:
            raise WireError(f"record {record} of {record_count} at offset {offset}: the batch ends early")
        decode = DECODER_BY_CODE[body[offset]]
        if decode is None:
            raise WireError(f"record {record} at offset {offset}: unknown event code {body[offset]}")
        try:
            instance, event, next_offset = decode(body, offset + 1)
        except WireError as error:
            raise WireError(f"record {record} at offset {offset}: {error}") from error
        except SettingsError as error:
            raise SettingsError(f"record {record} at offset {offset}: {error}") from error
        except Exception as error:  # struct.error: the record is cut short
            message = f"record {record} at offset {offset}: truncated (code {body[offset]})"
            raise WireError(message) from error
        events.append((instance, event))
        offset = next_offset
    if offset != body_length:
        excess = body_length - offset
        raise WireError(f"after record {record_count} at offset {offset}: {excess} bytes too many")
    return events


def encode_reply(records: list[bytes], batch_number: int) -> bytes:
    """Encode the reply to a batch with these action records."""
    body = b"".join(records)
    return _REPLY_HEADER.pack(len(body), len(records), batch_number) + body

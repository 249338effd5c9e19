"""The simulator's binary wire protocol: batches of event records in, replies of action records out.

The protocol is specified in WIRE-alderspool.md. This module handles batches and replies; the records in them
are decoded by `event_records` and encoded by `action_records`.
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

    now_ms: float  # time of all events of the batch
    body_length: int  # bytes that follow the header
    record_count: int
    batch_number: int


class ReplyHeader(NamedTuple):
    """The header of a reply."""

    body_length: int  # bytes that follow the header
    record_count: int
    batch_number: int  # number of the batch to which this is the reply


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
    """Decode the body of a batch to pairs of instance id and event, in order.

    Raises WireError if the body is malformed, and SettingsError if the settings of an instance are invalid.
    """
    events = []
    offset = 0
    body_length = len(body)
    for index in range(record_count):
        if offset >= body_length:
            raise WireError(f"record {index} of {record_count} at offset {offset}: the batch ends early")
        decode = DECODER_BY_CODE[body[offset]]
        if decode is None:
            raise WireError(f"record {index} at offset {offset}: unknown event code {body[offset]}")
        try:
            instance_id, event, next_offset = decode(body, offset + 1)
        except WireError as error:
            raise WireError(f"record {index} at offset {offset}: {error}") from error
        except SettingsError as error:
            raise SettingsError(f"record {index} at offset {offset}: {error}") from error
        except Exception as error:  # struct.error if the record is truncated
            message = f"record {index} at offset {offset}: truncated (code {body[offset]})"
            raise WireError(message) from error
        events.append((instance_id, event))
        offset = next_offset
    if offset != body_length:
        excess_bytes = body_length - offset
        raise WireError(f"after record {record_count} at offset {offset}: {excess_bytes} bytes too many")
    return events


def encode_reply(records: list[bytes], batch_number: int) -> bytes:
    """Encode the reply to a batch; `records` are encoded actions."""
    body = b"".join(records)
    return _REPLY_HEADER.pack(len(body), len(records), batch_number) + body

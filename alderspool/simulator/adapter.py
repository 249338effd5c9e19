"""Hosts many Balancers for the simulator: reads batches from standard input, replies on standard output.

The simulator starts this module with the `sim` command in `deploy/balancer.toml`. The module makes no
load-balancing decisions. It exits with status 0 at the end of the input, with 2 if a batch is malformed, and
with 3 if a Balancer raises an exception; 2 and 3 come with one line on standard error.
"""

from __future__ import annotations

import gc
import sys
from enum import IntEnum
from typing import BinaryIO

from alderspool.balancer.balancer import Balancer
from alderspool.balancer.settings import SettingsError
from alderspool.simulator import wire
from alderspool.simulator.action_records import encode_action
from alderspool.simulator.errors import WireError
from alderspool.simulator.instance_events import InstanceId, InstanceKilled, InstanceStarted


class ExitStatus(IntEnum):
    """The adapter's exit statuses."""

    END_OF_INPUT = 0
    MALFORMED_INPUT = 2
    BALANCER_FAILED = 3


def serve(input_stream: BinaryIO, output_stream: BinaryIO) -> None:
    """Read batches from `input_stream` until it ends, and write a reply to `output_stream` for each.

    Raises WireError or SettingsError if a batch is malformed; exceptions of a Balancer propagate.
    """
    balancers: dict[InstanceId, Balancer] = {}
    while True:
        header = _read_header(input_stream)
        if header is None:
            return
        body = _read_exactly(input_stream, header.body_length, f"batch {header.batch_number}")
        records = _handle_batch(balancers, header, body)
        output_stream.write(wire.encode_reply(records, header.batch_number))
        output_stream.flush()


def _read_header(input_stream: BinaryIO) -> wire.BatchHeader | None:
    data = input_stream.read(wire.BATCH_HEADER_SIZE)
    if not data:
        return None
    if len(data) != wire.BATCH_HEADER_SIZE:
        raise WireError(f"input ends inside a batch header: {len(data)} bytes at offset 0")
    return wire.decode_batch_header(data)


def _read_exactly(input_stream: BinaryIO, count: int, name: str) -> bytes:
    data = input_stream.read(count)
    if len(data) != count:
        raise WireError(f"input ends inside {name}: {len(data)} of {count} bytes at offset 0")
    return data


def _handle_batch(
    balancers: dict[InstanceId, Balancer], header: wire.BatchHeader, body: bytes
) -> list[bytes]:
    """Pass the events of a batch to their Balancers, and return the resulting actions as encoded records."""
    now_ms = header.now_ms
    records = []
    for instance_id, event in wire.decode_batch(body, header.record_count):
        if isinstance(event, InstanceStarted):
            balancer = balancers[instance_id] = Balancer(event.settings, event.seed)
            actions = balancer.start(now_ms)
        elif isinstance(event, InstanceKilled):
            balancers.pop(instance_id, None)
            continue
        elif instance_id in balancers:
            actions = balancers[instance_id].handle(now_ms, event)
        else:  # the instance has been killed: its events are ignored
            continue
        for action in actions:
            records.append(encode_action(instance_id, action))
    return records


def main() -> int:
    """Serve batches from standard input until it ends, and return the exit status."""
    gc.disable()  # the state is bounded and has no reference cycles, so collections would only cost CPU
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError) as error:
        print(f"alderspool: {error}", file=sys.stderr)
        return ExitStatus.MALFORMED_INPUT
    except BrokenPipeError:
        return ExitStatus.END_OF_INPUT
    except Exception as error:
        print(f"alderspool: balancer failed: {type(error).__name__}: {error}", file=sys.stderr)
        return ExitStatus.BALANCER_FAILED
    return ExitStatus.END_OF_INPUT


if __name__ == "__main__":
    sys.exit(main())

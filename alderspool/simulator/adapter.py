"""Hosts many Balancers on the simulator's wire: batches on standard input, replies on standard output.

Serves the simulator only, which starts it by the name in `deploy/balancer.toml`. It makes no decisions. It
exits with status 0 at the end of the input, with 2 and one line on standard error for a frame that it cannot
read, and with 3 for a failure of the decision code.
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
    """Exit statuses of the adapter."""

    END_OF_INPUT = 0
    UNREADABLE_INPUT = 2
    DECISION_FAILED = 3


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply on `sink` to every batch of `source` until the input ends.

    Raises WireError or SettingsError for a batch that cannot be read, and whatever a Balancer raises.
    """
    balancers: dict[InstanceId, Balancer] = {}
    while True:
        header = _read_header(source)
        if header is None:
            return
        body = _read(source, header.body_length, f"batch {header.batch_number}")
        records = _handle_batch(balancers, header, body)
        sink.write(wire.encode_reply(records, header.batch_number))
        sink.flush()


def _read_header(source: BinaryIO) -> wire.BatchHeader | None:
    data = source.read(wire.BATCH_HEADER_SIZE)
    if not data:
        return None
    if len(data) != wire.BATCH_HEADER_SIZE:
        raise WireError(f"input ends inside a batch header: {len(data)} bytes at offset 0")
    return wire.decode_batch_header(data)


def _read(source: BinaryIO, count: int, name: str) -> bytes:
    data = source.read(count)
    if len(data) != count:
        raise WireError(f"input ends inside {name}: {len(data)} of {count} bytes at offset 0")
    return data


def _handle_batch(
    balancers: dict[InstanceId, Balancer], header: wire.BatchHeader, body: bytes
) -> list[bytes]:
    """Give the events of a batch to their Balancers, and return the action records of the reply."""
    now_ms = header.now_ms
    records = []
    for instance, event in wire.decode_batch(body, header.record_count):
        if isinstance(event, InstanceStarted):
            balancer = balancers[instance] = Balancer(event.settings, event.seed)
            actions = balancer.start(now_ms)
        elif isinstance(event, InstanceKilled):
            balancers.pop(instance, None)
            continue
        elif instance in balancers:
            actions = balancers[instance].handle(now_ms, event)
        else:  # killed before the event: nothing is left that it could concern
            continue
        for action in actions:
            records.append(encode_action(instance, action))
    return records


def main() -> int:
    """Serve standard input and output, and return the exit status."""
    gc.disable()  # state is bounded and has no reference cycles; collections would only cost CPU
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError) as error:
        print(f"alderspool: {error}", file=sys.stderr)
        return ExitStatus.UNREADABLE_INPUT
    except BrokenPipeError:
        return ExitStatus.END_OF_INPUT
    except Exception as error:
        print(f"alderspool: decision code failed: {type(error).__name__}: {error}", file=sys.stderr)
        return ExitStatus.DECISION_FAILED
    return ExitStatus.END_OF_INPUT


if __name__ == "__main__":
    sys.exit(main())

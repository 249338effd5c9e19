"""Hosts many Balancers on the simulator's wire: batches on standard input, replies on standard output.

It decides nothing. Ends quietly at the end of input; on a frame it cannot read it says why in one
line on standard error and exits with a status of 2, on a failure of the decision code with 3.
"""

from __future__ import annotations

import gc
import sys
from typing import BinaryIO

from alderspool.balancer.balancer import Balancer
from alderspool.balancer.settings import SettingsError
from alderspool.simulator import wire


def _read(stream: BinaryIO, count: int, what: str) -> bytes:
    data = stream.read(count)
    if len(data) != count:
        raise wire.WireError(f"input ends inside {what}: {len(data)} of {count} bytes at offset 0")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers every batch of `source` on `sink` until the input ends."""
    instances: dict[int, Balancer] = {}
    while True:
        head = source.read(wire.HEADER.size)
        if not head:
            return
        if len(head) != wire.HEADER.size:
            raise wire.WireError(f"input ends inside a batch header: {len(head)} bytes at offset 0")
        now, length, count, number = wire.HEADER.unpack(head)
        records: list[bytes] = []
        for who, event in wire.decode_batch(_read(source, length, f"batch {number}"), count):
            kind = type(event)
            if kind is wire.Started:
                instances[who] = Balancer(event.settings, event.seed)
                actions = instances[who].start(now)
            elif kind is wire.Killed:
                instances.pop(who, None)
                continue
            else:
                instance = instances.get(who)
                if instance is None:  # nothing to tell it to; the event is void
                    continue
                actions = instance.handle(now, event)
            for action in actions:
                records.append(wire.encode_action(who, action))
        sink.write(wire.encode_reply(records, number))
        sink.flush()


def main() -> int:
    gc.disable()  # state is bounded and holds no cycles; collection pauses would only cost CPU
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (wire.WireError, SettingsError) as fault:
        print(f"alderspool: {fault}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 0
    except Exception as fault:
        print(f"alderspool: decision code failed: {type(fault).__name__}: {fault}", file=sys.stderr)
        return 3
    return 0


if __name__ == "__main__":
    sys.exit(main())

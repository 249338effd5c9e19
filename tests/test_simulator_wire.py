"""The simulator's wire protocol: the examples of its specification, its errors, and the adapter."""

from __future__ import annotations

import io
import math
import subprocess
import sys

import pytest

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
from alderspool.balancer.settings import SettingsError
from alderspool.balancer.settings_reader import read_settings
from alderspool.simulator import adapter
from alderspool.simulator.action_records import encode_action, encode_balancer_failure
from alderspool.simulator.errors import WireError
from alderspool.simulator.event_records import parse_options
from alderspool.simulator.instance_events import InstanceId, InstanceKilled
from alderspool.simulator.wire import (
    BATCH_HEADER_SIZE,
    REPLY_HEADER_SIZE,
    BatchHeader,
    ReplyHeader,
    decode_batch,
    decode_batch_header,
    decode_reply_header,
    encode_batch_header,
    encode_reply,
)

BATCH = bytes.fromhex(
    "00000000206ec040 3e000000 03000000 0c000000"
    "10 03000000 c4913a5d 640ad2557c3bf091 0000000000006e40 0000 01 00000000 0000000000002840"
    "17 03000000 4d00000000000000 11 05000000 192b6f0e"
)
INSTANCE = InstanceId(3)
ENDPOINT_A, ENDPOINT_B = bytes.fromhex("0a124a07c32b"), bytes.fromhex("0a9011f2ec2b")

EVENTS = [
    (
        "12 03000000 02 29000000 02000000 0a124a07 c32b 0000803f 0000 0000000000000000 00 00 0000"
        "0a9011f2 ec2b 0000c03f 0000 0000000000d4b740 00 01 0000",
        EndpointListUpdate(
            2, [EndpointEntry(ENDPOINT_A, 1.0), EndpointEntry(ENDPOINT_B, 1.5, 0, 6100.0, 0, 1, 0)], 41
        ),
    ),
    (
        "10 03000000 c4913a5d 640ad2557c3bf091 0000000000006e40 0000 01 00000000 0000000000002840",
        Request(0x5D3A91C4, 240.0, 0, 0, 0x91F03B7C55D20A64, 12.0),
    ),
    ("16 03000000 0100 0a9011f2 ec2b 666666666666f63f 00", HealthChecked(ENDPOINT_B, 1, 1.4)),
    ("17 03000000 4d00000000000000", TimerFired(77)),
    (
        "18 03000000 c4913a5d 00 0a124a07 c32b 0100 0000000000803240 01 00",
        Outcome(0x5D3A91C4, 0, ENDPOINT_A, 1, 18.5, True),
    ),
    ("14 03000000", InstanceKilled()),
    ("15 03000000 0200 0400 68692037", PeerMessage(2, b"hi 7")),
    (
        "13 03000000 c4913a5d 00 0a124a07 c32b 0000000000802240",
        ResponseStarted(0x5D3A91C4, 0, ENDPOINT_A, 9.25),
    ),
]

ACTIONS = [
    (Send(0x5D3A91C4, ENDPOINT_A, 80.0), "10 03000000 c4913a5d 0a124a07 c32b 0000000000005440"),
    (Cancel(0x5D3A91C4, 0), "13 03000000 c4913a5d 00"),
    (SendToPeer(b"hi 7"), "17 03000000 ffff 0400 68692037"),
    (SendToPeer(b"hi 7", 2), "17 03000000 0200 0400 68692037"),
    (Watch(), "1a 03000000 01"),
    (Watch(False), "1a 03000000 00"),
    (FetchList(), "1b 03000000"),
    (CloseIdle(ENDPOINT_B), "16 03000000 0a9011f2 ec2b"),
    (Fail(0x0E6F2B19), "12 03000000 192b6f0e"),
    (SetTimer(77, 500.0), "14 03000000 4d00000000000000 0000000000407f40"),
    (Reject(0x0E6F2B19, 250.0), "11 03000000 192b6f0e 0000000000406f40"),
    (CheckHealth(ENDPOINT_B), "15 03000000 0a9011f2 ec2b"),
    (Log("two servers known"), "18 03000000 1100 74776f2073657276657273206b6e6f776e"),
]


@pytest.mark.parametrize(("hex_text", "event"), EVENTS)
def test_decodes_the_event_examples_of_the_specification(hex_text: str, event: object) -> None:
    assert decode_batch(bytes.fromhex(hex_text), 1) == [(INSTANCE, event)]


@pytest.mark.parametrize(("action", "hex_text"), ACTIONS)
def test_encodes_the_action_examples_of_the_specification(action: Action, hex_text: str) -> None:
    assert encode_action(INSTANCE, action) == bytes.fromhex(hex_text)


def test_encodes_the_balancer_failure_example_of_the_specification() -> None:
    expected = bytes.fromhex("19 03000000 1200 696e646578206f7574206f662072616e6765")
    assert encode_balancer_failure(INSTANCE, "index out of range") == expected


def test_decodes_the_batch_example_of_the_specification() -> None:
    header = decode_batch_header(BATCH[:BATCH_HEADER_SIZE])
    assert header == BatchHeader(now_ms=8412.25, body_length=62, record_count=3, batch_number=12)
    events = decode_batch(BATCH[BATCH_HEADER_SIZE:], header.record_count)
    assert [instance for instance, _ in events] == [3, 3, 5]
    assert events[2][1] == ClientDisconnected(0x0E6F2B19)


def test_encodes_the_reply_example_of_the_specification() -> None:
    hex_text = (
        "44000000 03000000 0c000000 10 03000000 c4913a5d 0a124a07 c32b 0000000000005440"
        "14 03000000 4d00000000000000 0000000000407f40 18 05000000 1100 74776f2073657276657273206b6e6f776e"
    )
    records = [
        encode_action(INSTANCE, Send(0x5D3A91C4, ENDPOINT_A, 80.0)),
        encode_action(INSTANCE, SetTimer(77, 500.0)),
        encode_action(InstanceId(5), Log("two servers known")),
    ]
    assert encode_reply(records, 12) == bytes.fromhex(hex_text)


def test_decodes_load_report_values_and_request_flag_bits() -> None:
    body = bytes.fromhex(
        "18 03000000 01000000 00 0a124a07 c32b 0100 0000000000803240 01 02 0000803f 0000c07f"
    )
    ((_, event),) = decode_batch(body, 1)
    assert event.report[0] == 1.0 and math.isnan(event.report[1])
    body = bytes.fromhex(
        "10 03000000 01000000 0000000000000000 0000000000006e40 0000 fa 00000000 0000000000002840"
    )
    ((_, event),) = decode_batch(body, 1)
    assert event.cost_hint_ms == 0.0 and event.is_retry


@pytest.mark.parametrize(
    ("body", "count", "message"),
    [
        (BATCH[20:40], 1, "record 0 at offset 0: truncated"),
        (BATCH[20:], 4, "record 3 of 4 at offset 62: the batch ends early"),
        (BATCH[20:], 2, "after record 2 at offset 53: 9 bytes too many"),
        (b"\x63" + bytes(20), 1, "record 0 at offset 0: unknown event code 99"),
        (bytes.fromhex("12 03000000 02 29000000 ffffffff"), 1, "4294967295 list entries do not fit"),
        (bytes.fromhex("15 03000000 0200 0500 68692037"), 1, "5 bytes do not fit"),
    ],
)
def test_reports_record_and_offset_of_a_malformed_batch(body: bytes, count: int, message: str) -> None:
    with pytest.raises(WireError, match=message):
        decode_batch(body, count)


OPTIONS = "classes.count=1\nclasses.0.slo_ms=100.0\nclasses.0.deadline_ms=300.0\nnew.key=7\n"
BUDGET = "rules.extra_window_ms=5000\nrules.budget_free=2\nrules.extra_ratio=0.15\n"


@pytest.mark.parametrize(
    ("options", "message"),
    [
        (OPTIONS.replace("classes.0.deadline_ms=300.0", ""), "classes.0.deadline_ms: missing"),
        (OPTIONS + "classes.0.effect=odd", "classes.0.effect: unknown value 'odd'"),
        (OPTIONS + "discovery=gossip", "discovery: unknown mode 'gossip'"),
        (OPTIONS + "classes.0.importance=nan", "classes.0.importance: not a finite number"),
        (OPTIONS + "bounds.cancel=maybe", "bounds.cancel: neither true nor false"),
        (OPTIONS + "classes.0.keep_order=1", "classes.0.keep_order: neither true nor false"),
        (OPTIONS + "rules.full_may_have_run=yes", "rules.full_may_have_run: neither true nor false"),
        (OPTIONS + "rules.key_rest_ms=-1", "rules.key_rest_ms: out of range"),
        (OPTIONS + BUDGET.replace("ratio=0.15", "ratio=inf"), "rules.extra_ratio: not a finite number"),
        (OPTIONS + BUDGET.replace("free=2", "free=-2"), "rules.budget_free: out of range"),
        (OPTIONS + BUDGET.replace("ms=5000", "ms=0"), "rules.extra_window_ms: out of range"),
        (OPTIONS + "rules.budget_free=2", "rules.extra_window_ms: missing"),
        (OPTIONS + BUDGET.replace("rules.budget_free=2\n", ""), "rules.budget_free: missing"),
    ],
)
def test_rejects_invalid_settings_with_the_key_in_the_message(options: str, message: str) -> None:
    with pytest.raises(SettingsError, match=message):
        read_settings(parse_options(options))


def test_reads_optional_settings_and_uses_defaults_for_absent_ones() -> None:
    optional_settings = (
        "classes.0.keep_order=true\nrules.key_rest_ms=50.0\nrules.full_may_have_run=true\nweights=live\n"
        "result_mix.log_loss_part=0.4\nresult_mix.nines_wanted=2.0\n"
    )
    off = read_settings(parse_options(OPTIONS))
    on = read_settings(parse_options(OPTIONS + BUDGET + optional_settings))
    assert (off.classes[0].ordered_by_key, off.rejected_may_have_run, off.key_quiesce_ms) == (
        False,
        False,
        0.0,
    )
    assert (on.classes[0].ordered_by_key, on.rejected_may_have_run, on.key_quiesce_ms) == (True, True, 50.0)
    assert (off.retry_budget_window_ms, off.retry_budget_floor, off.retry_budget_ratio) == (0.0, 0.0, 0.0)
    assert (on.retry_budget_window_ms, on.retry_budget_floor, on.retry_budget_ratio) == (5000.0, 2.0, 0.15)
    assert (off.weights_live, on.weights_live) == (False, True)
    assert (on.nines_part, on.nines_wanted) == (0.4, 2.0)


def _enlist(instance: int, options: str = OPTIONS) -> bytes:
    encoded_options = options.encode()
    return (
        b"\x19"
        + instance.to_bytes(4, "little")
        + (9).to_bytes(8, "little")
        + len(encoded_options).to_bytes(4, "little")
        + encoded_options
    )


def _batch(batch_number: int, *records: bytes) -> bytes:
    body = b"".join(records)
    return encode_batch_header(BatchHeader(5.0, len(body), len(records), batch_number)) + body


def _read_replies(data: bytes) -> tuple[list[ReplyHeader], list[bytes]]:
    headers: list[ReplyHeader] = []
    bodies: list[bytes] = []
    offset = 0
    while offset < len(data):
        header = decode_reply_header(data[offset : offset + REPLY_HEADER_SIZE])
        body_offset = offset + REPLY_HEADER_SIZE
        offset = body_offset + header.body_length
        headers.append(header)
        bodies.append(data[body_offset:offset])
    return headers, bodies


def test_adapter_replies_to_every_batch_across_an_instance_restart() -> None:
    request = bytes.fromhex(
        "10 03000000 c4913a5d 0000000000000000 0000000000006e40 0000 00 00000000 0000000000000000"
    )
    cached_list = bytes.fromhex("12 03000000 02 01000000 01000000 0a124a07 c32b 0000803f 0000") + bytes(12)
    source = io.BytesIO(
        _batch(1)
        + _batch(2, _enlist(3), cached_list, request)
        + _batch(3, b"\x14\x03\x00\x00\x00")
        + _batch(4, request)  # the instance has been killed: ignored
        + _batch(5, _enlist(3), cached_list, request)
    )
    sink = io.BytesIO()
    adapter.serve(source, sink)
    headers, bodies = _read_replies(sink.getvalue())
    assert [(header.batch_number, header.record_count) for header in headers] == [
        (1, 0),
        (2, 1),
        (3, 0),
        (4, 0),
        (5, 1),
    ]
    assert bodies[1] == encode_action(INSTANCE, Send(0x5D3A91C4, ENDPOINT_A, 0.0))


def test_adapter_reports_truncated_input() -> None:
    with pytest.raises(WireError, match="input ends inside batch 2: 3 of 50 bytes"):
        adapter.serve(io.BytesIO(encode_batch_header(BatchHeader(5.0, 50, 1, 2)) + b"abc"), io.BytesIO())


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (_batch(7, b"\x63" + bytes(8)), "alderspool: record 0 at offset 0: unknown event code 99"),
        (_batch(7, _enlist(1, "classes.count=1")), "classes.0.slo_ms: missing"),
        (b"abc", "input ends inside a batch header"),
    ],
)
def test_adapter_exits_with_one_error_line_on_malformed_input(data: bytes, message: str) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "alderspool.simulator.adapter"], input=data, capture_output=True, check=False
    )
    assert process.returncode == 2
    assert process.stderr.decode().count("\n") == 1 and message in process.stderr.decode()


def test_adapter_exits_cleanly_at_end_of_input() -> None:
    process = subprocess.run(
        [sys.executable, "-m", "alderspool.simulator.adapter"],
        input=_batch(1),
        capture_output=True,
        check=False,
    )
    assert (process.returncode, process.stderr, len(process.stdout)) == (0, b"", 12)

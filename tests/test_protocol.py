"""Tests of the protocol codecs: client requests, endpoint responses, and the endpoint list. No I/O."""

from __future__ import annotations

import json

import pytest
from rig import NOT_RUN, OK, SETTINGS, request

from alderspool.balancer.events import AttemptStatus, Availability
from alderspool.balancer.settings_reader import read_settings
from alderspool.program.config import flatten
from alderspool.protocol import endpoint_list, upstream
from alderspool.protocol.downstream import (
    CONTINUE,
    NEED_DATA,
    PAUSED,
    HttpServerCodec,
    InvalidRequest,
    RawRequest,
    ReadinessQuery,
    RequestReader,
    as_client_response,
)
from alderspool.protocol.duplicate_responses import (
    DUPLICATE_WINDOW_S,
    MIN_DISTINCT_RESPONSES,
    DuplicateResponseDetector,
    fingerprint,
)
from alderspool.protocol.endpoint_list import EndpointListError
from alderspool.protocol.http_client import BrokenResponseError, HttpResponse
from alderspool.routing.messages import ClientRequest, Failed, Rejected, Served

PARSED_SETTINGS = read_settings(flatten(SETTINGS))
READER = RequestReader(PARSED_SETTINGS)


def read_request(data: bytes) -> object:
    codec = HttpServerCodec()
    codec.receive(data)
    step = codec.next()
    return READER.read(step) if isinstance(step, RawRequest) else step


def test_reads_a_valid_request_completely() -> None:
    parsed = read_request(request("put", 480, b"body", X_Retry="1", X_Cost_Hint="12.5"))
    assert isinstance(parsed, ClientRequest)
    assert (parsed.cls, parsed.tenant, parsed.time_left_ms, parsed.is_retry) == (2, 0, 480.0, True)
    assert parsed.cost_hint_ms == 12.5
    assert (parsed.payload.method, parsed.payload.target) == (b"POST", b"/put/7f3a?x=1")
    assert parsed.payload.body == b"body"
    assert not {b"x-deadline-ms", b"content-length"} & {name for name, _ in parsed.payload.headers}


def test_ignores_trailers_and_protocol_upgrades() -> None:
    """Trailers are dropped, and an Upgrade header affects neither its request nor the next one."""
    body = b"".join(b"1;x=y\r\n%c\r\n" % c for c in b"four") + b"0\r\nX-Class: look\r\nX-Evil: 1\r\n\r\n"
    sent = request("pay", Content_Length=None, Transfer_Encoding="chunked", body=body)
    parsed = read_request(sent)
    assert isinstance(parsed, ClientRequest)
    assert parsed.payload.body == b"four"
    assert b"x-evil" not in dict(parsed.payload.headers)
    codec = HttpServerCodec()
    codec.receive(request("look", Connection="Upgrade, HTTP2-Settings", Upgrade="h2c") + request("pay"))
    assert isinstance(READER.read(codec.next()), ClientRequest)
    codec.compose(200, b"", [], close=False)
    assert codec.next().method == b"POST"


def test_request_key_is_stable_and_0_if_absent() -> None:
    first, second = read_request(request("look")), read_request(request("pay"))
    assert first.key == second.key == 1734263071609238019
    assert read_request(request("look").replace(b"/look/7f3a?x=1", b"/look")).key == 0


# Request smuggling: the body of the first request contains a second one, which a server that determines the
# length of the body differently would execute.
SMUGGLED = request("pay", Transfer_Encoding="chunked", body=b"0\r\n\r\n" + request("pay"))
INVALID_REQUESTS = {
    "no-http": (b"rubbish\r\n\r\n", 400),
    "tls-hello": (b"\x00\x16\x03\x01\r\n\r\n", 400),
    "no-host": (b"GET /look/1 HTTP/1.1\r\n\r\n", 400),
    "http-9.9": (b"GET /look/1 HTTP/9.9\r\nHost: x\r\n\r\n", 400),
    "http-2.0": (b"GET /look/1 HTTP/2.0\r\nHost: x\r\n\r\n", 400),
    "endless-line-ends": (b"\r\n" * 40000, 431),
    "folded-header": (request("look", X_A="b\r\n folded"), 400),
    "bare-line-feeds": (request("look").replace(b"\r\n", b"\n"), 400),
    "invalid-chunk-size": (
        request("pay", Transfer_Encoding="chunked", Content_Length=None, body=b"4\r\nabcd\r\nzz\r\n"),
        400,
    ),
    "chunked-body-too-long": (
        request("pay", Transfer_Encoding="chunked", Content_Length=None, body=b"1\r\na\r\n" * 70000),
        413,
    ),
    "head-too-long": (request("look", X_A="b" * 70000), 431),
    "body-too-long": (request("pay", body=b"x" * 65537), 413),
    "length-in-words": (request("pay", Content_Length="nine"), 400),
    "negative-length": (request("pay", Content_Length="-1"), 400),
    "length-of-5000-digits": (request("pay", Content_Length="9" * 5000), 400),
    "two-lengths-in-one-field": (request("pay", Content_Length="4, 5", body=b"four"), 400),
    "two-length-fields": (
        request("pay", body=b"four").replace(b"X-Tenant", b"Content-Length: 5\r\nX-Tenant"),
        400,
    ),
    "unknown-transfer-encoding": (request("pay", Transfer_Encoding="gzip"), 400),
    "smuggled-request": (SMUGGLED, 400),
    "unknown-path": (request("look").replace(b"/look/7f3a", b"/elsewhere/1"), 404),
    "root-path": (request("look").replace(b"/look/7f3a", b"/"), 404),
    "asterisk-target": (request("look").replace(b"/look/7f3a", b"*"), 404),
    "post-ready": (b"POST /ready HTTP/1.1\r\nHost: x\r\n\r\n", 405),
    "post-for-get": (request("look").replace(b"GET", b"POST"), 405),
    "get-for-post": (request("pay").replace(b"POST", b"GET"), 405),
    "put-for-post": (request("pay").replace(b"POST", b"PUT"), 405),
    "class-differs-from-path": (request("look", X_Class="pay"), 400),
    "no-class": (request("look", X_Class=None), 400),
    "unknown-tenant": (request("look", X_Tenant="nobody"), 400),
    "no-tenant": (request("look", X_Tenant=None), 400),
    "no-deadline": (request("look", X_Deadline_Ms=None), 400),
    "no-request-id": (request("look", X_Request_Id=None), 400),
    "empty-request-id": (request("look", X_Request_Id=""), 400),
    "two-deadlines": (request("look").replace(b"X-Tenant", b"X-Deadline-Ms: 9\r\nX-Tenant"), 400),
    "no-idempotency-key": (request("put", Idempotency_Key=None), 400),
    "unexpected-idempotency-key": (request("pay", Idempotency_Key="k"), 400),
    "get-with-a-body": (request("look", Content_Length="1") + b"x", 400),
    **{
        f"deadline-{name}": (request("look", X_Deadline_Ms=value), 400)
        for name, value in {
            "empty": "",
            "zero": "0",
            "negative": "-5",
            "fraction": "1.5",
            "exponent": "1e3",
            "letter": "x",
            "40-digits": "9" * 40,
            "arabic-digit": "\u0663",
        }.items()
    },
}


@pytest.mark.parametrize(("data", "status"), INVALID_REQUESTS.values(), ids=INVALID_REQUESTS.keys())
def test_rejects_an_invalid_request(data: bytes, status: int) -> None:
    parsed = read_request(data)
    assert isinstance(parsed, InvalidRequest)
    assert parsed.status == status


# What may follow a complete head without ever ending: a beginning, and a block to repeat without end.
ENDLESS_FRAMING = {
    "trailer-value": (b"4\r\ndone\r\n0\r\nX-Pad: ", b"p"),
    "trailer-name": (b"4\r\ndone\r\n0\r\n", b"p"),
    "trailer-fields": (b"4\r\ndone\r\n0\r\n", b"X-Pad: p\r\n"),
    "chunk-extension": (b"4;", b"e"),
    "chunk-extension-value": (b'4;e="', b"e"),
    "chunk-size": (b"0", b"0"),
}
PIECE_BYTES = 16 * 1024
MAX_FRAMING_BYTES = 64 * 1024  # an endless message of a few body bytes must be rejected within these
ENDLESS_PIECES = {
    name: [start, *([block * (PIECE_BYTES // len(block))] * (2 * MAX_FRAMING_BYTES // PIECE_BYTES))]
    for name, (start, block) in ENDLESS_FRAMING.items()
}


@pytest.mark.parametrize("pieces", ENDLESS_PIECES.values(), ids=ENDLESS_PIECES.keys())
def test_rejects_a_request_whose_chunk_framing_or_trailer_never_ends(pieces: list[bytes]) -> None:
    """Guards against the crash of review/3 from the client side: no limit applied after the head."""
    codec = HttpServerCodec()
    codec.receive(request("pay", Content_Length=None, Transfer_Encoding="chunked"))
    received_bytes = 0
    for piece in pieces:
        codec.receive(piece)
        received_bytes += len(piece)
        step = codec.next()
        if step is not NEED_DATA:
            break
    assert isinstance(step, InvalidRequest)
    assert step.status == 413
    assert received_bytes <= MAX_FRAMING_BYTES


@pytest.mark.parametrize("pieces", ENDLESS_PIECES.values(), ids=ENDLESS_PIECES.keys())
def test_rejects_a_response_whose_chunk_framing_or_trailer_never_ends(pieces: list[bytes]) -> None:
    """Guards against the crash for memory of review/3: no limit applied after the head of a response."""
    codec = upstream.upstream_codec()
    upstream.compose_attempt(codec, read_request(request("pay")).payload, 99.9)
    codec.receive(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    received_bytes = 0
    with pytest.raises(BrokenResponseError, match="framing"):
        for piece in pieces:
            received_bytes += len(piece)
            codec.receive(piece)
    assert received_bytes <= MAX_FRAMING_BYTES


@pytest.mark.parametrize("trailer", [b"", b"X-Checksum: " + b"c" * 4000 + b"\r\n"], ids=["none", "4-kb"])
@pytest.mark.parametrize("size", [b"1", b"0001", b"1;name=value"], ids=["plain", "zeros", "extension"])
def test_reads_the_longest_body_in_chunks_of_one_byte(size: bytes, trailer: bytes) -> None:
    """The limit on chunk framing must not reject a body that is within its own limit."""
    body = b"b" * upstream.BODY_LIMIT_BYTES
    chunks = b"".join(b"%b\r\n%c\r\n" % (size, byte) for byte in body) + b"0\r\n" + trailer + b"\r\n"
    sent = request("pay", Content_Length=None, Transfer_Encoding="chunked") + chunks
    codec = HttpServerCodec()
    for start in range(0, len(sent), PIECE_BYTES):
        codec.receive(sent[start : start + PIECE_BYTES])
    parsed = codec.next()
    assert isinstance(parsed, RawRequest)
    assert parsed.body == body


@pytest.mark.parametrize(
    ("data", "step"),
    [
        (b"", NEED_DATA),
        (request("pay", body=b"abc")[:-1], NEED_DATA),
        (request("pay", body=b"abc", Expect="100-continue")[:-3], CONTINUE),
    ],
    ids=["nothing", "body-incomplete", "expects-100-continue"],
)
def test_incomplete_request_needs_more_data(data: bytes, step: str) -> None:
    codec = HttpServerCodec()
    if data:
        codec.receive(data)
    assert codec.next() is step


def test_reads_a_readiness_query() -> None:
    assert isinstance(read_request(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"), ReadinessQuery)


def test_pipelined_request_is_paused_until_the_response_to_the_first() -> None:
    codec = HttpServerCodec()
    codec.receive(request() + request("pay"))
    assert codec.next().method == b"GET"
    assert codec.next() is PAUSED
    assert codec.compose(200, b"", [], close=False)[1] is False
    assert codec.next().method == b"POST"
    data, closes_connection = codec.compose(200, b"", [], close=True)
    assert closes_connection
    assert b"Connection: close" in data


FINAL_RESPONSES = {
    "served": (
        Served(upstream.UpstreamResponse(b"x", b"text/plain")),
        200,
        (b"Content-Type", b"text/plain"),
    ),
    "rejected-with-retry-after": (Rejected(1500.0), 503, (b"Retry-After", b"1.500")),
    "rejected": (Rejected(), 503, None),
    "failed": (Failed(), 502, None),
    "timed-out": (Failed(timed_out=True), 504, None),
}


@pytest.mark.parametrize(
    ("response", "status", "header"), FINAL_RESPONSES.values(), ids=FINAL_RESPONSES.keys()
)
def test_composes_final_responses(response: object, status: int, header: tuple[bytes, bytes] | None) -> None:
    sent_status, _, headers = as_client_response(response)
    assert sent_status == status
    if header is None:
        assert all(name != b"Retry-After" for name, _ in headers)
    else:
        assert header in headers


OK_CHUNKED = OK.replace(
    b"Content-Length: 4\r\n\r\ndone", b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
)
OK_WITHOUT_LENGTH = OK.replace(b"Content-Length: 4\r\n", b"")
OK_WITHOUT_LAST_CHUNK = OK.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked").replace(
    b"done", b"4\r\ndone\r\n"
)
RESPONSES = {
    "ok": (OK, AttemptStatus.OK),
    "ok-chunked": (OK_CHUNKED, AttemptStatus.OK),
    "ok-after-100-continue": (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, AttemptStatus.OK),
    "not-run-503": (NOT_RUN, AttemptStatus.REJECTED),
    "not-run-504": (NOT_RUN.replace(b"503", b"504"), AttemptStatus.REJECTED),
    "not-run-500": (NOT_RUN.replace(b"503", b"500"), AttemptStatus.ERROR),
    "not-run-0": (NOT_RUN.replace(b": 1", b": 0"), AttemptStatus.ERROR),
    "204": (OK.replace(b"200", b"204"), AttemptStatus.ERROR),
    "302": (OK.replace(b"200", b"302"), AttemptStatus.ERROR),
    "500": (OK.replace(b"200", b"500"), AttemptStatus.ERROR),
    "ok-without-length": (OK_WITHOUT_LENGTH, AttemptStatus.OK),
    "not-run-without-length": (NOT_RUN.replace(b"Content-Length: 0\r\n", b""), AttemptStatus.REJECTED),
    "without-length-too-long": (OK_WITHOUT_LENGTH + b"x" * 70000, None),
    "last-chunk-missing": (OK_WITHOUT_LAST_CHUNK, None),
    "body-incomplete": (OK[:-1], None),
    "length-over-the-limit": (OK.replace(b"4", b"70000"), None),
    "no-http": (b"SSH-2.0-OpenSSH\r\n", None),
    "nothing": (b"", None),
}


@pytest.mark.parametrize(("data", "status"), RESPONSES.values(), ids=RESPONSES.keys())
def test_classifies_the_response_to_an_attempt(data: bytes, status: AttemptStatus | None) -> None:
    """A status of None stands for a malformed or incomplete response, of which nothing is forwarded."""
    for step in (len(data) or 1, 7):  # the whole response at once, then pieces of 7 bytes
        codec = upstream.upstream_codec()
        upstream.compose_attempt(codec, read_request(request("pay")).payload, 99.9)
        response = None
        pieces = [data[start : start + step] for start in range(0, len(data), step)]
        try:
            for piece in [*pieces, b""]:
                response = response or codec.receive(piece)
        except BrokenResponseError:
            assert status is None
        else:
            outcome = upstream.read_outcome(response)
            assert outcome.status == status
            body = outcome.response.body if outcome.response else None
            assert body == (b"done" if outcome.status == AttemptStatus.OK else None)


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX-Pad: " + b"p" * 70000,
        b"HTTP/1.1 OK 200\r\nContent-Length: 4\r\n\r\n",
        b"HTTP/1.1 2 OK\r\nContent-Length: 4\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: p\r\n" * 6000,
        b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100,
    ],
    ids=[
        "length-over-the-limit",
        "length-of-5000-digits",
        "length-and-chunked",
        "header-too-long",
        "status-not-a-number",
        "status-of-one-digit",
        "two-length-fields",
        "too-many-headers",
        "too-many-interim-responses",
    ],
)
def test_rejects_a_malformed_response_by_its_head(head: bytes) -> None:
    codec = upstream.upstream_codec()
    upstream.compose_attempt(codec, read_request(request("pay")).payload, 99.9)
    with pytest.raises(BrokenResponseError):
        codec.receive(head)


@pytest.mark.parametrize(
    "trailing_data",
    [b"", OK, b"noise", b"HT"],
    ids=["nothing", "second-response", "no-http", "part-of-a-status-line"],
)
def test_data_after_a_response_prevents_reuse_but_leaves_the_response_valid(trailing_data: bytes) -> None:
    codec = upstream.upstream_codec()
    upstream.compose_attempt(codec, read_request(request("pay")).payload, 99.9)
    assert codec.receive(OK + trailing_data).body == b"done"
    assert codec.reusable is not bool(trailing_data)


def test_encoded_attempt_contains_its_deadline_and_body() -> None:
    payload = read_request(request("pay", 480, b"abc")).payload
    sent = upstream.compose_attempt(upstream.upstream_codec(), payload, 99.9)
    assert b"X-Deadline-Ms: 99\r\n" in sent and sent.endswith(b"\r\n\r\nabc")


ENTRY = {"name": "s-1", "address": "10.1.0.18:3000", "zone": "b", "type": "m2", "group": 3, "status": "ready"}


def list_body(**changes: object) -> bytes:
    """Return the JSON of an endpoint list with one entry. `changes` replaces keys; None removes a key."""
    entry = {key: value for key, value in (ENTRY | changes).items() if value is not None}
    return json.dumps({"index": 41, "snapshot": True, "endpoints": [entry]}).encode()


def test_reads_an_endpoint_list() -> None:
    received = endpoint_list.read_list(
        HttpResponse(200, {}, list_body(weight=1.5, since_ms=1.7e12, status="draining")), PARSED_SETTINGS
    )
    (endpoint,) = received.endpoints
    entry = endpoint.entry
    assert (received.revision, received.is_complete, endpoint.host, endpoint.port) == (
        41,
        True,
        "10.1.0.18",
        3000,
    )
    assert (entry.id, entry.weight, entry.cell, entry.started_at_ms) == (b"s-1", 1.5, 3, 1.7e12)
    assert (entry.availability, entry.zone, entry.endpoint_type) == (Availability.DRAINING, 1, 0)
    (endpoint,) = endpoint_list.read_list(
        HttpResponse(200, {}, list_body(zone="c", since_ms=0)), PARSED_SETTINGS
    ).endpoints
    assert endpoint.entry.zone not in (0, 1) and endpoint.entry.started_at_ms == 0.0


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"\xff\xfe",
        b'{"index":1}',
        b'{"index":"x","snapshot":true,"endpoints":[]}',
        list_body(name=None),
        list_body(name=""),
        list_body(status="resting"),
        list_body(group=-1),
        list_body(since_ms=-1),
        list_body(since_ms="soon"),
        *(
            list_body(address=address)
            for address in (None, "", "host:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", ":80")
        ),
    ],
    ids=[
        "empty",
        "array",
        "no-utf-8",
        "no-endpoints",
        "index-not-a-number",
        "no-name",
        "empty-name",
        "unknown-status",
        "negative-group",
        "negative-start",
        "start-not-a-number",
        "no-address",
        "empty-address",
        "host-name",
        "no-port",
        "port-0",
        "port-70000",
        "no-host",
    ],
)
def test_rejects_an_invalid_endpoint_list(body: bytes) -> None:
    with pytest.raises(EndpointListError):
        endpoint_list.read_list(HttpResponse(200, {}, body), PARSED_SETTINGS)


def test_rejects_an_endpoint_list_with_an_error_status() -> None:
    with pytest.raises(EndpointListError, match="503"):
        endpoint_list.read_list(HttpResponse(503, {}, list_body()), PARSED_SETTINGS)


# ---- duplicate responses ----------------------------------------------------------------------------------


def test_equal_response_is_a_duplicate_only_within_the_window_and_if_responses_normally_differ() -> None:
    detector = DuplicateResponseDetector()
    early, late = DUPLICATE_WINDOW_S / 4, DUPLICATE_WINDOW_S
    assert not detector.may_reuse(1, early)  # not enough responses have differed yet
    assert detector.may_reuse(1, late)
    assert not detector.is_duplicate(1, 1, early)
    for number in range(MIN_DISTINCT_RESPONSES):
        assert not detector.may_reuse(1, early)
        assert not detector.is_duplicate(number, number + 1, early)
    assert detector.may_reuse(1, early)
    assert detector.is_duplicate(7, 7, early)
    assert detector.may_reuse(1, early)  # a duplicate does not reset the count of responses that differ
    assert not detector.may_reuse(None, early)  # a response without a fingerprint, such as a rejection
    assert not detector.is_duplicate(None, None, early)
    assert not detector.is_duplicate(7, 7, late)  # too late for a duplicate: resets the count
    assert not detector.may_reuse(1, early)
    assert not detector.is_duplicate(8, 8, early)


@pytest.mark.parametrize(("status", "body"), [(503, b"x"), (500, b"x"), (200, b"")])
def test_error_responses_and_empty_responses_have_no_fingerprint(status: int, body: bytes) -> None:
    assert fingerprint(HttpResponse(status, {}, body)) is None
    assert fingerprint(HttpResponse(200, {}, b"a")) == fingerprint(HttpResponse(200, {}, b"a")) is not None


def test_distinguishes_zones_and_types_unknown_to_the_settings() -> None:
    """If unknown zones were equal, a retry that is safe only within a zone could go to another zone."""
    settings = read_settings(flatten(SETTINGS))
    docs = [
        endpoint_list.EndpointDoc(f"s{number}", "127.0.0.1:1", "ready", zone=zone, type=zone)
        for number, zone in enumerate(("a", "elsewhere", "nowhere", "elsewhere", "b"))
    ]
    received = endpoint_list.to_endpoint_list(endpoint_list.EndpointListDoc(1, True, docs), settings)
    zones = [endpoint.entry.zone for endpoint in received.endpoints]
    assert (zones[0], zones[4]) == (0, 1)
    assert zones[1] == zones[3]
    assert len(set(zones)) == 4
    assert len({endpoint.entry.endpoint_type for endpoint in received.endpoints}) == 4


def test_composes_a_response_whose_status_has_no_reason_phrase() -> None:
    assert HttpServerCodec().compose(418, b"", [], True)[0].startswith(b"HTTP/1.1 418 \r\n")

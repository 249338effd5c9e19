"""Tables of cases for the parsers: clients' requests, endpoints' replies, the endpoint list."""

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
    as_http,
)
from alderspool.protocol.duplicate_responses import SOON_S, SURE, DuplicateResponseDetector, fingerprint
from alderspool.protocol.endpoint_list import EndpointListError
from alderspool.protocol.http_client import BrokenResponseError, HttpResponse
from alderspool.routing.messages import ClientRequest, Failed, Rejected, Served

CFG = read_settings(flatten(SETTINGS))
READER = RequestReader(CFG)


def read_request(data: bytes) -> object:
    wire = HttpServerCodec()
    wire.receive(data)
    step = wire.next()
    return READER.read(step) if isinstance(step, RawRequest) else step


def test_a_good_request_is_read_whole() -> None:
    got = read_request(request("put", 480, b"body", X_Retry="1", X_Cost_Hint="12.5"))
    assert isinstance(got, ClientRequest)
    assert (got.cls, got.tenant, got.time_left_ms, got.is_retry) == (2, 0, 480.0, True)
    assert got.cost_hint_ms == 12.5
    assert (got.payload.method, got.payload.target) == (b"POST", b"/put/7f3a?x=1")
    assert got.payload.body == b"body"
    assert not {b"x-deadline-ms", b"content-length"} & {name for name, _ in got.payload.headers}


def test_only_the_head_and_the_body_of_a_request_are_read() -> None:
    """Not what stands in trailers, and not the wish to go on in another protocol."""
    body = b"".join(b"1;x=y\r\n%c\r\n" % c for c in b"four") + b"0\r\nX-Class: look\r\nX-Evil: 1\r\n\r\n"
    sent = request("pay", Content_Length=None, Transfer_Encoding="chunked", body=body)
    got = read_request(sent)
    assert isinstance(got, ClientRequest) and got.payload.body == b"four"
    assert b"x-evil" not in dict(got.payload.headers)
    wire = HttpServerCodec()
    wire.receive(request("look", Connection="Upgrade, HTTP2-Settings", Upgrade="h2c") + request("pay"))
    assert isinstance(READER.read(wire.next()), ClientRequest)
    wire.compose(200, b"", [], close=False)
    assert wire.next().method == b"POST"


def test_the_key_is_stable_and_never_zero() -> None:
    one, two = read_request(request("look")), read_request(request("pay"))
    assert one.key == two.key == 1734263071609238019
    assert read_request(request("look").replace(b"/look/7f3a?x=1", b"/look")).key == 0


BAD = [
    (b"rubbish\r\n\r\n", 400),
    (b"\x00\x16\x03\x01\r\n\r\n", 400),
    (b"GET /look/1 HTTP/1.1\r\n\r\n", 400),
    (b"GET /look/1 HTTP/9.9\r\nHost: x\r\n\r\n", 400),
    (b"GET /look/1 HTTP/2.0\r\nHost: x\r\n\r\n", 400),
    (b"\r\n" * 40000, 431),
    (request("look", X_A="b\r\n folded"), 400),
    (request("look").replace(b"\r\n", b"\n"), 400),
    (request("pay", Transfer_Encoding="chunked", Content_Length=None, body=b"4\r\nabcd\r\nzz\r\n"), 400),
    (request("pay", Transfer_Encoding="chunked", Content_Length=None, body=b"1\r\na\r\n" * 70000), 413),
    (request("look", X_A="b" * 70000), 431),
    (request("pay", body=b"x" * 65537), 413),
    (request("pay", Content_Length="nine"), 400),
    (request("pay", Content_Length="-1"), 400),
    (request("pay", Content_Length="9" * 5000), 400),
    (request("pay", Content_Length="4, 5", body=b"four"), 400),
    (request("pay", body=b"four").replace(b"X-Tenant", b"Content-Length: 5\r\nX-Tenant"), 400),
    (request("pay", Transfer_Encoding="gzip"), 400),
    # A request in the body of another: passed on, it would be sent twice by whoever reads it otherwise.
    (request("pay", Transfer_Encoding="chunked", body=b"0\r\n\r\n" + request("pay")), 400),
    (request("look").replace(b"/look/7f3a", b"/elsewhere/1"), 404),
    (request("look").replace(b"/look/7f3a", b"/"), 404),
    (request("look").replace(b"/look/7f3a", b"*"), 404),
    (b"POST /ready HTTP/1.1\r\nHost: x\r\n\r\n", 405),
    (request("look").replace(b"GET", b"POST"), 405),
    (request("pay").replace(b"POST", b"GET"), 405),
    (request("pay").replace(b"POST", b"PUT"), 405),
    (request("look", X_Class="pay"), 400),
    (request("look", X_Class=None), 400),
    (request("look", X_Tenant="nobody"), 400),
    (request("look", X_Tenant=None), 400),
    (request("look", X_Deadline_Ms=None), 400),
    (request("look", X_Request_Id=None), 400),
    (request("look", X_Request_Id=""), 400),
    (request("look").replace(b"X-Tenant", b"X-Deadline-Ms: 9\r\nX-Tenant"), 400),
    (request("put", Idempotency_Key=None), 400),
    (request("pay", Idempotency_Key="k"), 400),
    (request("look", Content_Length="1") + b"x", 400),
    *(
        (request("look", X_Deadline_Ms=v), 400)
        for v in ("", "0", "-5", "1.5", "1e3", "x", "9" * 40, "\u0663")
    ),
]


@pytest.mark.parametrize(("data", "status"), BAD)
def test_bad_requests_are_rejected(data: bytes, status: int) -> None:
    got = read_request(data)
    assert isinstance(got, InvalidRequest) and got.status == status


@pytest.mark.parametrize(
    ("data", "step"),
    [
        (b"", NEED_DATA),
        (request("pay", body=b"abc")[:-1], NEED_DATA),
        (request("pay", body=b"abc", Expect="100-continue")[:-3], CONTINUE),
    ],
)
def test_unfinished_requests_wait(data: bytes, step: str) -> None:
    wire = HttpServerCodec()
    if data:
        wire.receive(data)
    assert wire.next() is step


def test_ready_is_asked_for_and_a_second_request_waits_its_turn() -> None:
    assert isinstance(read_request(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"), ReadinessQuery)
    wire = HttpServerCodec()
    wire.receive(request() + request("pay"))
    assert wire.next().method == b"GET" and wire.next() is PAUSED
    assert wire.compose(200, b"", [], close=False)[1] is False
    assert wire.next().method == b"POST"
    out, last = wire.compose(200, b"", [], close=True)
    assert last and b"Connection: close" in out


ANSWERS = [
    (Served(upstream.UpstreamResponse(b"x", b"text/plain")), 200, (b"Content-Type", b"text/plain")),
    (Rejected(1500.0), 503, (b"Retry-After", b"1.500")),
    (Rejected(), 503, None),
    (Failed(), 502, None),
    (Failed(timed_out=True), 504, None),
]


@pytest.mark.parametrize(("answer", "status", "header"), ANSWERS)
def test_final_answers(answer: object, status: int, header: tuple[bytes, bytes] | None) -> None:
    got, _, headers = as_http(answer)
    assert got == status
    assert header in headers if header else all(name != b"Retry-After" for name, _ in headers)


REPLIES = [
    (OK, AttemptStatus.OK),
    (
        OK.replace(
            b"Content-Length: 4\r\n\r\ndone", b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
        ),
        AttemptStatus.OK,
    ),
    (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, AttemptStatus.OK),
    (NOT_RUN, AttemptStatus.REJECTED),
    (NOT_RUN.replace(b"503", b"504"), AttemptStatus.REJECTED),
    (NOT_RUN.replace(b"503", b"500"), AttemptStatus.ERROR),
    (NOT_RUN.replace(b": 1", b": 0"), AttemptStatus.ERROR),
    (OK.replace(b"200", b"204"), AttemptStatus.ERROR),
    (OK.replace(b"200", b"302"), AttemptStatus.ERROR),
    (OK.replace(b"200", b"500"), AttemptStatus.ERROR),
    (OK.replace(b"Content-Length: 4\r\n", b""), AttemptStatus.OK),
    (NOT_RUN.replace(b"Content-Length: 0\r\n", b""), AttemptStatus.REJECTED),
    (OK.replace(b"Content-Length: 4\r\n", b"") + b"x" * 70000, None),
    (
        OK.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked").replace(b"done", b"4\r\ndone\r\n"),
        None,
    ),
    (OK[:-1], None),
    (OK.replace(b"4", b"70000"), None),
    (b"SSH-2.0-OpenSSH\r\n", None),
    (b"", None),
]


@pytest.mark.parametrize(("data", "status"), REPLIES)
def test_what_a_nodes_reply_proves(data: bytes, status: AttemptStatus | None) -> None:
    """None: broken off, so that nothing of it is passed on."""
    for step in (len(data) or 1, 7):  # whole, and in pieces
        wire = upstream.upstream_codec()
        upstream.compose_attempt(wire, read_request(request("pay")).payload, 99.9)
        reply, parts = None, [data[i : i + step] for i in range(0, len(data), step)]
        try:
            for part in [*parts, b""]:
                reply = reply or wire.receive(part)
        except BrokenResponseError:
            assert status is None
        else:
            got, answer = upstream.read_outcome(reply)
            assert got == status
            assert (answer.body if answer else None) == (b"done" if got == AttemptStatus.OK else None)


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
)
def test_a_spoilt_reply_is_broken_off_by_its_head(head: bytes) -> None:
    wire = upstream.upstream_codec()
    upstream.compose_attempt(wire, read_request(request("pay")).payload, 99.9)
    with pytest.raises(BrokenResponseError):
        wire.receive(head)


@pytest.mark.parametrize("more", [b"", OK, b"noise", b"HT"])
def test_what_follows_a_reply_leaves_it_good_and_its_connection_useless(more: bytes) -> None:
    wire = upstream.upstream_codec()
    upstream.compose_attempt(wire, read_request(request("pay")).payload, 99.9)
    assert wire.receive(OK + more).body == b"done" and wire.reusable is not bool(more)


def test_a_attempt_says_how_long_the_proxy_will_wait() -> None:
    payload = read_request(request("pay", 480, b"abc")).payload
    sent = upstream.compose_attempt(upstream.upstream_codec(), payload, 99.9)
    assert b"X-Deadline-Ms: 99\r\n" in sent and sent.endswith(b"\r\n\r\nabc")


LINE = {"name": "s-1", "address": "10.1.0.18:3000", "zone": "b", "type": "m2", "group": 3, "status": "ready"}


def listed(**changes: object) -> bytes:
    line = {k: v for k, v in (LINE | changes).items() if v is not None}
    return json.dumps({"index": 41, "snapshot": True, "endpoints": [line]}).encode()


def test_a_endpoint_list_is_read() -> None:
    told = endpoint_list.read_list(
        HttpResponse(200, {}, listed(weight=1.5, since_ms=1.7e12, status="draining")), CFG
    )
    (endpoint,) = told.endpoints
    entry = endpoint.entry
    assert (told.revision, told.is_complete, endpoint.host, endpoint.port) == (41, True, "10.1.0.18", 3000)
    assert (entry.id, entry.weight, entry.cell, entry.started_at_ms) == (b"s-1", 1.5, 3, 1.7e12)
    assert (entry.availability, entry.zone, entry.endpoint_type) == (Availability.DRAINING, 1, 0)
    (endpoint,) = endpoint_list.read_list(HttpResponse(200, {}, listed(zone="c", since_ms=0)), CFG).endpoints
    assert endpoint.entry.zone not in (0, 1) and endpoint.entry.started_at_ms == 0.0


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"\xff\xfe",
        b'{"index":1}',
        b'{"index":"x","snapshot":true,"endpoints":[]}',
        listed(name=None),
        listed(name=""),
        listed(status="resting"),
        listed(group=-1),
        listed(since_ms=-1),
        listed(since_ms="soon"),
        *(
            listed(address=a)
            for a in (None, "", "host:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", ":80")
        ),
    ],
)
def test_garbage_is_no_endpoint_list(body: bytes) -> None:
    with pytest.raises(EndpointListError):
        endpoint_list.read_list(HttpResponse(200, {}, body), CFG)


def test_a_failed_call_is_no_endpoint_list() -> None:
    with pytest.raises(EndpointListError, match="503"):
        endpoint_list.read_list(HttpResponse(503, {}, listed()), CFG)


# ---- second answers ----------------------------------------------------------------------------------


def test_an_answer_equal_to_the_last_is_a_second_copy_only_if_it_is_soon_and_answers_differ_here() -> None:
    second = DuplicateResponseDetector()
    soon, late = SOON_S / 4, SOON_S
    assert not second.may_follow(1, soon) and second.may_follow(1, late)  # nothing is known yet: rest
    assert not second.is_second(1, 1, soon)
    for n in range(SURE):
        assert not second.may_follow(1, soon)
        assert not second.is_second(n, n + 1, soon)
    assert second.may_follow(1, soon)
    assert second.is_second(7, 7, soon)
    assert second.may_follow(1, soon)  # a copy is no evidence against it
    assert not second.may_follow(None, soon) and not second.is_second(None, None, soon)  # refusals are alike
    assert not second.is_second(7, 7, late)  # alike in earnest
    assert not second.may_follow(1, soon) and not second.is_second(8, 8, soon)


@pytest.mark.parametrize(("status", "body"), [(503, b"x"), (500, b"x"), (200, b"")])
def test_answers_that_are_alike_by_nature_have_no_fingerprint(status: int, body: bytes) -> None:
    assert fingerprint(HttpResponse(status, {}, body)) is None
    assert fingerprint(HttpResponse(200, {}, b"a")) == fingerprint(HttpResponse(200, {}, b"a")) is not None


def test_zones_and_types_that_nobody_named_are_told_apart() -> None:
    """A repeat that is harmless inside a zone would else go to any other that the settings do not know."""
    settings = read_settings(flatten(SETTINGS))
    lines = [
        endpoint_list.EndpointDoc(f"s{n}", "127.0.0.1:1", "ready", zone=zone, type=zone)
        for n, zone in enumerate(("a", "elsewhere", "nowhere", "elsewhere", "b"))
    ]
    told = endpoint_list.to_endpoint_list(endpoint_list.EndpointListDoc(1, True, lines), settings)
    zones = [m.entry.zone for m in told.endpoints]
    assert (zones[0], zones[4]) == (0, 1) and zones[1] == zones[3]
    assert len(set(zones)) == 4 and len({m.entry.endpoint_type for m in told.endpoints}) == 4

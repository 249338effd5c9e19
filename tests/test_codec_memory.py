"""Memory that the HTTP codecs keep for one connection, whatever its peer sends within the limits on bytes."""

from __future__ import annotations

import gc
import resource
import tracemalloc
import weakref
from collections.abc import Callable
from pathlib import Path

import pytest
from rig import request

from alderspool.protocol.downstream import HttpServerCodec
from alderspool.protocol.http_client import HttpClientCodec
from alderspool.protocol.http_server import REQUEST_TIMEOUT
from alderspool.protocol.upstream import BODY_LIMIT_BYTES, upstream_codec
from alderspool.transport.streams import READ_SIZE

# The platform gives 192 MB for 1,024 descriptors.
MAX_BYTES_PER_CONNECTION = 192_000_000 // 1024

HEAD_START = b"POST /pay/1 HTTP/1.1\r\nHost: x\r\n"
TINY_HEADER = b"a:\r\n"
TINY_CHUNK = b"2\r\nab\r\n"  # each object of one byte exists only once, objects of two bytes do not
BODY_IN_TINY_CHUNKS = TINY_CHUNK * (BODY_LIMIT_BYTES // 2)
CHUNKED_REQUEST = request("pay", Content_Length=None, Transfer_Encoding="chunked")
CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
REQUESTS = {
    "tiny-headers": HEAD_START + TINY_HEADER * 1000,
    "too-many-headers": HEAD_START + TINY_HEADER * 4000,
    "body-in-tiny-chunks": CHUNKED_REQUEST + BODY_IN_TINY_CHUNKS,
    "complete-body-in-tiny-chunks": CHUNKED_REQUEST + BODY_IN_TINY_CHUNKS + b"0\r\n\r\n",
    "too-long-body-in-tiny-chunks": CHUNKED_REQUEST + BODY_IN_TINY_CHUNKS + TINY_CHUNK,
    "pipelined-requests": b"GET / HTTP/1.1\r\nHost:\r\n\r\n" * (READ_SIZE // 26),
    "body-in-one-piece": request("pay", body=b"b" * BODY_LIMIT_BYTES),
}
RESPONSES = {
    "tiny-headers": b"HTTP/1.1 200 OK\r\n" + TINY_HEADER * 1000,
    "body-in-tiny-chunks": CHUNKED_RESPONSE + BODY_IN_TINY_CHUNKS,
    "complete-body-in-tiny-chunks": CHUNKED_RESPONSE + BODY_IN_TINY_CHUNKS + b"0\r\n\r\n",
}


def memory_after(receive: Callable[[bytes], object], data: bytes) -> int:
    """Return how many bytes are kept after this data has been received in pieces as they are read."""
    pieces = [data[start : start + READ_SIZE] for start in range(0, len(data), READ_SIZE)]
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        results = [receive(piece) for piece in pieces]  # noqa: F841  # a complete response is kept too
        after, _ = tracemalloc.get_traced_memory()
        return after - before
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("data", REQUESTS.values(), ids=REQUESTS.keys())
def test_request_takes_no_more_memory_than_a_connection_may(data: bytes) -> None:
    """Guards against a crash for memory by a few hundred clients: objects kept for each field or chunk."""
    codec = HttpServerCodec()
    assert memory_after(codec.receive, data) <= MAX_BYTES_PER_CONNECTION


@pytest.mark.parametrize("data", RESPONSES.values(), ids=RESPONSES.keys())
def test_response_takes_no_more_memory_than_a_connection_may(data: bytes) -> None:
    """Guards against a crash for memory by spoilt responses: objects kept for each field or chunk."""
    codec: HttpClientCodec = upstream_codec()
    codec.compose(b"POST", b"/pay/1", [])
    assert memory_after(codec.receive, data) <= MAX_BYTES_PER_CONNECTION


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    resident_pages = int(Path("/proc/self/statm").read_text().split()[1])
    return resident_pages * resource.getpagesize()


def resident_bytes_with_incomplete_bodies(codec_count: int) -> int:
    """Receive most of a body with each of many codecs, then time out; return the memory before that."""
    codecs = [HttpServerCodec() for _ in range(codec_count)]
    for codec in codecs:
        codec.receive(request("pay", Content_Length=str(BODY_LIMIT_BYTES)))
    for _ in range(BODY_LIMIT_BYTES // READ_SIZE - 1):
        for codec in codecs:
            codec.receive(b"b" * READ_SIZE)
    resident = resident_bytes()
    for codec in codecs:
        codec.abandon_message(REQUEST_TIMEOUT)
    return resident


def test_memory_of_timed_out_bodies_is_used_again_before_the_garbage_collector_runs() -> None:
    """Guards against a heap in which what is left of each connection makes the space between unusable."""
    codec_count = 500
    gc.collect()
    gc.disable()
    try:
        first = resident_bytes_with_incomplete_bodies(codec_count)
        later = [resident_bytes_with_incomplete_bodies(codec_count) for _ in range(3)]
    finally:
        gc.enable()
    assert max(later) - first < codec_count * BODY_LIMIT_BYTES / 2


@pytest.mark.parametrize("create", [HttpServerCodec, upstream_codec], ids=["request", "response"])
def test_closed_codec_is_freed_without_the_garbage_collector(
    create: Callable[[], HttpServerCodec | HttpClientCodec],
) -> None:
    """Guards against memory that grows with each connection that ends within a message."""
    gc.disable()
    try:
        codec = create()
        codec.close()
        reference = weakref.ref(codec)
        del codec
        assert reference() is None
    finally:
        gc.enable()

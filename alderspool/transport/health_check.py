"""A single health check of an endpoint, on its own connection."""

from __future__ import annotations

import asyncio

from alderspool.balancer.events import AttemptStatus
from alderspool.protocol.http_client import BrokenResponseError
from alderspool.protocol.upstream import compose_health_check, read_health_check, upstream_codec
from alderspool.transport.streams import connect, read_response

HEALTH_CHECK_TIMEOUT_S = 1.0  # for connecting and the response together


async def check_health(host: str, port: int) -> AttemptStatus:
    """Connect to an endpoint, request `/health`, and return the result.

    OK and REJECTED: what the endpoint responded. CONNECT_FAILED: the connection failed or was not established
    within the timeout. TIMEOUT: connected, but no response within the timeout. RESET: the response was cut
    short or is not valid HTTP.
    """
    status = AttemptStatus.CONNECT_FAILED
    try:
        async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
            reader, writer = await connect(host, port)
            status = AttemptStatus.TIMEOUT
            try:
                codec = upstream_codec()
                writer.write(compose_health_check(codec, host))
                status = read_health_check(await read_response(reader, codec))
            finally:
                writer.transport.abort()
    except TimeoutError:
        pass
    except (OSError, BrokenResponseError):
        if status == AttemptStatus.TIMEOUT:  # the connection had been established
            status = AttemptStatus.RESET
    return status
